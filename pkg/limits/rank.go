package limits

import (
	"cmp"
	"slices"
	"time"
)

// rank orders waiting tickets, by these criteria in turn: the priority; whether the
// ticket can still meet its target, because a slot is worth more to such a ticket; the
// virtual start, which gives callers their shares by weight; and the target start.
type rank struct {
	priority     int
	missedTarget bool
	// virtualStart is the virtual start time of the ticket.
	virtualStart float64
	targetStart  time.Time
	id           uint64
}

// before reports whether a ticket of rank r runs before one of rank o.
func (r rank) before(o rank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	if r.missedTarget != o.missedTarget {
		return !r.missedTarget
	}
	if r.virtualStart != o.virtualStart {
		return r.virtualStart < o.virtualStart
	}
	if r.targetStart != o.targetStart && !r.targetStart.IsZero() && !o.targetStart.IsZero() {
		return r.targetStart.Before(o.targetStart)
	}
	return r.id < o.id
}

func (r rank) isPastTarget(now time.Time) bool {
	return !r.targetStart.IsZero() && r.targetStart.Before(now)
}

// rank returns the rank of a ticket that is its caller's oldest.
func (w *waiter) rank(now time.Time) rank {
	r := rank{priority: w.ticket.Priority, virtualStart: w.caller.nextStart, targetStart: w.targetStart, id: w.ticket.ID}
	r.missedTarget = r.isPastTarget(now)
	return r
}

// anyEligible reports whether any waiting ticket may run.
func (q *Queue) anyEligible() bool {
	for c := range q.waitingCallers {
		if c.eligible() {
			return true
		}
	}
	return false
}

// selectNext returns the ticket to run next, or nil. A ticket that has missed its
// target runs first if the other tickets still meet theirs.
func (q *Queue) selectNext(now time.Time) *waiter {
	var first, firstLate *waiter
	var firstRank, firstLateRank rank
	for c := range q.waitingCallers {
		if !c.eligible() {
			continue
		}
		w := c.head()
		r := w.rank(now)
		if first == nil || r.before(firstRank) {
			first, firstRank = w, r
		}
		if r.missedTarget && (firstLate == nil || w.latestStart.Before(firstLate.latestStart)) {
			firstLate, firstLateRank = w, r
		}
	}
	if firstLate == nil || firstRank.missedTarget || firstLateRank.priority != firstRank.priority || !q.hasSlack(now) {
		return first
	}
	return firstLate
}

// hasSlack reports whether all tickets that can still meet their target do so if a
// ticket that has missed its own runs first. Without this check, late requests would
// expire while slots go to requests that can wait.
func (q *Queue) hasSlack(now time.Time) bool {
	var targetStarts []time.Time
	for _, w := range q.waiting {
		if !w.targetStart.IsZero() && !w.targetStart.Before(now) {
			targetStarts = append(targetStarts, w.targetStart)
		}
	}
	slices.SortFunc(targetStarts, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	timePerTicket := float64(q.serviceTime) / float64(max(q.capacity, 1))
	for i, targetStart := range targetStarts {
		if targetStart.Before(now.Add(time.Duration(float64(i+slackTickets) * timePerTicket))) {
			return false
		}
	}
	return true
}

// slackTickets is how many tickets may run before the first one that can meet its
// target: the late ticket, and one more for requests that take longer than the mean.
const slackTickets = 2
