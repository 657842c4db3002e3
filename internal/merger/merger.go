package merger

import (
	"bytes"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Held is what a host holds under one key.
type Held struct {
	// Document is the item in force; a deleted one is a tombstone.
	Document cataloguer.Document
	// StartedUnixMs is the start of the last known incarnation of a backend server, also after its entry was removed.
	StartedUnixMs int64
	// Shadow is what the configuration service has in a later era while Document stays in force; nil if it has nothing.
	Shadow *cataloguer.Document
}

// Verdict says what becomes of a received item.
type Verdict uint8

// Verdicts on a received item.
const (
	// Take means that the item is put into force.
	Take Verdict = iota
	// Confirm means that the item equals the held one, which gets its version.
	Confirm
	// Keep means that the held item stays in force, since the received one may be an older state of it; the received one becomes its shadow.
	Keep
)

// Judge compares a valid received item with the held one, whose version is older; listed is set if the item comes from a list of all items, which may contain states from
// the copy.
func Judge(h *Held, d cataloguer.Document, listed bool) Verdict {
	held := &h.Document
	if d.Version.Era == held.Version.Era {
		return Take
	}
	switch d.Kind {
	case cataloguer.KindCatalogue, cataloguer.KindAdapterVersion:
		return judgeNumbered(held, d)
	case cataloguer.KindWithdrawnDomain, cataloguer.KindBackend:
		if !listed {
			return Take
		}
	default:
		return Take
	}
	switch {
	case sameState(held, d):
		return Confirm
	case d.Deleted:
		// No list names deleted items, so this is a change that was made in the later era.
		return Take
	case d.Version.Revision >= held.Version.Revision || replaces(h, d):
		// Every change up to the copy has the same revision in both eras, and later ones have higher revisions than the copy.
		return Take
	}
	return Keep
}

// judgeNumbered compares items whose content has a number that only grows, so that the content itself shows which one is newer.
func judgeNumbered(held *cataloguer.Document, d cataloguer.Document) Verdict {
	if !held.Deleted && (d.Deleted || number(d) < number(*held)) {
		return Keep
	}
	return Take
}

// number returns the number of a catalogue or of an adapter version.
func number(d cataloguer.Document) int64 {
	switch {
	case d.Catalogue != nil:
		return d.Catalogue.Version
	case d.AdapterVersion != nil:
		return d.AdapterVersion.Version
	}
	return 0
}

// sameState reports whether two items of one key have the same content.
func sameState(held *cataloguer.Document, d cataloguer.Document) bool {
	if held.Deleted || d.Deleted {
		return held.Deleted == d.Deleted
	}
	return bytes.Equal(held.Raw, d.Raw)
}

// replaces reports whether a backend server's entry is certainly newer than the held one: it is of a later incarnation, or says that this one
// drains, which no server takes back.
func replaces(h *Held, d cataloguer.Document) bool {
	if d.Backend == nil {
		return false
	}
	return d.Backend.StartedUnixMs > h.StartedUnixMs || d.Backend.StartedUnixMs == h.StartedUnixMs && d.Backend.Draining && !h.Document.Deleted
}

// Times for which an item of an earlier era stays in force, from when a host first read the new era.
const (
	// missingHold is for an item that the new era lacks or has ended: writers write it again within two seconds of the return.
	missingHold = 1900 * time.Millisecond
	// outdatedHold is for a backend server's item of which the new era has another state, and for a withdrawal that it lacks. The configuration
	// service removes the entry of a server that has ended within that time. To use such a server, or a failure domain that is withdrawn, is worse than
	// to leave it idle.
	outdatedHold = 10 * time.Second
)

// HoldTime returns how long an item of an earlier era stays in force, counted from when a host first read the new era; false for an item that stays
// until a newer one is written.
func HoldTime(h *Held) (hold time.Duration, ends bool) {
	switch h.Document.Kind {
	case cataloguer.KindBackend:
		if h.Shadow != nil {
			return outdatedHold, true
		}
		return missingHold, !h.Document.Deleted
	case cataloguer.KindWithdrawnDomain:
		if h.Document.Deleted {
			return missingHold, h.Shadow != nil
		}
		return outdatedHold, true
	}
	return 0, false
}

// Settle returns what is in force after the hold time of an item: what the configuration service has, as of the version with which the host entered
// the era if it has nothing.
func Settle(h *Held, entered cataloguer.Version) cataloguer.Document {
	if h.Shadow != nil {
		return *h.Shadow
	}
	d := h.Document
	d.Deleted, d.Raw, d.Age, d.Version = true, nil, 0, entered
	return d
}
