package mwfakestore

import (
	"maps"
	"slices"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// Copy is the state of a Store at one moment.
type Copy struct {
	table        map[mwstore.Key]version
	keys         []mwstore.Key
	objects      map[mwstore.Key][]byte
	lastRevision mwid.Revision
}

// Copy returns the present state of s. Values are shared, since s replaces them as a
// whole.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.table, s.keys, s.objects, s.lastRevision}.clone()
}

// Restore replaces the state of s by the earlier state c. All that was written since is
// lost, also if it was acknowledged, and its revisions are given out again. Writes in
// progress take effect on the restored state if their checks hold there.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = c.clone()
	s.table, s.keys, s.objects, s.lastRevision = c.table, c.keys, c.objects, c.lastRevision
}

func (c Copy) clone() Copy {
	return Copy{maps.Clone(c.table), slices.Clone(c.keys), maps.Clone(c.objects), c.lastRevision}
}
