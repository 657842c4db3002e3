// Package arbiter decides which host may try a request that was lost at several crashes of servers.
//
// Such a request may have caused the crashes, or may have been there by chance. Sent alone, it shows which: content that crashes servers is never answered.
// One host of the fleet, the arbiter of the service, grants such trials one at a time, so that few servers are lost over them and no two trials are lost to
// each other's crash. docs/design/trials.md gives the reasons.
package arbiter
