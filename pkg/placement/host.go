package placement

import "cmp"

// Condition is what this daemon knows about another one.
type Condition uint8

// Conditions of a host. Only Usable and Doubtful hosts are homes and relays.
const (
	// Usable hosts answer, as far as is known.
	Usable Condition = iota
	// Doubtful hosts are suspected, or cannot be reached from this daemon
	// alone. They stay homes, so that daemons agree on homes, and are named
	// after usable ones.
	Doubtful
	// Leaving hosts finish their work and get no new callers.
	Leaving
	// Failed hosts are believed dead.
	Failed
)

// Host is a daemon.
type Host struct {
	// ID is unique per process start.
	ID string
	// Rank is what homes and relays are chosen by: the name of the host, so that
	// a daemon that starts again has the roles it had. Empty means the ID.
	Rank string
	// Domain is the failure domain.
	Domain string
	// Address is the IP:port for callers, PeerAddress the UDP IP:port for
	// daemons.
	Address, PeerAddress string
	Condition            Condition
	// Detached hosts cannot reach the platform. They serve callers, and are
	// relays only when all hosts of their domain are detached.
	Detached bool
}

// rank returns what the host is chosen by.
func (h *Host) rank() string { return cmp.Or(h.Rank, h.ID) }

// eligible tells whether the host may be a home or relay.
func (h Host) eligible() bool { return h.Condition == Usable || h.Condition == Doubtful }
