package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/merger"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Documents holds what has been published, as far as this host has read it.
type Documents struct {
	// Version is the version of the configuration service up to which this host has read, itself or through peers.
	Version cataloguer.Version
	// SignificantVersion is the newest version of a change that other hosts need to know; a host that has read up to it lacks nothing.
	SignificantVersion cataloguer.Version
	// PrunedVersion is the version up to which this host may not know which items were deleted: it has dropped them, or has read a
	// snapshot.
	PrunedVersion cataloguer.Version
	// Era is what this host knows of the present era of the configuration service.
	Era       Era
	Items     map[string]*Item
	Catalogue *cataloguer.Catalogue
	Keys      map[string]string
	Accounts  map[string]cataloguer.Account
	Services  map[string]cataloguer.Service
	Withdrawn map[string]bool
	Versions  map[AdapterKey]int64
}

// Item is one document, with the time at which this host received it.
type Item struct {
	merger.Held
	LearnedAt time.Time
	// ReadAt is when some host read the document from the configuration service.
	ReadAt time.Time
	// SignificantVersion is the version of the last change that other hosts need to know.
	SignificantVersion cataloguer.Version
	// ColdUntil is the end of the cold start that the last significant entry of a backend server tells of; zero if it tells of none.
	ColdUntil time.Time
}

func newDocuments() Documents {
	return Documents{
		Era:       Era{Kept: map[string]bool{}},
		Items:     map[string]*Item{},
		Keys:      map[string]string{},
		Accounts:  map[string]cataloguer.Account{},
		Services:  map[string]cataloguer.Service{},
		Withdrawn: map[string]bool{},
		Versions:  map[AdapterKey]int64{},
	}
}

// readResult is a response of the configuration service or of a peer.
type readResult struct {
	// From is the ID of the peer, or fromConfigService.
	From      string
	Documents []cataloguer.Document
	// Snapshot means that items which are not in Documents have been deleted.
	Snapshot bool
	Version  cataloguer.Version
	// SignificantVersion is the newest version of a change that other hosts need to know, as the peer reports it.
	SignificantVersion cataloguer.Version
	// EraAge is the time since a host first read the era of Version.
	EraAge time.Duration
	// ConfirmedAt is the time for which this host's documents were confirmed up to date before this response.
	ConfirmedAt time.Time
}

// fromConfigService is the source, in the log field from, of what this host has read from the configuration service itself.
const fromConfigService = "platform"

// applyDocuments applies the published items that are newer than the known ones. Only a snapshot may lead into a later era.
func applyDocuments(s *State, now time.Time, r readResult) {
	former := s.Documents.Version
	if r.Version.Era > former.Era {
		enterEra(s, now, r)
	}
	listed := map[string]bool{}
	for i := range r.Documents {
		d := r.Documents[i]
		listed[d.Key] = listed[d.Key] || d.Version.Era == r.Version.Era
		// A list may show changes after its version. The watch that continues from the version brings them too and marks them as
		// significant.
		if r.Snapshot && d.Version.After(r.Version) {
			continue
		}
		applyDocument(s, now, r, d)
	}
	if r.Snapshot && !former.After(r.Version) {
		applyMissing(s, now, r, listed)
	}
	s.Documents.Version = former.Max(r.Version)
	s.Documents.SignificantVersion = s.Documents.SignificantVersion.Max(r.SignificantVersion)
	if r.Snapshot {
		recordSnapshot(s, r)
	}
	if r.Version.Era > former.Era {
		logEra(s, now, r, former)
	}
}

// applyMissing applies what a snapshot says about the known items that it lacks: those of its era have been deleted, those of an earlier one may be
// written again.
func applyMissing(s *State, now time.Time, r readResult, listed map[string]bool) {
	for _, key := range sortedKeys(s.Documents.Items) {
		item := s.Documents.Items[key]
		if item.Document.Version.Era < r.Version.Era {
			keepItem(s, key, item, listed[key])
			continue
		}
		if !listed[key] && !item.Document.Deleted && !item.Document.Version.After(r.Version) {
			applyDocument(s, now, r, merger.Settle(&item.Held, r.Version))
		}
	}
}

// recordSnapshot records that this host does not know which items were deleted before a snapshot: a peer that has not read up to the
// snapshot's version must be sent all items.
func recordSnapshot(s *State, r readResult) {
	s.Documents.PrunedVersion = s.Documents.PrunedVersion.Max(r.Version)
	if r.From == fromConfigService {
		s.Documents.SignificantVersion = s.Documents.SignificantVersion.Max(r.Version)
	}
}

// applyDocument applies one published item if it is newer than the known one.
func applyDocument(s *State, now time.Time, r readResult, d cataloguer.Document) {
	item, known := s.Documents.Items[d.Key]
	if known && !d.Version.After(item.Document.Version) {
		return
	}
	fault := d.DecodeError
	if fault == "" && known && lacksStart(item.Document, d) {
		fault = "the start is missing, which former entries had"
	}
	if fault != "" {
		refuseDocument(s, item, d, fault)
		return
	}
	// An item that is older than the version that this host has read, and unknown in its era, was deleted by then. The end of a withdrawal matters
	// even if this host has not seen its beginning.
	unknown := !known || item.Document.Version.Era < d.Version.Era
	ends := d.Deleted && d.Kind != cataloguer.KindWithdrawnDomain
	if d.Kind == cataloguer.KindOther || unknown && !d.Version.After(s.Documents.Version) || !known && ends {
		return
	}
	if known {
		switch merger.Judge(&item.Held, d, r.Snapshot) {
		case merger.Confirm:
			confirmItem(s, item, d)
			return
		case merger.Keep:
			item.Shadow = &d
			return
		}
	}
	takeDocument(s, now, r, item, d)
}

