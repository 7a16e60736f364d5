package memstore

import "time"

// Faults are the injected faults. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Latency delays every call.
	Latency time.Duration `json:"latencyNs"`
	// LoseReplies is how many of the next writes take effect but return
	// ErrUnknownOutcome.
	LoseReplies int `json:"loseReplies"`
	// MembersLag is the delay until a change of the membership list becomes visible.
	MembersLag time.Duration `json:"membersLagNs"`
}

// Counts are the numbers of calls since the store was created. A waiting watch counts
// as one call.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}
