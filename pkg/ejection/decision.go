package ejection

import (
	"slices"
	"time"
)

// Action is a decision of Propose about one upstream.
type Action uint8

// Actions. All except Keep change the record.
const (
	// Keep: the upstream qualifies for ejection, but the floor or the size limit
	// of the record prevents it.
	EjectionBlocked Action = iota
	// Eject: the upstream becomes Ejected, for the first time or after a relapse.
	Eject
	// BeginTrial, BeginRamp and Return are the steps of a return.
	BeginTrial
	BeginRamp
	Return
	// Readmit: the list of upstreams has shrunk, and the floor requires this one.
	Readmit
	// Forget: the entry is obsolete and is removed.
	Forget
)

// String returns the name used in logs.
func (a Action) String() string {
	return [...]string{"keep", "eject", "begin-trial", "begin-ramp", "return", "readmit", "forget"}[min(a, Forget)]
}

// Decision explains one action, for the log.
type Decision struct {
	Upstream string
	Action   Action
	// Reason identifies the cause of the action.
	Reason string
	// Round is the number of recent ejections, including this one.
	Round int
	// Until is the time of the next step. It is zero for Keep, Readmit and Forget.
	Until time.Time
}

// Reasons of decisions that do not come from the detector.
const (
	ReasonFloor          = "floor"
	ReasonRecordFull     = "record-full"
	ReasonHoldExpired    = "hold-over"
	ReasonTrialSucceeded = "trial-good"
	ReasonTrialIdle      = "trial-idle"
	ReasonRampComplete   = "ramp-over"
	ReasonAbandoned      = "abandoned"
	ReasonUpstreamGone   = "gone"
	ReasonExpired        = "old"
)

// Changed reports whether any decision changes the record.
func Changed(decisions []Decision) bool {
	return slices.ContainsFunc(decisions, func(d Decision) bool { return d.Action != EjectionBlocked })
}
