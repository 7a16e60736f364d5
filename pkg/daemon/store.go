package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"shallotglade/pkg/platform"
)

// observedStore shows in a gauge whether the platform answered the last call of
// this daemon. A daemon that is no relay calls it seldom.
type observedStore struct {
	platform.Store
	up prometheus.Gauge
}

func observe(s platform.Store, up prometheus.Gauge) *observedStore {
	up.Set(1)
	return &observedStore{Store: s, up: up}
}

func (s *observedStore) seen(err error) {
	switch {
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrUnknownOutcome):
		s.up.Set(0)
	case err == nil, errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound):
		s.up.Set(1)
	}
}

// Get implements platform.Store.
func (s *observedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.seen(err)
	return o, err
}

// Create implements platform.Store.
func (s *observedStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	o, err := s.Store.Create(ctx, key, value)
	s.seen(err)
	return o, err
}

// Update implements platform.Store.
func (s *observedStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	o, err := s.Store.Update(ctx, key, version, value)
	s.seen(err)
	return o, err
}

// List implements platform.Store.
func (s *observedStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.List(ctx, prefix)
	s.seen(err)
	return objects, revision, err
}

// ListStale implements platform.Store.
func (s *observedStore) ListStale(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.ListStale(ctx, prefix)
	s.seen(err)
	return objects, revision, err
}

// Watch implements platform.Store.
func (s *observedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	s.seen(err)
	return objects, revision, err
}
