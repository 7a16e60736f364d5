package placement

import "cmp"

// Condition is the state of another daemon as seen by this one.
type Condition uint8

// Conditions of a host. Only Usable and Suspect hosts can be homes and relays.
const (
	// Usable hosts respond, as far as this daemon knows.
	Usable Condition = iota
	// Suspect hosts are suspected of having failed, or are unreachable from this
	// daemon only. They remain homes, so that daemons agree on the homes, and are
	// listed after usable ones.
	Suspect
	// Leaving hosts finish their requests and get no new callers.
	Leaving
	// Failed hosts are considered dead.
	Failed
)

// Host is a daemon as placement sees it.
type Host struct {
	// ID is unique per process start.
	ID string
	// HashKey is hashed to select homes and relays. It is the host's name, so that a
	// restarted daemon keeps its roles. Empty means the ID.
	HashKey string
	// Domain is the failure domain.
	Domain string
	// Address is the IP:port for callers, PeerAddress the UDP IP:port for other
	// daemons.
	Address, PeerAddress string
	Condition            Condition
	// Detached hosts cannot reach the platform. They serve callers, but are relays
	// only if all hosts of their domain are detached.
	Detached bool
	// Capacity is the number of requests per second that the host serves as a home,
	// 0 if it is unknown. See RequestCapacity.
	Capacity float64
}

// hasCapacity reports whether the host can serve the given requests per second, as far
// as its capacity is known.
func (h *Host) hasCapacity(rate float64) bool { return h.Capacity == 0 || h.Capacity >= rate }

// hashKey returns the key that the host's score is computed from.
func (h *Host) hashKey() string { return cmp.Or(h.HashKey, h.ID) }

// eligible reports whether the host may be a home or relay.
func (h Host) eligible() bool { return h.Condition == Usable || h.Condition == Suspect }
