package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotglade/pkg/platform"
)

// observedStore sets a gauge to 1 if the platform answered this daemon's last
// call, and to 0 otherwise. A daemon that is not a relay seldom calls the platform.
type observedStore struct {
	platform.Store
	up  prometheus.Gauge
	log zerolog.Logger

	mu sync.Mutex
	// failingSince is the end of the first call that failed after the last
	// answer. It is zero while the platform answers.
	failingSince time.Time
	failedCalls  int
}

func newObservedStore(s platform.Store, up prometheus.Gauge, log zerolog.Logger) *observedStore {
	up.Set(1)
	return &observedStore{Store: s, up: up, log: log}
}

func (s *observedStore) recordResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrUnknownOutcome):
		s.up.Set(0)
		s.failedCalls++
		if s.failingSince.IsZero() {
			s.failingSince = time.Now()
			s.log.Warn().Err(err).Msg("platform: not responding")
		}
	case err == nil, errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound):
		s.up.Set(1)
		if !s.failingSince.IsZero() {
			s.log.Info().Dur("away_ms", time.Since(s.failingSince)).Int("failed_calls", s.failedCalls).Msg("platform: responding again")
			s.failingSince, s.failedCalls = time.Time{}, 0
		}
	}
}

// Get implements platform.Store.
func (s *observedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.recordResult(err)
	return o, err
}

// Create implements platform.Store.
func (s *observedStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	o, err := s.Store.Create(ctx, key, value)
	s.recordResult(err)
	return o, err
}

// Update implements platform.Store.
func (s *observedStore) Update(ctx context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	o, err := s.Store.Update(ctx, key, version, value)
	s.recordResult(err)
	return o, err
}

// List implements platform.Store.
func (s *observedStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.List(ctx, prefix)
	s.recordResult(err)
	return objects, revision, err
}

// ListStale implements platform.Store.
func (s *observedStore) ListStale(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.ListStale(ctx, prefix)
	s.recordResult(err)
	return objects, revision, err
}

// Watch implements platform.Store.
func (s *observedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	s.recordResult(err)
	return objects, revision, err
}
