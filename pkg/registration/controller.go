package registration

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/pkg/platform"
)

const (
	// minBackoff and maxBackoff bound the pause between two tries to create the
	// entry. The upper bound lets a daemon be known soon after an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
)

// Controller keeps the entry of one daemon. Store, Self and Log are required.
type Controller struct {
	Store platform.Store
	// Self is the daemon; its ID is new at each start.
	Self platform.Member
	Log  zerolog.Logger

	mu      sync.Mutex
	version uint64
	leaving bool
	// missing wakes Run when the entry was removed by another daemon.
	missing chan struct{}
}

// Key returns the key of the entry of a daemon.
func Key(id string) string { return platform.DaemonsPrefix + id }

// Provision prepares the controller.
func (c *Controller) Provision() { c.missing = make(chan struct{}, 1) }

// Run keeps the entry until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		if err := c.register(ctx); err != nil {
			if failures == 0 {
				c.Log.Warn().Err(err).Msg("registration: entry not written, will retry")
			}
			failures++
			if !sleep(ctx, min(minBackoff<<min(failures, 10), maxBackoff)) {
				return
			}
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
			return
		case <-c.missing:
			c.Log.Warn().Msg("registration: entry was removed by another daemon, writes it again")
		}
	}
}

// register creates the entry. An entry that exists is the result of an earlier
// try whose reply was lost, since the ID is new at each start.
func (c *Controller) register(ctx context.Context) error {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	if leaving {
		return nil
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return errors.Wrap(err, "registration: encode")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.Store.Create(ctx, Key(c.Self.ID), value)
	if errors.Is(err, platform.ErrConflict) {
		o, err = c.Store.Get(ctx, Key(c.Self.ID))
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.version = max(c.version, o.Version)
	c.mu.Unlock()
	c.Log.Info().Str("id", c.Self.ID).Uint64("version", o.Version).Msg("registration: entry written")
	return nil
}

// Seen takes a change of an entry, in order of version.
func (c *Controller) Seen(o platform.Object) {
	if o.Key != Key(c.Self.ID) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !o.Deleted || o.Version <= c.version || c.leaving {
		return
	}
	select {
	case c.missing <- struct{}{}:
	default:
	}
}

// Leave removes the own entry. A failure leaves it to the other daemons.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	version := c.version
	c.mu.Unlock()
	if version == 0 {
		return
	}
	c.delete(ctx, c.Self.ID, version)
}

// Remove removes the entry of a daemon that has ended.
func (c *Controller) Remove(ctx context.Context, id string, version uint64) {
	c.Log.Info().Str("daemon", id).Uint64("version", version).Msg("registration: removes the entry of a daemon that ended")
	c.delete(ctx, id, version)
}

func (c *Controller) delete(ctx context.Context, id string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Store.Delete(ctx, Key(id), version)
	if err != nil && !errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		c.Log.Warn().Str("daemon", id).Err(err).Msg("registration: entry not removed")
	}
}

// HostOf returns the host of a daemon id that NewID made.
func HostOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
