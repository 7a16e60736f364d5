package placement

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
	// Domain is the failure domain.
	Domain string
	// Address is the IP:port for callers, PeerAddress the UDP IP:port for
	// daemons.
	Address, PeerAddress string
	Condition            Condition
}

// eligible tells whether the host may be a home or relay.
func (h Host) eligible() bool { return h.Condition == Usable || h.Condition == Doubtful }
