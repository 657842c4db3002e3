package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Documents is what has been published, as far as this host has read it.
type Documents struct {
	// Revision is the platform's revision up to which this host has read, itself or through peers.
	Revision int64
	// SignificantRevision is the highest revision of a change that other hosts need to know; who has read up to it lacks nothing.
	SignificantRevision int64
	// PrunedRevision is the revision up to which this host may not know what has been removed: it has forgotten that, or has listed what there is.
	PrunedRevision int64
	Items          map[string]*Item
	Catalogue      *cataloguer.Catalogue
	Keys           map[string]string
	Accounts       map[string]cataloguer.Account
	Services       map[string]cataloguer.Service
	Withdrawn      map[string]bool
	Versions       map[AdapterKey]int64
}

// Item is one document with the time at which this host learned of it.
type Item struct {
	Document  cataloguer.Document
	LearnedAt time.Time
	// SignificantRevision is the revision of the last change that other hosts need to know.
	SignificantRevision int64
}

func newDocuments() Documents {
	return Documents{
		Items:     map[string]*Item{},
		Keys:      map[string]string{},
		Accounts:  map[string]cataloguer.Account{},
		Services:  map[string]cataloguer.Service{},
		Withdrawn: map[string]bool{},
		Versions:  map[AdapterKey]int64{},
	}
}

// reading is what the platform or a peer has answered.
type reading struct {
	// From is the peer, or fromPlatform.
	From      string
	Documents []cataloguer.Document
	// Snapshot tells that items which are not among the documents are gone.
	Snapshot bool
	Revision int64
	// SignificantRevision is the highest revision of a change that other hosts need to know, as a peer tells it.
	SignificantRevision int64
	// ConfirmedAt is when this host's last word before had been true.
	ConfirmedAt time.Time
}

// fromPlatform is the source of what this host has read itself.
const fromPlatform = "platform"

// applyDocuments takes published items that are newer than those known.
func applyDocuments(s *State, now time.Time, r reading) {
	listed := map[string]bool{}
	for i := range r.Documents {
		listed[r.Documents[i].Key] = true
		// What a list shows of later changes comes with the watch that goes on behind its revision, which tells that they are news.
		if r.Snapshot && r.Documents[i].Revision > r.Revision {
			continue
		}
		applyDocument(s, now, r, r.Documents[i])
	}
	if r.Snapshot && r.Revision >= s.Documents.Revision {
		for _, key := range sortedKeys(s.Documents.Items) {
			item := s.Documents.Items[key]
			if !listed[key] && !item.Document.Deleted && item.Document.Revision <= r.Revision {
				gone := item.Document
				gone.Deleted, gone.Raw, gone.Revision = true, nil, r.Revision
				applyDocument(s, now, r, gone)
			}
		}
	}
	s.Documents.Revision = max(s.Documents.Revision, r.Revision)
	s.Documents.SignificantRevision = max(s.Documents.SignificantRevision, r.SignificantRevision)
	if r.Snapshot {
		noteListed(s, r)
	}
}

// noteListed takes into account that what was removed before a list is not known: a peer that has not read up to it must be told all.
func noteListed(s *State, r reading) {
	s.Documents.PrunedRevision = max(s.Documents.PrunedRevision, r.Revision)
	if r.From == fromPlatform {
		s.Documents.SignificantRevision = max(s.Documents.SignificantRevision, r.Revision)
	}
}

func applyDocument(s *State, now time.Time, r reading, d cataloguer.Document) {
	item, known := s.Documents.Items[d.Key]
	if known && d.Revision <= item.Document.Revision {
		return
	}
	if d.DecodeError != "" {
		s.Counters.DocumentsRefused++
		s.logEvent(EventDocumentRefused, Field{"key", d.Key}, Field{"fault", d.DecodeError})
		return
	}
	// An unknown item that is older than what this host has read had been removed by then.
	if d.Kind == cataloguer.KindOther || !known && (d.Deleted || d.Revision <= s.Documents.Revision) {
		return
	}
	if known && insignificant(item.Document, d) {
		item.Document = d
		applyBackend(s, now, *d.Backend)
		return
	}
	relayed := d.Revision
	if r.From != fromPlatform {
		relayed = min(relayed, r.SignificantRevision)
	}
	s.Documents.Items[d.Key] = &Item{Document: d, LearnedAt: now, SignificantRevision: relayed}
	s.Documents.SignificantRevision = max(s.Documents.SignificantRevision, relayed)
	applyItem(s, now, r, d)
}

// insignificant reports whether a backend server's entry changed only in what other hosts need not know.
func insignificant(a, b cataloguer.Document) bool {
	if a.Backend == nil || b.Backend == nil || a.Deleted || b.Deleted {
		return false
	}
	x, y := *a.Backend, *b.Backend
	return x.Service == y.Service && x.Address == y.Address && x.FailureDomain == y.FailureDomain && x.StartedUnixMs == y.StartedUnixMs &&
		x.Slots == y.Slots && x.Draining == y.Draining && y.ColdRemaining <= x.ColdRemaining && sameModels(x, y)
}

func sameModels(a, b cataloguer.Backend) bool {
	return slices.EqualFunc(a.Models, b.Models, func(x, y cataloguer.ResidentModel) bool { return x.Model == y.Model })
}

func applyItem(s *State, now time.Time, r reading, d cataloguer.Document) {
	switch d.Kind {
	case cataloguer.KindCatalogue:
		if !d.Deleted && (s.Documents.Catalogue == nil || d.Catalogue.Version > s.Documents.Catalogue.Version) {
			takeCatalogue(s, now, r, d)
		}
	case cataloguer.KindBackend:
		if d.Deleted {
			markBackendRemoved(s, now, d.Name)
			return
		}
		applyBackend(s, now, *d.Backend)
	case cataloguer.KindWithdrawnDomain:
		s.Documents.Withdrawn[d.Name] = !d.Deleted
		s.logEvent(EventDomainWithdrawn, Field{"failure_domain", d.Name}, boolField("withdrawn", !d.Deleted))
	case cataloguer.KindAdapterVersion:
		if !d.Deleted {
			takeVersion(s, now, *d.AdapterVersion)
		}
	}
}

func takeCatalogue(s *State, now time.Time, r reading, d cataloguer.Document) {
	c := d.Catalogue
	docs := &s.Documents
	docs.Catalogue = c
	s.backendsChanged()
	clear(docs.Keys)
	clear(docs.Accounts)
	clear(docs.Services)
	for _, a := range c.Accounts {
		docs.Accounts[a.Name] = a
		for _, key := range a.Keys {
			docs.Keys[key] = a.Name
		}
	}
	for _, v := range c.Services {
		docs.Services[v.Name] = v
	}
	s.emit(ApplyCallerLimits{Limits: c.CallerLimits})
	s.logEvent(EventCatalogueApplied, intField("version", int(c.Version)), intField("revision", int(d.Revision)),
		intField("routes", len(c.Routes)), intField("accounts", len(c.Accounts)),
		Field{"from", r.From}, ageField("confirmed_age_ms", now, r.ConfirmedAt))
}

// takeVersion notes a new version of an adapter; places with an older one serve no new requests.
func takeVersion(s *State, now time.Time, v cataloguer.AdapterVersion) {
	key := AdapterKey{Model: v.Model, Adapter: v.Adapter}
	if v.Version <= s.Documents.Versions[key] {
		return
	}
	s.Documents.Versions[key] = v.Version
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if p, ok := b.Adapters[key]; ok && p.Version < v.Version {
			markAbsent(now, b, key)
		}
	}
}
