package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/verdict"
)

const (
	// drainDurationFactor is how many times its estimated duration a request must have left
	// before the daemon stops while the durations on its route are unknown.
	drainDurationFactor = 3
	// drainRetryAfter is the Retry-After value of a stopping daemon. Other daemons can
	// take the request at once.
	drainRetryAfter = 10 * time.Millisecond
	// reasonStopping is the reason of refusals by a stopping daemon, and of requests that
	// still ran when it stopped.
	reasonStopping = "stopping"
)

// errStopping is the cause of a context that ended because the daemon stops before it
// could answer the request.
var errStopping = errors.New("proxy: the daemon stops before it could answer the request")

// Drain tells the request path when a daemon stops. A nil Drain never starts.
type Drain struct {
	// started ends when the drain starts. startedAt and stopAt are set before.
	started           context.Context
	start             context.CancelFunc
	startedAt, stopAt time.Time
	// acceptEnded is when EndAccept was called, or nil.
	acceptEnded atomic.Pointer[time.Time]
}

// NewDrain returns a drain that has not started.
func NewDrain() *Drain {
	started, start := context.WithCancel(context.Background())
	return &Drain{started: started, start: start}
}

// Start announces until when the daemon answers requests. It may be called once.
func (d *Drain) Start(stopAt time.Time) {
	d.startedAt, d.stopAt = time.Now(), stopAt
	d.start()
}

// EndAccept makes the daemon refuse the requests that arrive from now on. There is less time
// left for them than for those that arrived before.
func (d *Drain) EndAccept() {
	now := time.Now()
	d.acceptEnded.CompareAndSwap(nil, &now)
}

// refuses reports whether the daemon refuses the request whatever its duration: it stops and
// another daemon has forwarded the request, which another home can take at no cost to the
// caller, or the request arrived after EndAccept.
func (d *Drain) refuses(in *Incoming) bool {
	if _, stopping := d.stopTime(); !stopping {
		return false
	}
	ended := d.acceptEnded.Load()
	return in.Hops > 0 || ended != nil && in.Arrived.After(*ended)
}

// stopTime returns until when the daemon answers requests, or false if it does not stop.
func (d *Drain) stopTime() (time.Time, bool) {
	if d == nil || d.started.Err() == nil {
		return time.Time{}, false
	}
	return d.stopAt, true
}

// startTime returns when the drain started, or false if it has not.
func (d *Drain) startTime() (time.Time, bool) {
	_, started := d.stopTime()
	if !started {
		return time.Time{}, false
	}
	return d.startedAt, true
}

// onStart calls f in its own goroutine when the drain starts, unless it has started
// already. The returned function cancels the call.
func (d *Drain) onStart(f func(stopAt time.Time)) (cancel func()) {
	if _, started := d.stopTime(); d == nil || started {
		return func() {}
	}
	unregister := context.AfterFunc(d.started, func() { f(d.stopAt) })
	return func() { unregister() }
}

// timeToFinish returns how much time a request must have left before the daemon stops, or it
// is not sent to an upstream any more: as much as nearly all requests of its route take. A
// request that still runs when the daemon stops is cut.
func timeToFinish(ctx context.Context, rule *document.Rule, service *blackboard.Service) time.Duration {
	if _, overdueAfter := service.Latency(rule.Name); overdueAfter > 0 {
		return overdueAfter
	}
	return drainDurationFactor * estimateDuration(service, time.Until(deadlineOf(ctx)))
}

// isTooLate reports whether a request that needs the given time is not to be sent to an
// upstream any more.
func (d *Drain) isTooLate(needed func() time.Duration) bool {
	stopAt, stopping := d.stopTime()
	return stopping && time.Until(stopAt) < needed()
}

// limitStart returns a context that ends with errStopping as soon as isTooLate is true.
// The time needed is determined when the drain starts, because it may not be known when the
// request arrives. The caller must call the returned function.
func (d *Drain) limitStart(ctx context.Context, needed func() time.Duration) (context.Context, context.CancelFunc) {
	if d == nil {
		return ctx, func() {}
	}
	ctx, end := context.WithCancelCause(ctx)
	if d.isTooLate(needed) {
		end(errStopping)
		return ctx, func() {}
	}
	unregister := context.AfterFunc(d.started, func() {
		timer := time.AfterFunc(time.Until(d.stopAt)-needed(), func() { end(errStopping) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		unregister()
		end(nil)
	}
}

func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// stoppingError returns the error for a request that the stopping daemon does not send to
// another upstream. earlier is the verdict of its earlier attempts.
func stoppingError(earlier verdict.Verdict) *verdict.Error {
	return &verdict.Error{
		Verdict: earlier, Status: 503, Reason: reasonStopping, Detail: "The daemon stops before it could answer the request.",
		RetryAfter: drainRetryAfter,
	}
}
