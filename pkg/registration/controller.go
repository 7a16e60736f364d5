package registration

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

const (
	// minBackoff and maxBackoff bound the backoff between attempts to write the
	// entry. The upper bound makes a daemon known soon after an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// callTimeout bounds one platform call.
	callTimeout = 2 * time.Second
)

// Controller maintains the entry of one daemon. Store, Self and Log are required.
type Controller struct {
	Store platform.Store
	// Self describes the daemon. Its ID changes with each start, its Host does not.
	Self platform.Member
	Log  zerolog.Logger

	mu      sync.Mutex
	version uint64
	leaving bool
	// entryLost wakes Run when the entry is not what it should be: it was removed, or the
	// store was restored from a copy.
	entryLost chan struct{}
}

// Key returns the key of the entry of a host's daemon.
func Key(host string) string { return platform.DaemonsPrefix + host }

// Provision initializes the controller. Call it before the other methods.
func (c *Controller) Provision() { c.entryLost = make(chan struct{}, 1) }

// Run writes the entry, and writes it again if it is lost, until ctx ends. After
// Deregister it removes the entry if it comes back.
func (c *Controller) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		if err := c.register(ctx); err != nil {
			if failures == 0 {
				c.Log.Warn().Err(err).Msg("registration: cannot write the entry, will retry")
			}
			failures++
			if !sleep.For(ctx, min(minBackoff<<min(failures, 10), maxBackoff)) {
				return
			}
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
			return
		case <-c.entryLost:
			c.removeIfLeaving(ctx)
		}
	}
}

// register writes the entry. It replaces the entry of a previous process on the host.
func (c *Controller) register(ctx context.Context) error {
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	if leaving {
		return nil
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return errors.Wrap(err, "registration: encode entry")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.Store.Create(ctx, Key(c.Self.Host), value)
	if errors.Is(err, platform.ErrConflict) {
		o, err = c.replace(ctx, o, value)
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

// replace overwrites the existing entry.
func (c *Controller) replace(ctx context.Context, existing platform.Object, value []byte) (platform.Object, error) {
	if existing.Version == 0 {
		var err error
		if existing, err = c.Store.Get(ctx, Key(c.Self.Host)); err != nil {
			return platform.Object{}, err
		}
	}
	if bytes.Equal(existing.Value, value) {
		// An earlier attempt took effect, but its reply was lost.
		return existing, nil
	}
	return c.Store.Update(ctx, Key(c.Self.Host), existing.Version, value)
}

// HandleChange processes a change of an entry. Changes must be passed in order of version.
func (c *Controller) HandleChange(o platform.Object) {
	if o.Key != Key(c.Self.Host) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Version <= c.version {
		return
	}
	own := !o.Deleted && entryID(o) == c.Self.ID
	switch {
	case own:
		// A store that was restored from a copy gives the entry a new version.
		c.version = o.Version
		if !c.leaving {
			return
		}
		c.Log.Warn().Uint64("version", o.Version).Msg("registration: entry came back after it was removed, removing it again")
	case c.leaving:
		return
	case o.Deleted:
		c.Log.Warn().Uint64("version", o.Version).Msg("registration: entry was removed by another daemon or lost by the store, writing it again")
	case c.version == 0 || platform.EraOf(o.Version) == platform.EraOf(c.version):
		// Run has not written the entry yet, or the next process on the host has.
		return
	default:
		c.Log.Warn().Str("entry", entryID(o)).Uint64("version", o.Version).
			Msg("registration: store was restored with the entry of another process, writing it again")
	}
	select {
	case c.entryLost <- struct{}{}:
	default:
	}
}

// entryID returns the daemon id in an entry, or "" if the entry cannot be read.
func entryID(o platform.Object) string {
	var m platform.Member
	if json.Unmarshal(o.Value, &m) != nil {
		return ""
	}
	return m.ID
}

// Deregister removes the entry of this daemon. If that fails, the entry stays until the
// next process on the host replaces it.
func (c *Controller) Deregister(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.removeIfLeaving(ctx)
}

// removeIfLeaving removes the entry after Deregister.
func (c *Controller) removeIfLeaving(ctx context.Context) {
	c.mu.Lock()
	leaving, version := c.leaving, c.version
	c.mu.Unlock()
	if !leaving || version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Store.Delete(ctx, Key(c.Self.Host), version)
	if err != nil && !errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		c.Log.Warn().Str("host", c.Self.Host).Err(err).Msg("registration: cannot remove the entry")
	}
}

// HostOf returns the host of a daemon id created by NewID.
func HostOf(id string) string {
	if i := strings.LastIndexByte(id, '.'); i >= 0 {
		return id[:i]
	}
	return id
}
