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

// observedStore shows in a gauge whether the platform answered the last call of
// this daemon. A daemon that is no relay calls it seldom.
type observedStore struct {
	platform.Store
	up  prometheus.Gauge
	log zerolog.Logger

	mu sync.Mutex
	// lostAt is when the first of the calls that have failed since the last
	// answer ended; zero while the platform answers.
	lostAt time.Time
	failed int
}

func observe(s platform.Store, up prometheus.Gauge, log zerolog.Logger) *observedStore {
	up.Set(1)
	return &observedStore{Store: s, up: up, log: log}
}

func (s *observedStore) seen(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrUnknownOutcome):
		s.up.Set(0)
		s.failed++
		if s.lostAt.IsZero() {
			s.lostAt = time.Now()
			s.log.Warn().Err(err).Msg("platform: does not answer")
		}
	case err == nil, errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound):
		s.up.Set(1)
		if !s.lostAt.IsZero() {
			s.log.Info().Dur("away_ms", time.Since(s.lostAt)).Int("failed_calls", s.failed).Msg("platform: answers again")
			s.lostAt, s.failed = time.Time{}, 0
		}
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
