package modeler

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// ConfigService models the configuration service, which assigns each change the next revision.
type ConfigService struct {
	// Era counts how often the service has come back from an older copy.
	Era      int64
	Revision int64
	Items    map[string]cataloguer.Document
	// CompactedRevision is the revision up to which the change history has been discarded.
	CompactedRevision int64
	changes           []cataloguer.Document
}

// Put publishes an item, or its deletion if the item is marked as deleted.
func (s *ConfigService) Put(d cataloguer.Document) {
	if s.Items == nil {
		s.Items = map[string]cataloguer.Document{}
	}
	s.Revision++
	d.Version = s.Version()
	s.Items[d.Key] = d
	if d.Deleted {
		delete(s.Items, d.Key)
	}
	s.changes = append(s.changes, d)
}

// Remove deletes the item with the given key, if there is one.
func (s *ConfigService) Remove(key string) {
	d, ok := s.Items[key]
	if !ok {
		return
	}
	d.Deleted = true
	d.Raw = nil
	s.Put(d)
}

// Compact discards the change history up to the current revision.
func (s *ConfigService) Compact() {
	s.CompactedRevision = s.Revision
	s.changes = nil
}

// renumber gives what the copy holds the present era, in which all answers state it.
func (s *ConfigService) renumber() {
	for key, d := range s.Items {
		d.Version.Era = s.Era
		s.Items[key] = d
	}
	for i := range s.changes {
		s.changes[i].Version.Era = s.Era
	}
}

// Version returns the current version.
func (s *ConfigService) Version() cataloguer.Version {
	return cataloguer.Version{Era: s.Era, Revision: s.Revision}
}

// Copy returns a copy of the configuration service for Restore.
func (s *ConfigService) Copy() ConfigService {
	saved := *s
	saved.Items, saved.changes = maps.Clone(s.Items), slices.Clone(s.changes)
	return saved
}

// Restore brings the configuration service back from an older copy and returns the changes that are lost, the oldest first. Their revisions are
// given out again, in the next era.
func (s *ConfigService) Restore(saved ConfigService) (lost []cataloguer.Document) {
	for _, d := range s.changes {
		if d.Version.Revision > saved.Revision {
			lost = append(lost, d)
		}
	}
	era := s.Era + 1
	*s = saved.Copy()
	s.Era = era
	s.renumber()
	return lost
}

// List returns the items whose keys begin with a prefix, sorted by key.
func (s *ConfigService) List(prefix string) []cataloguer.Document {
	var list []cataloguer.Document
	for key, d := range s.Items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, d)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// ChangesSince returns the changes after a revision; expired reports that some of them have been discarded, or that there is no such revision.
func (s *ConfigService) ChangesSince(revision int64) (changes []cataloguer.Document, expired bool) {
	if revision < s.CompactedRevision || revision > s.Revision {
		return nil, true
	}
	for _, d := range s.changes {
		if d.Version.Revision > revision {
			changes = append(changes, d)
		}
	}
	return changes, false
}
