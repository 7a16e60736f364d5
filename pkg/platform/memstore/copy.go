package memstore

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"shallotglade/pkg/platform"
)

// Copy is a state of a store.
type Copy struct {
	revision uint64
	objects  map[string]platform.Object
	members  map[string]platform.Member
}

// Copy returns the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, objects: maps.Clone(s.objects), members: maps.Clone(s.members)}
}

// Restore returns to a copy in the next era. Later changes are lost, and their revisions
// are assigned again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := platform.EraOf(s.revision)
	restored := func(version uint64) uint64 {
		_, revision := platform.SplitVersion(version)
		version, err := platform.VersionOf(era+1, revision)
		if err != nil {
			panic(err)
		}
		return version
	}
	s.revision = restored(c.revision)
	s.objects, s.members, s.log = map[string]platform.Object{}, map[string]platform.Member{}, nil
	for key, o := range c.objects {
		o.Version = restored(o.Version)
		s.objects[key] = o
		s.log = append(s.log, change{version: o.Version, key: key})
	}
	slices.SortFunc(s.log, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	for id, m := range c.members {
		m.Version = restored(m.Version)
		s.members[id] = m
	}
	s.publish(s.memberList(), s.revision)
	s.notifyWatchers()
}

// memberList returns the members sorted by id. It is not nil if it is empty: a nil list
// means that nothing has changed. The caller holds the lock.
func (s *Store) memberList() []platform.Member {
	list := slices.AppendSeq([]platform.Member{}, maps.Values(s.members))
	slices.SortFunc(list, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}
