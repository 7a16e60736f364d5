package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"shallotglade/pkg/platform"
)

// Defaults of Sweeper.
const (
	// DefaultSweepInterval is the time between two sweeps of a partition.
	DefaultSweepInterval = 6 * time.Hour
	// DefaultSweepRate is the number of deletes per second of the whole fleet.
	// It must exceed the mean rate of keyed requests.
	DefaultSweepRate = 100
)

// sweepPartitions is the number of partitions of a service. A partition holds the
// objects whose names begin with the same two hex digits; one List reads it.
const sweepPartitions = 256

// Sweeper deletes the expired objects of NewObjects. Every daemon runs one.
// Rendezvous hashing over the live daemons assigns each partition of a service
// to one daemon, so the total work does not grow with the fleet. It is safe if
// two daemons sweep the same partition, because deletes are conditional. A
// Sweeper is not safe for concurrent use.
type Sweeper struct {
	Store platform.Store
	// Retention must equal Config.Retention of the ledgers.
	Retention time.Duration
	// Self is the id of this daemon. Daemons returns the ids of all live daemons.
	Self    string
	Daemons func() []string
	// Services returns the names of the services.
	Services func() []string
	// Now is the clock that expires objects; default time.Now.
	Now func() time.Time
	// Interval is the time between two sweeps of a partition; default
	// DefaultSweepInterval.
	Interval time.Duration
	// Rate is the number of deletes per second of the whole fleet; default
	// DefaultSweepRate.
	Rate float64

	// limiter limits this daemon to its share of Rate.
	limiter *rate.Limiter
}

// Run sweeps until ctx ends. It calls onError for each failed partition and
// retries the partition in the next interval. onError may be nil.
func (s *Sweeper) Run(ctx context.Context, onError func(service string, err error)) {
	interval := s.Interval
	setDefault(&interval, DefaultSweepInterval)
	ticker := time.NewTicker(max(interval/sweepPartitions, 1))
	defer ticker.Stop()
	for partition := 0; ; partition = (partition + 1) % sweepPartitions {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, service := range s.Services() {
			if _, err := s.Sweep(ctx, service, partition); err != nil && onError != nil {
				onError(service, err)
			}
		}
	}
}

// Sweep deletes the expired objects of a partition (0 to 255) of the service if
// it is assigned to this daemon. It returns the number of deleted objects.
func (s *Sweeper) Sweep(ctx context.Context, service string, partition int) (int, error) {
	prefix := fmt.Sprintf("claims/%s/%02x", service, partition)
	daemons := s.Daemons()
	if owner(prefix, daemons) != s.Self {
		return 0, nil
	}
	objects, _, err := s.Store.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "claims: list objects of a partition")
	}
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(0, 1)
	}
	s.limiter.SetLimit(s.deleteRate(len(daemons)))
	deleted := 0
	for _, o := range objects {
		if !s.expired(o) {
			continue
		}
		if err := s.limiter.Wait(ctx); err != nil {
			return deleted, errors.Wrap(err, "claims: wait for the delete rate limit")
		}
		err := s.Store.Delete(ctx, o.Key, o.Version)
		if errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound) {
			continue // claimed again, or deleted by another daemon
		}
		if err != nil {
			return deleted, errors.Wrap(err, "claims: delete expired object")
		}
		deleted++
	}
	return deleted, nil
}

// deleteRate returns this daemon's share of the fleet's delete rate.
func (s *Sweeper) deleteRate(daemons int) rate.Limit {
	fleetRate := s.Rate
	if fleetRate == 0 {
		fleetRate = DefaultSweepRate
	}
	return rate.Limit(fleetRate / float64(max(daemons, 1)))
}

// expired reports whether the last write of an object is older than the retention
// plus MaxClockSkew. A malformed object is kept, because its age is unknown.
func (s *Sweeper) expired(o platform.Object) bool {
	stored, err := decode(o.Value)
	if err != nil {
		return false
	}
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	retention := s.Retention
	setDefault(&retention, DefaultRetention)
	return now().Sub(time.Unix(stored.WrittenAt, 0)) > retention+MaxClockSkew
}

// owner selects one of the daemons by rendezvous hashing.
func owner(name string, daemons []string) string {
	var selected string
	var highest uint64
	for _, daemon := range daemons {
		if weight := xxhash.Sum64String(daemon + "/" + name); selected == "" || weight > highest {
			selected, highest = daemon, weight
		}
	}
	return selected
}
