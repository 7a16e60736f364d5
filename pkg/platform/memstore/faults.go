package memstore

import "time"

// Faults is how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Latency delays every call.
	Latency time.Duration `json:"latencyNs"`
	// LoseReplies is how many of the next writes take effect but return
	// ErrUnknownOutcome.
	LoseReplies int `json:"loseReplies"`
	// MembersLag is how long a change of the membership list stays unseen.
	MembersLag time.Duration `json:"membersLagNs"`
}

// Counts are the calls since the store was made; a waiting watch counts as one.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}
