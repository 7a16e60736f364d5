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

// maxWriteWait is the longest time that a write may wait for the rate limit;
// the store rejects a write that would wait longer.
const maxWriteWait = 300 * time.Millisecond

// limitedStore is a memstore with a write rate limit. A write over the limit is
// delayed. It fails immediately and without effect if the delay would exceed
// maxWriteWait.
type limitedStore struct {
	*memstore.Store
	limiter *rate.Limiter

	reads, lists, writes, deletes, conflicts, refused atomic.Int64
}

func newLimitedStore(latency time.Duration, writesPerSecond int) *limitedStore {
	s := &limitedStore{Store: memstore.New(), limiter: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond/20)}
	s.SetFaults(memstore.Faults{Latency: latency})
	return s
}

// awaitWriteSlot blocks until the rate limit admits a write.
func (s *limitedStore) awaitWriteSlot(ctx context.Context) error {
	r := s.limiter.Reserve()
	wait := r.Delay()
	if wait > maxWriteWait {
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

func (s *limitedStore) countConflict(err error) error {
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
	if err := s.awaitWriteSlot(ctx); err != nil {
		return platform.Object{}, err
	}
	s.writes.Add(1)
	o, err := s.Store.Create(ctx, key, value)
	return o, s.countConflict(err)
}

// Update implements platform.Store.
func (s *limitedStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	if err := s.awaitWriteSlot(ctx); err != nil {
		return platform.Object{}, err
	}
	s.writes.Add(1)
	o, err := s.Store.Update(ctx, key, version, value)
	return o, s.countConflict(err)
}

// Delete implements platform.Store.
func (s *limitedStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.awaitWriteSlot(ctx); err != nil {
		return err
	}
	s.deletes.Add(1)
	return s.countConflict(s.Store.Delete(ctx, key, version))
}
