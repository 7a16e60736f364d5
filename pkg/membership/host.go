package membership

import (
	"time"

	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
)

// State is the gossiped state of a host. At the same incarnation a higher state
// replaces a lower one.
type State uint8

// States of a host.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the form used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// HostState is a snapshot of what the view knows about one daemon.
type HostState struct {
	platform.Member
	// Liveness is shared between daemons by gossip.
	Liveness State
	// PathBad is set when this daemon failed to reach the host within the last
	// Params.PathBadDuration. It is local and not gossiped.
	PathBad bool
	// Leaving is announced by the host or set by the roster. It is never unset.
	Leaving bool
	// Detached is announced by a host that cannot reach the platform.
	Detached bool
	// Listed is true if the host is in the last roster.
	Listed      bool
	Incarnation uint32
}

// Placement converts the state to a placement.Host.
func (h HostState) Placement() placement.Host {
	host := placement.Host{
		ID: h.ID, HashKey: h.HostName(), Domain: h.Domain, Address: h.Address, PeerAddress: h.PeerAddress, Detached: h.Detached,
		Capacity: placement.RequestCapacity(h.Cores, h.LinkMbps),
	}
	switch {
	case h.Liveness == Dead:
		host.Condition = placement.Failed
	case h.Leaving:
		host.Condition = placement.Leaving
	case h.Liveness == Suspect || h.PathBad:
		host.Condition = placement.Suspect
	}
	return host
}

// host is a View's record of another daemon. Times count from View.start.
type host struct {
	key         uint64
	member      *platform.Member
	incarnation uint32
	state       State
	leaving     bool
	detached    bool
	listed      bool
	// discovered is set while the host is known from its own ping only and no
	// roster has listed it.
	discovered bool
	// inNonDefault is set while the key is in View.nonDefault.
	inNonDefault bool
	// inNotAlive is set while the key is in View.notAlive.
	inNotAlive bool
	// locallySuspected is set when this daemon's own probe raised the suspicion.
	locallySuspected bool
	// suspectedAt is the start of the suspicion.
	suspectedAt time.Duration
	// lastHeard is the time of the last direct message. pathBadUntil is when
	// PathBad expires.
	lastHeard, pathBadUntil time.Duration
	// unlistedAt is when the host left the roster, or was discovered without it.
	unlistedAt time.Duration
}

func (h *host) entry() Entry {
	return Entry{Key: h.key, State: h.state, Incarnation: h.incarnation, Leaving: h.leaving, Detached: h.detached}
}

// nonDefault reports whether the state differs from that of a host just read
// from a roster, so that it is worth gossiping.
func (h *host) nonDefault() bool { return h.state != Alive || h.incarnation > 0 || h.leaving }