// refuseDocument logs an invalid item; the known one holds, in the era of the invalid one too.
func refuseDocument(s *State, item *Item, d cataloguer.Document, fault string) {
	s.Counters.DocumentsRefused++
	s.logEvent(EventDocumentRefused, Field{"key", d.Key}, Field{"fault", fault})
	if item != nil && d.Version.Era > item.Document.Version.Era {
		confirmItem(s, item, d)
	}
}

// takeDocument puts a published item into force in place of the former one, which is nil if there was none.
func takeDocument(s *State, now time.Time, r readResult, former *Item, d cataloguer.Document) {
	// Peers send only what is significant. To judge it again would end a change here that the hosts behind this one need.
	if former != nil && r.From == fromConfigService && insignificant(now, former, d) {
		former.Document, former.ReadAt = d, now
		applyBackend(s, now, *d.Backend)
		return
	}
	significant := d.Version
	if r.From != fromConfigService {
		significant = significant.Min(r.SignificantVersion)
	}
	item := &Item{
		Held: merger.Held{Document: d}, LearnedAt: now, ReadAt: now.Add(-d.Age), SignificantVersion: significant, ColdUntil: coldEnd(now, d),
	}
	if former != nil {
		item.StartedUnixMs = former.StartedUnixMs
	}
	if d.Backend != nil && !d.Deleted {
		item.StartedUnixMs = d.Backend.StartedUnixMs
	}
	s.Documents.Items[d.Key] = item
	delete(s.Documents.Era.Kept, d.Key)
	s.Documents.SignificantVersion = s.Documents.SignificantVersion.Max(significant)
	applyItem(s, now, r, d)
}

// lacksStart reports whether the entry of a backend server lacks its start although the former one has it. Servers that publish their start always do, so
// the entry is another writer's, and would count as a new incarnation.
func lacksStart(former, d cataloguer.Document) bool {
	return former.Backend != nil && former.Backend.StartedUnixMs > 0 && d.Backend != nil && !d.Deleted && d.Backend.StartedUnixMs == 0
}

// insignificant reports whether the entry of a backend server changed only in what other hosts do not need to know.
func insignificant(now time.Time, item *Item, d cataloguer.Document) bool {
	former := item.Document
	if former.Version.Era != d.Version.Era || former.Backend == nil || d.Backend == nil || former.Deleted || d.Deleted {
		return false
	}
	x, y := *former.Backend, *d.Backend
	return x.Service == y.Service && x.Address == y.Address && x.FailureDomain == y.FailureDomain && x.StartedUnixMs == y.StartedUnixMs &&
		x.Slots == y.Slots && x.Draining == y.Draining && !coldAgain(now, item, y) && sameModels(x, y)
}

func sameModels(a, b cataloguer.Backend) bool {
	return slices.EqualFunc(a.Models, b.Models, func(x, y cataloguer.ResidentModel) bool { return x.Model == y.Model })
}

// applyItem puts a published item into effect.
func applyItem(s *State, now time.Time, r readResult, d cataloguer.Document) {
	switch d.Kind {
	case cataloguer.KindCatalogue:
		if !d.Deleted && (s.Documents.Catalogue == nil || d.Catalogue.Version > s.Documents.Catalogue.Version) {
			applyCatalogue(s, now, r, d)
		}
	case cataloguer.KindBackend:
		if d.Deleted {
			markBackendRemoved(s, now, d.Name)
			return
		}
		info := *d.Backend
		info.ColdRemaining = max(info.ColdRemaining-d.Age, 0)
		applyBackend(s, now, info)
	case cataloguer.KindWithdrawnDomain:
		if d.Deleted {
			assumeDomainCold(s, now, now.Add(-d.Age), d.Name)
		}
		if d.Deleted && s.Documents.Withdrawn[d.Name] {
			beginDomainSlowStart(s, now, d.Name)
		}
		s.Documents.Withdrawn[d.Name] = !d.Deleted
		s.logEvent(EventDomainWithdrawn, Field{"failure_domain", d.Name}, boolField("withdrawn", !d.Deleted))
	case cataloguer.KindAdapterVersion:
		if !d.Deleted {
			applyVersion(s, now, *d.AdapterVersion)
		}
	}
}

// applyCatalogue puts a newer catalogue into effect.
func applyCatalogue(s *State, now time.Time, r readResult, d cataloguer.Document) {
	c := d.Catalogue
	docs := &s.Documents
	docs.Catalogue = c
	s.invalidateBackendIndex()
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
	s.emit(ApplyCallerLimits{Limits: c.CallerLimits, Accounts: maps.Clone(docs.Keys)})
	s.logEvent(EventCatalogueApplied, intField("version", int(c.Version)), intField("era", int(d.Version.Era)), intField("revision", int(d.Version.Revision)),
		intField("routes", len(c.Routes)), intField("accounts", len(c.Accounts)),
		Field{"from", r.From}, ageField("confirmed_age_ms", now, r.ConfirmedAt))
}

// applyVersion records a new version of an adapter; resident adapters with an older version serve no new requests.
func applyVersion(s *State, now time.Time, v cataloguer.AdapterVersion) {
	key := AdapterKey{Model: v.Model, Adapter: v.Adapter}
	if v.Version <= s.Documents.Versions[key] {
		return
	}
	s.Documents.Versions[key] = v.Version
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if residency, ok := b.Adapters[key]; ok && residency.Version < v.Version {
			markAbsent(now, b, key)
		}
	}
}
