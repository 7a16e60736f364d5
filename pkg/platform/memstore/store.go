// Package memstore is an in-memory platform.Store with fault injection. Tests
// use it directly; the platform stand-in serves it over HTTP.
package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotglade/pkg/platform"
)

// Store is an in-memory platform.Store, safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// revision is the version of the last change; see platform.VersionOf.
	revision uint64
	objects  map[string]platform.Object
	// log lists the writes in version order, so that a watch reads only the changes
	// after its revision instead of scanning all objects.
	log     []change
	members map[string]platform.Member
	// visible is the membership list that readers get. It lags behind members by
	// Faults.MembersLag.
	visible         []platform.Member
	visibleRevision uint64
	changed         chan struct{}
	faults          Faults
	counts          Counts
}

var (
	_ platform.Store  = (*Store)(nil)
	_ platform.Roster = (*Store)(nil)
)

// change is one entry of the log. It is superseded if the object has a higher version.
type change struct {
	version uint64
	key     string
}

// maxSupersededEntries is the number of superseded log entries allowed in addition to
// one per object.
const maxSupersededEntries = 1024

// New returns an empty, healthy store.
func New() *Store {
	return &Store{
		objects: map[string]platform.Object{},
		members: map[string]platform.Member{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. Waiting watches fail immediately if the store
// goes down.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok || o.Deleted {
		return platform.Object{}, platform.ErrNotFound
	}
	return cloneObject(o), nil
}

// Create implements platform.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	return s.write(ctx, key, value, func(old platform.Object, exists bool) bool {
		return !exists || old.Deleted
	})
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	return s.write(ctx, key, value, func(old platform.Object, exists bool) bool {
		return exists && !old.Deleted && old.Version == version
	})
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[key]
	if !ok || old.Deleted {
		return platform.ErrNotFound
	}
	if old.Version != version {
		return platform.ErrConflict
	}
	s.putLocked(platform.Object{Key: key, Deleted: true})
	return s.injectLostReply()
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && !o.Deleted {
			out = append(out, cloneObject(o))
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

// ListStale implements platform.Store.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return s.List(ctx, prefix)
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return nil, after, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		out, revision, changed, err := s.changesSince(prefix, after)
		if err != nil || len(out) > 0 {
			return out, revision, err
		}
		after = revision
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// Members implements platform.Store.
func (s *Store) Members(ctx context.Context, after uint64, wait time.Duration) ([]platform.Member, uint64, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return nil, after, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		list, revision, changed, down := slices.Clone(s.visible), s.visibleRevision, s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return nil, after, platform.ErrUnavailable
		}
		if revision > after || after == 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// PutMember adds or replaces an entry of the membership list. Readers see it after
// Faults.MembersLag.
func (s *Store) PutMember(m platform.Member) {
	s.changeMembers(func() {
		m.Version = s.revision
		s.members[m.ID] = m
	})
}

// RemoveMember removes an entry of the membership list.
func (s *Store) RemoveMember(id string) {
	s.changeMembers(func() { delete(s.members, id) })
}

func (s *Store) changeMembers(change func()) {
	s.mu.Lock()
	s.revision++
	change()
	lag := s.faults.MembersLag
	revision := s.revision
	list := s.memberList()
	if lag == 0 {
		s.publish(list, revision)
	}
	s.mu.Unlock()
	if lag > 0 {
		time.AfterFunc(lag, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.publish(list, revision)
		})
	}
}

// publish makes a membership list visible to readers. The caller holds the lock.
func (s *Store) publish(list []platform.Member, revision uint64) {
	if revision <= s.visibleRevision {
		return
	}
	s.visible, s.visibleRevision = list, revision
	s.notifyWatchers()
}

func (s *Store) write(ctx context.Context, key string, value []byte, allowed func(platform.Object, bool) bool) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[key]
	if !allowed(old, exists) {
		return platform.Object{}, platform.ErrConflict
	}
	o := s.putLocked(platform.Object{Key: key, Value: slices.Clone(value)})
	return cloneObject(o), s.injectLostReply()
}

// changesSince returns the objects under prefix that changed after the revision, the
// revision from which to continue, and a channel that is closed at the next change.
func (s *Store) changesSince(prefix string, after uint64) ([]platform.Object, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, after, nil, platform.ErrUnavailable
	}
	if platform.EraOf(after) != platform.EraOf(s.revision) {
		return nil, after, nil, platform.ErrHistoryGone
	}
	start, _ := slices.BinarySearchFunc(s.log, after+1, func(c change, version uint64) int {
		return cmp.Compare(c.version, version)
	})
	var out []platform.Object
	for _, c := range s.log[start:] {
		if o := s.objects[c.key]; o.Version == c.version && strings.HasPrefix(c.key, prefix) {
			out = append(out, cloneObject(o))
		}
	}
	return out, max(after, s.revision), s.changed, nil
}

// putLocked stores an object with the next revision. The caller holds the lock.
func (s *Store) putLocked(o platform.Object) platform.Object {
	s.revision++
	o.Version = s.revision
	s.objects[o.Key] = o
	s.log = append(s.log, change{version: o.Version, key: o.Key})
	if len(s.log) > 2*len(s.objects)+maxSupersededEntries {
		s.log = slices.DeleteFunc(s.log, func(c change) bool { return s.objects[c.key].Version != c.version })
	}
	s.notifyWatchers()
	return o
}

// beginCall counts the call, applies the injected latency and fails during an outage.
func (s *Store) beginCall(ctx context.Context, counter *uint64) error {
	s.mu.Lock()
	*counter++
	f := s.faults
	s.mu.Unlock()
	if f.Latency > 0 {
		timer := time.NewTimer(f.Latency)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

// injectLostReply returns ErrUnknownOutcome while replies are to be lost. The caller
// holds the lock.
func (s *Store) injectLostReply() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	s.faults.LoseReplies--
	return platform.ErrUnknownOutcome
}

// notifyWatchers wakes all waiting watches. The caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObject(o platform.Object) platform.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
