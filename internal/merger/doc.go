// Package merger decides which published items are in force while the configuration service comes back from an older copy of its state.
//
// Such a return begins a new era: revisions go back and are given out again, and what was written after the copy is missing until its writers write
// it again. An item that a host holds from an earlier era may therefore be newer than what the service has in the new one. Judge compares the two,
// and HoldTime says how long the held one stays in force. docs/design/eras.md gives the reasons.
package merger
