package poison

import (
	"slices"
	"time"
)

// Action is what a home does with a request.
type Action uint8

// Actions of a decision.
const (
	// Run means that nothing is known against the request.
	Run Action = iota
	// RunAlone means that the request is a suspect and may run here now, at
	// the upstream that Place returns.
	RunAlone
	// Wait means that a copy of this suspect is in flight here; check again
	// when it has ended.
	Wait
	// Forward means that only Home runs this suspect. If it can't be reached,
	// refuse the request as not run.
	Forward
	// Refuse means that the request is not run.
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

// Reasons of a refusal, as told to the caller.
const (
	// ReasonPoison is given with status 422: sending the same request again
	// does not help.
	ReasonPoison = "poison"
	// ReasonFloor is given with status 503: the request is a suspect, and the
	// service can't spare another upstream at the moment.
	ReasonFloor = "suspect-at-floor"
)

// Decision is the result of Check.
type Decision struct {
	Action Action
	// Home is the home to forward to.
	Home string
	// Reason and Status are set for Refuse.
	Reason string
	Status int
	// RetryAfter is when the decision may change; zero for no sooner than
	// the caller changes the request.
	RetryAfter time.Duration
}

// Loss is what Tracker.Lost makes of a lost connection.
type Loss struct {
	Report
	// CheckDial asks for one dial of the upstream, to be reported by Dialed
	// before the request is retried or answered.
	CheckDial bool
}

// Report is what an observation has changed.
type Report struct {
	// Crashed means that the upstream has crashed with requests in flight, so
	// that they are suspects and must not be retried by the daemon.
	Crashed bool
	// Changed asks for Summary to be sent to the service's other homes.
	Changed bool
	// Excused means that a known suspect was in flight: the crash is not held
	// against the upstream.
	Excused bool
	// Forgiven lists upstreams whose earlier crashes are now explained by a
	// request that crashed several; the detector drops them.
	Forgiven []string
}

// forgive adds the upstreams of a refused fingerprint.
func (r *Report) forgive(now time.Time, e *entry) {
	if e == nil || e.refusedFor(now) == 0 {
		return
	}
	r.Forgiven = append(r.Forgiven, e.crashes()...)
	slices.Sort(r.Forgiven)
	r.Forgiven = slices.Compact(r.Forgiven)
}
