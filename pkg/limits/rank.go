package limits

import (
	"cmp"
	"slices"
	"time"
)

// rank orders waiting tickets. Routes of a higher priority come first. Then come
// tickets that can still meet their target, those that have missed it after
// them: a slot given to the former earns more. Callers take turns by weight
// within that, and among callers whose turn it is the ticket that is due first
// runs first.
type rank struct {
	priority int
	late     bool
	// tag is the virtual start of the ticket's turn.
	tag float64
	due time.Time
	id  uint64
}

// before reports whether a ticket of rank r runs before one of rank o.
func (r rank) before(o rank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	if r.late != o.late {
		return !r.late
	}
	if r.tag != o.tag {
		return r.tag < o.tag
	}
	if r.due != o.due && !r.due.IsZero() && !o.due.IsZero() {
		return r.due.Before(o.due)
	}
	return r.id < o.id
}

func (r rank) isLate(now time.Time) bool { return !r.due.IsZero() && r.due.Before(now) }

// rank returns the rank of a ticket that is the oldest of its caller.
func (w *waiter) rank(now time.Time) rank {
	r := rank{priority: w.ticket.Priority, tag: w.owner.next, due: w.due, id: w.ticket.ID}
	r.late = r.isLate(now)
	return r
}

// anyEligible reports whether a waiting ticket may run.
func (q *Queue) anyEligible() bool {
	for c := range q.queued {
		if c.eligible() {
			return true
		}
	}
	return false
}

// next returns the ticket that runs next, or nil.
func (q *Queue) next(now time.Time) *waiter {
	var best, late *waiter
	var bestRank, lateRank rank
	for c := range q.queued {
		if !c.eligible() {
			continue
		}
		w := c.head()
		r := w.rank(now)
		if best == nil || r.before(bestRank) {
			best, bestRank = w, r
		}
		if r.late && (late == nil || w.latest.Before(late.latest)) {
			late, lateRank = w, r
		}
	}
	if late == nil || bestRank.late || lateRank.priority != bestRank.priority || !q.slack(now) {
		return best
	}
	return late
}

// slack reports whether all tickets that can still meet their target meet it
// when one that has missed its own runs before them. Without this, requests that
// are late would expire while slots go to requests that have time.
func (q *Queue) slack(now time.Time) bool {
	var dues []time.Time
	for _, w := range q.waiting {
		if !w.due.IsZero() && !w.due.Before(now) {
			dues = append(dues, w.due)
		}
	}
	slices.SortFunc(dues, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	perTicket := float64(q.service) / float64(max(q.capacity, 1))
	for i, due := range dues {
		if due.Before(now.Add(time.Duration(float64(i+slackTickets) * perTicket))) {
			return false
		}
	}
	return true
}

// slackTickets is how many tickets may run before the first of those with time:
// the late one, and one more for requests that take longer than the mean.
const slackTickets = 2
