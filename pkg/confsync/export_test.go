package confsync

import (
	"context"

	"shallotglade/pkg/platform"
)

// NewLastWriteWins returns a naive replica that keeps the object that arrived last.
func NewLastWriteWins() *Replica {
	r := NewReplica()
	r.supersedes = func(current, o platform.Object) bool { return o.Version != current.Version }
	return r
}

// NewPoller returns a function that makes one platform call as a relay does.
func (s *Syncer) NewPoller(prefix string) func(context.Context) error {
	p := &poller{syncer: s, prefix: prefix}
	return p.step
}

// ReconcileDomain compares the replica with the whole domain once, as a new relay does.
func (s *Syncer) ReconcileDomain() { s.compareTree(s.ownDomainAddresses(), 1) }

// All returns all objects and tombstones.
func (r *Replica) All() []platform.Object { return r.rangeAll("") }
