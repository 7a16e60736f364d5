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

// MembersPrefix is the key prefix of the members that WithMembers exposes as objects.
const MembersPrefix = "members/"

// DaemonsPrefix is the key prefix of the objects in which daemons register themselves
// if the platform has no list of daemons. Each value is a Member in JSON.
const DaemonsPrefix = "daemons/"

// emptyListPollInterval is the interval at which a membership list that has never had a
// member is polled.
const emptyListPollInterval = time.Second

// WithMembers returns a Store that exposes the membership list as read-only objects
// "members/<id>", so that documents and members are distributed in the same way. The
// value of such an object is the Member in JSON, and its version is the member's. A
// member that is removed from the list becomes a tombstone whose version is the revision
// of the list.
func WithMembers(s Store, r Roster) Store {
	return &memberStore{Store: s, Roster: r, knownVersions: map[string]uint64{}}
}

type memberStore struct {
	Store
	Roster

	mu sync.Mutex
	// knownVersions maps the members of the last list to their versions.
	knownVersions map[string]uint64
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
	objects, err := s.diff(members, revision, 0)
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
	deadline := time.Now().Add(wait)
	for {
		objects, revision, err := s.waitForChanges(ctx, after, wait)
		remaining := time.Until(deadline)
		if err != nil || len(objects) > 0 || revision > 0 || remaining <= 0 {
			return objects, revision, err
		}
		// Members returns immediately for revision 0.
		if !sleep.For(ctx, min(remaining, emptyListPollInterval)) {
			return nil, after, ctx.Err()
		}
	}
}

// waitForChanges waits for a newer membership list and returns the changed members.
func (s *memberStore) waitForChanges(ctx context.Context, after uint64, wait time.Duration) ([]Object, uint64, error) {
	members, revision, err := s.Members(ctx, after, wait)
	if err != nil || members == nil {
		return nil, after, err
	}
	objects, err := s.diff(members, revision, after)
	return objects, revision, err
}

// diff returns the members that are newer than after, and tombstones of the members that
// were removed since the last list.
func (s *memberStore) diff(members []Member, revision, after uint64) ([]Object, error) {
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
	for id := range s.knownVersions {
		if _, exists := current[id]; !exists {
			out = append(out, Object{Key: MembersPrefix + id, Version: revision, Deleted: true})
		}
	}
	s.knownVersions = current
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}
