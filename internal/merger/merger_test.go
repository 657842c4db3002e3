package merger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func version(era, revision int64) cataloguer.Version {
	return cataloguer.Version{Era: era, Revision: revision}
}

func catalogue(v cataloguer.Version, number int64) cataloguer.Document {
	return cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Version: v, Catalogue: &cataloguer.Catalogue{Version: number}, Raw: []byte{byte(number)}}
}

func withdrawal(v cataloguer.Version, ended bool) cataloguer.Document {
	d := cataloguer.Document{Key: "w", Kind: cataloguer.KindWithdrawnDomain, Name: "east", Version: v, Deleted: ended}
	if !ended {
		d.Raw = []byte("w")
	}
	return d
}

func server(v cataloguer.Version, started int64, draining bool) cataloguer.Document {
	raw := []byte{byte(started), 'r'}
	if draining {
		raw[1] = 'd'
	}
	return cataloguer.Document{Key: "b", Kind: cataloguer.KindBackend, Name: "b", Version: v, Raw: raw,
		Backend: &cataloguer.Backend{ID: "b", StartedUnixMs: started, Draining: draining}}
}

func removed(v cataloguer.Version) cataloguer.Document {
	return cataloguer.Document{Key: "b", Kind: cataloguer.KindBackend, Name: "b", Version: v, Deleted: true}
}

// Guards against an older state that comes into force because its version has a later era, and against a change of after the return that does not
// because its revision is low.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name           string
		held, received cataloguer.Document
		started        int64
		listed         bool
		want           Verdict
	}{
		{"a newer revision", catalogue(version(1, 9), 5), catalogue(version(1, 10), 6), 0, false, Take},
		{"the copy's catalogue", catalogue(version(1, 9), 5), catalogue(version(2, 4), 4), 0, true, Keep},
		{"the catalogue written again", catalogue(version(1, 9), 5), catalogue(version(2, 5), 5), 0, false, Take},
		{"a catalogue of after the return in the first list", catalogue(version(1, 9), 5), catalogue(version(2, 5), 6), 0, true, Take},
		{"an unchanged server", server(version(1, 4), 100, false), server(version(2, 4), 100, false), 100, true, Confirm},
		{"the copy's entry of a server that drains", server(version(1, 9), 100, true), server(version(2, 4), 100, false), 100, true, Keep},
		{"the drain written again", server(version(1, 9), 100, true), server(version(2, 5), 100, true), 100, false, Take},
		{"a drain that began after the return", server(version(1, 9), 100, false), server(version(2, 5), 100, true), 100, true, Take},
		{"the copy's entry of a server that is gone", removed(version(1, 9)), server(version(2, 4), 100, false), 100, true, Keep},
		{"a new incarnation", removed(version(1, 9)), server(version(2, 4), 200, false), 100, true, Take},
		{"the copy's incarnation", server(version(1, 9), 200, false), server(version(2, 4), 100, false), 200, true, Keep},
		{"an entry that this host had missed", server(version(1, 4), 100, false), server(version(2, 7), 100, true), 100, true, Take},
		{"a removal after the return", server(version(1, 9), 100, false), removed(version(2, 5)), 100, false, Take},
		{"a removal after the return from a peer's snapshot", server(version(1, 9), 100, false), removed(version(2, 5)), 100, true, Take},
		{"the copy's withdrawal, which has ended", withdrawal(version(1, 9), true), withdrawal(version(2, 4), false), 0, true, Keep},
		{"the end of a withdrawal, written again", withdrawal(version(1, 9), true), withdrawal(version(2, 5), true), 0, false, Take},
		{"a withdrawal of after the return", withdrawal(version(1, 9), true), withdrawal(version(2, 5), false), 0, false, Take},
	} {
		h := &Held{Document: c.held, StartedUnixMs: c.started}
		assert.Equal(t, Judge(h, c.received, c.listed), c.want, c.name)
	}
}

// Guards against kept items that never give way, and against a catalogue or an adapter version that does.
func TestHoldTime(t *testing.T) {
	shadow := server(version(2, 4), 100, false)
	for _, c := range []struct {
		name string
		held Held
		hold time.Duration
		ends bool
	}{
		{"a catalogue", Held{Document: catalogue(version(1, 9), 5)}, 0, false},
		{"an entry that is missing", Held{Document: server(version(1, 9), 100, false)}, missingHold, true},
		{"a drain that is missing", Held{Document: server(version(1, 9), 100, true), Shadow: &shadow}, outdatedHold, true},
		{"a server that is gone", Held{Document: removed(version(1, 9)), Shadow: &shadow}, outdatedHold, true},
		{"a server that is gone in both", Held{Document: removed(version(1, 9))}, missingHold, false},
		{"a withdrawal that is missing", Held{Document: withdrawal(version(1, 9), false)}, outdatedHold, true},
		{"an ended withdrawal that is back", Held{Document: withdrawal(version(1, 9), true), Shadow: &shadow}, missingHold, true},
	} {
		hold, ends := HoldTime(&c.held)
		assert.Equal(t, ends, c.ends, c.name)
		if ends {
			assert.Equal(t, hold, c.hold, c.name)
		}
	}
}

func TestSettle(t *testing.T) {
	shadow := server(version(2, 4), 100, false)
	assert.DeepEqual(t, Settle(&Held{Document: removed(version(1, 9)), Shadow: &shadow}, version(2, 6)), shadow)
	d := Settle(&Held{Document: server(version(1, 9), 100, false)}, version(2, 6))
	assert.Assert(t, d.Deleted)
	assert.Equal(t, d.Version, version(2, 6))
}
