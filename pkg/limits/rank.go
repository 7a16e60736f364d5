package limits

import (
	"cmp"
	"slices"
	"time"
)

// The shares of accounts hold over some time, not from ticket to ticket: an account comes
// after the others of its class once it leads them by shareWindow of the capacity and by
// shareTickets tickets. Until then, tickets that can still meet their target come first,
// the oldest of these before all. With exact shares, all requests of a long overload
// start after their target, and accounts with few requests lose those that they send
// together. The window is about the time limit of a request.
const (
	shareWindow  = 3 * time.Second
	shareTickets = 6
)

// rank orders the oldest tickets of the flows of a class, by these criteria in turn:
// whether the account has had more than its share; whether the ticket can still meet its
// target, because a slot is worth more to such a ticket; the lead over other callers; and
// the target start.
type rank struct {
	overShare    bool
	missedTarget bool
	// lead is that of the flow with the ticket, see flow.lead. It is 0 for accounts that
	// have not had more than their share.
	lead        float64
	targetStart int64
	id          uint64
}

// before reports whether a ticket of rank r runs before one of rank o.
func (r *rank) before(o *rank) bool {
	if r.overShare != o.overShare {
		return !r.overShare
	}
	if r.missedTarget != o.missedTarget {
		return !r.missedTarget
	}
	if r.lead != o.lead {
		return r.lead < o.lead
	}
	if r.targetStart != o.targetStart && r.targetStart != noTarget && o.targetStart != noTarget {
		return r.targetStart < o.targetStart
	}
	return r.id < o.id
}

// window returns shareWindow of the capacity of a class, in virtual time.
func (q *Queue) window(k *classQueue) float64 {
	return shareWindow.Seconds() / q.serviceTime.Seconds() * float64(max(q.capacity, 1)) / k.weight
}

// allowedLead returns the lead up to which a flow of this weight is within its share.
// Callers without an account share equally from ticket to ticket.
func allowedLead(window, weight float64, account bool) float64 {
	if !account {
		return 0
	}
	return max(window, shareTickets/weight)
}

// set sets the rank to that of a waiting or new ticket with the given lead. now is in
// nanoseconds since Queue.origin.
func (r *rank) set(now int64, w *waiter, lead, allowed float64, account bool) {
	r.overShare = account && lead > allowed
	if account && !r.overShare {
		lead = 0
	}
	r.lead, r.targetStart, r.id, r.missedTarget = lead, w.targetStart, w.ticket.ID, w.targetStart < now
}

// rank sets r to the rank of the flow's oldest ticket.
func (f *flow) rank(now int64, window float64, r *rank) {
	r.set(now, f.oldest, f.lead(), allowedLead(window, f.weight, f.account), f.account)
}

// anyEligible reports whether any waiting ticket may run.
func (q *Queue) anyEligible() bool {
	for _, k := range q.classes {
		for _, f := range k.flows {
			if !f.caller.atConcurrencyLimit() {
				return true
			}
		}
	}
	return false
}

// selectNext returns the ticket to run next, or nil. A ticket that has missed its target
// runs first if the other tickets still meet theirs.
func (q *Queue) selectNext(now time.Time) *waiter {
	for _, k := range q.classes {
		var first, firstLate *waiter
		var firstRank, r rank
		window, at := q.window(k), q.since(now)
		for _, f := range k.flows {
			if f.caller.atConcurrencyLimit() {
				continue
			}
			f.rank(at, window, &r)
			if first == nil || r.before(&firstRank) {
				first, firstRank = f.oldest, r
			}
			if r.missedTarget && !r.overShare && (firstLate == nil || f.oldest.latestStart.Before(firstLate.latestStart)) {
				firstLate = f.oldest
			}
		}
		if first == nil {
			continue
		}
		if firstLate != nil && !firstRank.missedTarget && !firstRank.overShare && q.hasSlack(now) {
			return firstLate
		}
		return first
	}
	return nil
}

// hasSlack reports whether all tickets that can still meet their target do so if a
// ticket that has missed its own runs first. Without this check, late requests would
// expire while slots go to requests that can wait.
func (q *Queue) hasSlack(now time.Time) bool {
	timePerTicket := slackFactor * float64(q.serviceTime) / float64(max(q.capacity, 1))
	at := q.since(now)
	i, _ := slices.BinarySearchFunc(q.targets, at, func(w *waiter, now int64) int { return cmp.Compare(w.targetStart, now) })
	for position, w := range q.targets[i:] {
		if float64(w.targetStart-at) < float64(position+slackTickets)*timePerTicket {
			return false
		}
	}
	return true
}

const (
	// slackTickets is how many tickets may run before the first one that can meet its
	// target: the late ticket, and one more for requests that take longer than the mean.
	slackTickets = 2
	// slackFactor is the time that hasSlack allows for each ticket, in service times per
	// slot. With 1, late tickets take the time of requests that arrive next, which then
	// are late too; with 2 and more, late tickets expire that would be served after a
	// short surge.
	slackFactor = 1.25
)

// addTarget and removeTarget keep Queue.targets sorted by target start.
func (q *Queue) addTarget(w *waiter) {
	if w.targetStart != noTarget {
		i, _ := slices.BinarySearchFunc(q.targets, w, compareTargets)
		q.targets = slices.Insert(q.targets, i, w)
	}
}

func (q *Queue) removeTarget(w *waiter) {
	if i, ok := slices.BinarySearchFunc(q.targets, w, compareTargets); ok {
		q.targets = slices.Delete(q.targets, i, i+1)
	}
}

func compareTargets(w, o *waiter) int {
	return cmp.Or(cmp.Compare(w.targetStart, o.targetStart), cmp.Compare(w.ticket.ID, o.ticket.ID))
}
