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
	// DefaultSweepInterval is the time between two sweeps of a slice.
	DefaultSweepInterval = 6 * time.Hour
	// DefaultSweepRate is the deletes a second of the whole fleet. It has to
	// exceed the mean rate of keyed requests.
	DefaultSweepRate = 100
)

// sweepSlices is the number of slices of a service, by the first two hex
// digits of the object's name. A slice is read with one List.
const sweepSlices = 256

// Sweeper deletes the expired objects of NewObjects. Every daemon runs one;
// each slice of a service is swept by the daemon that rendezvous hashing over
// the live daemons selects, so the work does not grow with the fleet. Two
// daemons that both sweep a slice do no harm, because deletes are conditional.
// A Sweeper is not safe for concurrent use.
type Sweeper struct {
	Store platform.Store
	// Retention must be that of the ledgers.
	Retention time.Duration
	// Self is this daemon's id and Hosts returns the ids of the live daemons.
	Self  string
	Hosts func() []string
	// Services returns the names of the services.
	Services func() []string
	// Now is the clock that expires objects; default time.Now.
	Now func() time.Time
	// Interval is the time between two sweeps of a slice; default DefaultSweepInterval.
	Interval time.Duration
	// Rate is the deletes a second of the whole fleet; default DefaultSweepRate.
	Rate float64

	// pace holds this daemon to its part of Rate.
	pace *rate.Limiter
}

// Run sweeps until ctx ends. It reports each failed slice to failed, which may
// be nil, and tries the slice again in the next interval.
func (s *Sweeper) Run(ctx context.Context, failed func(service string, err error)) {
	interval := s.Interval
	setDefault(&interval, DefaultSweepInterval)
	ticker := time.NewTicker(max(interval/sweepSlices, 1))
	defer ticker.Stop()
	for slice := 0; ; slice = (slice + 1) % sweepSlices {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, service := range s.Services() {
			if _, err := s.Sweep(ctx, service, slice); err != nil && failed != nil {
				failed(service, err)
			}
		}
	}
}

// Sweep deletes the expired objects of a slice (0 to 255) of the service if
// this daemon owns it, and returns how many it deleted.
func (s *Sweeper) Sweep(ctx context.Context, service string, slice int) (int, error) {
	prefix := fmt.Sprintf("claims/%s/%02x", service, slice)
	hosts := s.Hosts()
	if owner(prefix, hosts) != s.Self {
		return 0, nil
	}
	objects, _, err := s.Store.List(ctx, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "claims: list expired objects")
	}
	if s.pace == nil {
		s.pace = rate.NewLimiter(0, 1)
	}
	s.pace.SetLimit(s.share(len(hosts)))
	deleted := 0
	for _, o := range objects {
		if !s.expired(o) {
			continue
		}
		if err := s.pace.Wait(ctx); err != nil {
			return deleted, errors.Wrap(err, "claims: wait for the next delete")
		}
		err := s.Store.Delete(ctx, o.Key, o.Version)
		if errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound) {
			continue // claimed again or swept by another daemon
		}
		if err != nil {
			return deleted, errors.Wrap(err, "claims: delete expired object")
		}
		deleted++
	}
	return deleted, nil
}

// share is this daemon's part of the fleet's deletes.
func (s *Sweeper) share(hosts int) rate.Limit {
	all := s.Rate
	if all == 0 {
		all = DefaultSweepRate
	}
	return rate.Limit(all / float64(max(hosts, 1)))
}

// expired reports whether an object was last written before the retention and
// its margin. A malformed object is kept: nothing is known about it.
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
	return now().Sub(time.Unix(stored.At, 0)) > retention+ClockMargin
}

// owner selects one of the hosts by rendezvous hashing.
func owner(name string, hosts []string) string {
	var best string
	var most uint64
	for _, h := range hosts {
		if weight := xxhash.Sum64String(h + "/" + name); best == "" || weight > most {
			best, most = h, weight
		}
	}
	return best
}
