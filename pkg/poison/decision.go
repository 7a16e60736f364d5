package poison

import (
	"slices"
	"time"
)

// Action is what a home does with a request.
type Action uint8

// Actions returned by Check.
const (
	// Run means that the request is not a suspect.
	Run Action = iota
	// RunAlone means that the request is a suspect and may run here now, at
	// the upstream that Place returns.
	RunAlone
	// Wait means that a copy of this suspect, or too many other suspects, are
	// in flight here. Check again when one has ended.
	Wait
	// Forward means that this suspect runs only at Home. If Home cannot be
	// reached, refuse the request as not run.
	Forward
	// Refuse means that the request must not run.
	Refuse
)

var actionNames = [...]string{Run: "run", RunAlone: "run-alone", Wait: "wait", Forward: "forward", Refuse: "refuse"}

// String returns the form used in logs and metrics.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "unknown"
}

// Reasons for a refusal, as sent to the caller.
const (
	// ReasonPoison is sent with status 422: sending the same request again does
	// not help.
	ReasonPoison = "poison"
	// ReasonTrialCrashed is sent with status 503: an upstream crashed while it ran the
	// request alone. Another trial follows.
	ReasonTrialCrashed = "suspect-trial-crashed"
	// ReasonFloor is sent with status 503: the request is a suspect, and the
	// service is at its floor and must not lose another upstream.
	ReasonFloor = "suspect-at-floor"
)

// Decision is the result of Check.
type Decision struct {
	Action Action
	// Home is the home to forward the request to.
	Home string
	// Reason and Status are set if Action is Refuse.
	Reason string
	Status int
	// RetryAfter is the time until the decision may change. Zero means that it
	// does not change unless the caller changes the request.
	RetryAfter time.Duration
}

// Loss is the result of Tracker.Lost.
type Loss struct {
	Report
	// CheckDial requests one dial of the upstream. Its result must be passed to
	// Dialed before the request is retried or answered.
	CheckDial bool
}

// Report is the result of recording a response, a crash or a dial, or of merging a
// summary.
type Report struct {
	// Crashed means that the upstream crashed with requests in flight. These
	// requests are suspects, and the daemon must not retry them.
	Crashed bool
	// Changed means that Summary must be sent to the service's other homes.
	Changed bool
	// CrashExplained means that a known suspect was in flight, so the crash does
	// not count against the upstream.
	CrashExplained bool
	// ExplainedUpstreams lists upstreams whose earlier crashes are attributed to
	// a request that crashed several upstreams. The detector drops these crashes.
	ExplainedUpstreams []string
}

// addExplainedUpstreams adds the crashed upstreams of a refused fingerprint.
func (r *Report) addExplainedUpstreams(now time.Time, e *entry) {
	if e == nil || e.refusalRemaining(now) == 0 {
		return
	}
	r.ExplainedUpstreams = append(r.ExplainedUpstreams, e.crashedUpstreams()...)
	slices.Sort(r.ExplainedUpstreams)
	r.ExplainedUpstreams = slices.Compact(r.ExplainedUpstreams)
}
