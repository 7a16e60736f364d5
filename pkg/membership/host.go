package membership

import (
	"time"

	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
)

// State is the agreed state of a host. At the same incarnation a higher state
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

// HostState is what a daemon knows about another one.
type HostState struct {
	platform.Member
	// Liveness is spread by rumours.
	Liveness State
	// PathBad means that this daemon cannot reach the host, or could not a few
	// seconds ago. It is not spread.
	PathBad bool
	// Departing is announced by the host or stated by the roster; it is final.
	Departing bool
	// Detached is announced by a host that cannot reach the platform.
	Detached bool
	// Listed tells whether the host is in the last roster.
	Listed      bool
	Incarnation uint32
}

// Placement returns the host as placement sees it.
func (h HostState) Placement() placement.Host {
	host := placement.Host{ID: h.ID, HashKey: h.HostName(), Domain: h.Domain, Address: h.Address, PeerAddress: h.PeerAddress, Detached: h.Detached}
	switch {
	case h.Liveness == Dead:
		host.Condition = placement.Failed
	case h.Departing:
		host.Condition = placement.Leaving
	case h.Liveness == Suspect || h.PathBad:
		host.Condition = placement.Suspect
	}
	return host
}

// host is an entry of a View. Times are since the start of the view.
type host struct {
	key         uint64
	member      *platform.Member
	incarnation uint32
	state       State
	leaving     bool
	detached    bool
	listed      bool
	// met is set while the host is known by its own ping and no roster has listed it.
	met bool
	// noted is set while the key is in View.notable.
	noted bool
	// downListed is set while the key is in View.down.
	downListed bool
	// accuser is set when this daemon's own probe raised the suspicion.
	accuser bool
	// suspected is the start of the suspicion.
	suspected time.Duration
	// heard is the time of the last direct message, badUntil the end of PathBad.
	heard, badUntil time.Duration
	// unlisted is when the host left the roster or was met outside it.
	unlisted time.Duration
}

func (h *host) entry() Entry {
	return Entry{Key: h.key, State: h.state, Incarnation: h.incarnation, Leaving: h.leaving, Detached: h.detached}
}

// notable tells whether the host differs from one just read from a roster.
func (h *host) notable() bool { return h.state != Alive || h.incarnation > 0 || h.leaving }
