package modeler

import (
	"sort"
	"strings"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Store is a configuration service that gives each change the next revision.
type Store struct {
	Revision int64
	Items    map[string]cataloguer.Document
	// CompactedRevision is the revision up to which changes are forgotten.
	CompactedRevision int64
	changes           []cataloguer.Document
}

// Put publishes an item.
func (s *Store) Put(d cataloguer.Document) {
	if s.Items == nil {
		s.Items = map[string]cataloguer.Document{}
	}
	s.Revision++
	d.Revision = s.Revision
	s.Items[d.Key] = d
	if d.Deleted {
		delete(s.Items, d.Key)
	}
	s.changes = append(s.changes, d)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	d, ok := s.Items[key]
	if !ok {
		return
	}
	d.Deleted = true
	d.Raw = nil
	s.Put(d)
}

// Compact forgets the changes up to now.
func (s *Store) Compact() {
	s.CompactedRevision = s.Revision
	s.changes = nil
}

// List returns the items under a prefix in the order of their keys.
func (s *Store) List(prefix string) []cataloguer.Document {
	var list []cataloguer.Document
	for key, d := range s.Items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, d)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// ChangesSince returns the changes after a revision; expired tells that some of them are forgotten.
func (s *Store) ChangesSince(revision int64) (changes []cataloguer.Document, expired bool) {
	if revision < s.CompactedRevision {
		return nil, true
	}
	for _, d := range s.changes {
		if d.Revision > revision {
			changes = append(changes, d)
		}
	}
	return changes, false
}
