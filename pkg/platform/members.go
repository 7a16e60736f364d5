package platform

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/sleep"
)

// MembersPrefix is the prefix under which WithMembers shows the membership list.
const MembersPrefix = "members/"

// DaemonsPrefix is the prefix of the objects in which daemons enter themselves,
// each a Member in JSON, where the platform keeps no list of them.
const DaemonsPrefix = "daemons/"

// emptyListPoll is the time between two looks at a membership list that has never
// had a member.
const emptyListPoll = time.Second

// WithMembers returns a Store that shows the membership list as read-only
// objects "members/<id>", so that one mechanism distributes documents and
// members. The value is the Member in JSON, the version the member's own. A
// member that vanishes from the list becomes a tombstone whose version is the
// revision of the list.
func WithMembers(s Store, r Roster) Store {
	return &memberStore{Store: s, Roster: r, known: map[string]uint64{}}
}

type memberStore struct {
	Store
	Roster

	mu    sync.Mutex
	known map[string]uint64
}

// List implements Store.
func (s *memberStore) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	if prefix != MembersPrefix {
		return s.Store.List(ctx, prefix)
	}
	members, revision, err := s.Members(ctx, 0, 0)
	if err != nil {
		return nil, 0, err
	}
	objects, err := s.objects(members, revision, 0)
	if err != nil {
		return nil, 0, err
	}
	return slices.DeleteFunc(objects, func(o Object) bool { return o.Deleted }), revision, nil
}

// ListStale implements Store.
func (s *memberStore) ListStale(ctx context.Context, prefix string) ([]Object, uint64, error) {
	if prefix != MembersPrefix {
		return s.Store.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// Watch implements Store.
func (s *memberStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	if prefix != MembersPrefix {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	end := time.Now().Add(wait)
	for {
		objects, revision, err := s.changes(ctx, after, wait)
		left := time.Until(end)
		if err != nil || len(objects) > 0 || revision > 0 || left <= 0 {
			return objects, revision, err
		}
		// Members returns at once for revision 0.
		if !sleep.For(ctx, min(left, emptyListPoll)) {
			return nil, after, ctx.Err()
		}
	}
}

// changes waits for a newer membership list and returns what changed.
func (s *memberStore) changes(ctx context.Context, after uint64, wait time.Duration) ([]Object, uint64, error) {
	members, revision, err := s.Members(ctx, after, wait)
	if err != nil || members == nil {
		return nil, after, err
	}
	objects, err := s.objects(members, revision, after)
	return objects, revision, err
}

// objects returns the members that are newer than after, and tombstones of those
// that have vanished.
func (s *memberStore) objects(members []Member, revision, after uint64) ([]Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Object
	current := make(map[string]uint64, len(members))
	for _, m := range members {
		current[m.ID] = m.Version
		if m.Version <= after {
			continue
		}
		value, err := json.Marshal(m)
		if err != nil {
			return nil, errors.Wrap(err, "platform: encode member")
		}
		out = append(out, Object{Key: MembersPrefix + m.ID, Version: m.Version, Value: value})
	}
	for id := range s.known {
		if _, here := current[id]; !here {
			out = append(out, Object{Key: MembersPrefix + id, Version: revision, Deleted: true})
		}
	}
	s.known = current
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}
