package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// maxQueue is how long a write waits for its turn before the platform refuses it.
const maxQueue = 300 * time.Millisecond

// limitedStore is a memstore that serves a limited number of writes a second.
// A write beyond the limit waits, and fails without effect after maxQueue.
type limitedStore struct {
	*memstore.Store
	limit *rate.Limiter

	reads, lists, writes, deletes, conflicts, refused atomic.Int64
}

func newLimitedStore(latency time.Duration, writesPerSecond int) *limitedStore {
	s := &limitedStore{Store: memstore.New(), limit: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond/20)}
	s.SetFaults(memstore.Faults{Latency: latency})
	return s
}

// turn waits for a write's turn.
func (s *limitedStore) turn(ctx context.Context) error {
	r := s.limit.Reserve()
	wait := r.Delay()
	if wait > maxQueue {
		r.Cancel()
		s.refused.Add(1)
		return platform.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *limitedStore) count(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		s.conflicts.Add(1)
	}
	return err
}

// Get implements platform.Store.
func (s *limitedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// List implements platform.Store.
func (s *limitedStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix)
}

// Create implements platform.Store.
func (s *limitedStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	if err := s.turn(ctx); err != nil {
		return platform.Object{}, err
	}
	s.writes.Add(1)
	o, err := s.Store.Create(ctx, key, value)
	return o, s.count(err)
}

// Update implements platform.Store.
func (s *limitedStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	if err := s.turn(ctx); err != nil {
		return platform.Object{}, err
	}
	s.writes.Add(1)
	o, err := s.Store.Update(ctx, key, version, value)
	return o, s.count(err)
}

// Delete implements platform.Store.
func (s *limitedStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.turn(ctx); err != nil {
		return err
	}
	s.deletes.Add(1)
	return s.count(s.Store.Delete(ctx, key, version))
}
