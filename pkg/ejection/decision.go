package ejection

import (
	"slices"
	"time"
)

// Action is what Propose decided about one upstream.
type Action uint8

// Actions. All but Keep change the record.
const (
	// Keep: the upstream deserves ejection, but the floor or the size of the
	// record does not allow it.
	Keep Action = iota
	// Eject: the upstream becomes Ejected, for the first time or again.
	Eject
	// BeginTrial, BeginRamp and Return are the steps of a return.
	BeginTrial
	BeginRamp
	Return
	// Readmit: the list of upstreams shrank, and the floor needs this one.
	Readmit
	// Forget: the entry has no further use.
	Forget
)

// String returns the form used in logs.
func (a Action) String() string {
	return [...]string{"keep", "eject", "begin-trial", "begin-ramp", "return", "readmit", "forget"}[min(a, Forget)]
}

// Decision explains one action, for the log.
type Decision struct {
	Upstream string
	Action   Action
	// Reason is a short fixed identifier.
	Reason string
	// Round is how often the upstream was ejected lately, this time included.
	Round int
	// Until is when the next step is due; zero for Keep, Readmit and Forget.
	Until time.Time
}

// Reasons of decisions that do not come from the detector.
const (
	ReasonFloor      = "floor"
	ReasonRecordFull = "record-full"
	ReasonHoldOver   = "hold-over"
	ReasonTrialGood  = "trial-good"
	ReasonTrialIdle  = "trial-idle"
	ReasonRampOver   = "ramp-over"
	ReasonAbandoned  = "abandoned"
	ReasonGone       = "gone"
	ReasonOld        = "old"
)

// Changed tells whether any decision changes the record.
func Changed(decisions []Decision) bool {
	return slices.ContainsFunc(decisions, func(d Decision) bool { return d.Action != Keep })
}
