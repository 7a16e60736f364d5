package confsync

import (
	"context"

	"shallotglade/pkg/platform"
)

// NewLastWriteWins returns the naive replica: what arrives last is kept.
func NewLastWriteWins() *Replica {
	r := NewReplica()
	r.newer = func(held, o platform.Object) bool { return o.Version != held.Version }
	return r
}

// NewPoller returns a function that makes one call to the platform as a relay.
func (s *Syncer) NewPoller(prefix string) func(context.Context) error {
	p := &poller{syncer: s, prefix: prefix}
	return p.step
}

// ReconcileDomain compares copies with the whole domain once, as a new relay does.
func (s *Syncer) ReconcileDomain() { s.compareTree(s.domainAddresses(), 1) }

// All returns the objects and tombstones held.
func (r *Replica) All() []platform.Object { return r.all("") }
