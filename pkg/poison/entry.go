package poison

import (
	"cmp"
	"slices"
	"time"
)

// crashedUpstreams returns the distinct upstreams of the events that are not cleared.
func (e *entry) crashedUpstreams() []string {
	var out []string
	for _, ev := range e.events {
		if !ev.cleared && !slices.Contains(out, ev.upstream) {
			out = append(out, ev.upstream)
		}
	}
	return out
}

func (e *entry) crashedAt(upstream string) bool {
	for _, ev := range e.events {
		if !ev.cleared && ev.upstream == upstream {
			return true
		}
	}
	return false
}

// lastEvent returns the time of the newest event that is not cleared, or of the
// newest event if all are cleared.
func (e *entry) lastEvent() time.Time {
	var last, lastCleared time.Time
	for _, ev := range e.events {
		if ev.cleared && ev.at.After(lastCleared) {
			lastCleared = ev.at
		}
		if !ev.cleared && ev.at.After(last) {
			last = ev.at
		}
	}
	if last.IsZero() {
		return lastCleared
	}
	return last
}

// isSuspect reports whether an event is neither cleared nor too old to count.
func (e *entry) isSuspect(now time.Time) bool {
	switch {
	case len(e.crashedUpstreams()) == 0:
		return false
	case e.isConfirmed():
		return now.Sub(e.lastEvent()) < ForgetAfter
	default:
		return now.Sub(e.lastEvent()) < SuspectFor
	}
}

// isConfirmed reports whether upstreams crashed during two trials. Crashes with copies that
// were sent before the first crash was known do not confirm a suspect: upstreams that
// crash together for another reason lose identical requests too.
func (e *entry) isConfirmed() bool { return e.countCrashedTrials() > 1 }

// crashedElsewhere reports whether another upstream has crashed with the request.
func (e *entry) crashedElsewhere(upstream string) bool {
	return slices.ContainsFunc(e.crashedUpstreams(), func(id string) bool { return id != upstream })
}

// refusalRemaining returns how much longer the fingerprint is refused. Afterwards it
// is a suspect again, so that a wrongly refused one can be cleared.
func (e *entry) refusalRemaining(now time.Time) time.Duration {
	trials := e.countCrashedTrials()
	if trials == 0 {
		return 0
	}
	total := FirstRefuseFor
	if trials > 1 {
		total = RefuseFor
		for range trials - 2 {
			total = min(2*total, MaxRefuseFor)
		}
	}
	return max(0, total-now.Sub(e.lastEvent()))
}

// countCrashedTrials returns the number of crashes during trials that are not cleared.
func (e *entry) countCrashedTrials() int {
	n := 0
	for _, ev := range e.events {
		if ev.trial && !ev.cleared {
			n++
		}
	}
	return n
}

func (e *entry) dropOldest() {
	var oldest EventID
	var oldestTime time.Time
	for id, ev := range e.events {
		if oldestTime.IsZero() || ev.at.Before(oldestTime) || (ev.at.Equal(oldestTime) && id < oldest) {
			oldest, oldestTime = id, ev.at
		}
	}
	delete(e.events, oldest)
}

// appendEvents appends the events that are not older than ForgetAfter.
func (e *entry) appendEvents(events []Event, now time.Time, fp Fingerprint) []Event {
	for id, ev := range e.events {
		if age := max(0, now.Sub(ev.at)); age < ForgetAfter {
			events = append(events, Event{
				ID: id, Fingerprint: fp, Upstream: ev.upstream,
				AgeMS: uint64(age / time.Millisecond), Cleared: ev.cleared, Trial: ev.trial,
			})
		}
	}
	return events
}

// evictionCandidate orders entries for eviction: cleared ones first, then suspects,
// then refused ones, and older ones first within each rank.
type evictionCandidate struct {
	fp        Fingerprint
	rank      int
	lastEvent time.Time
}

func (c evictionCandidate) compare(other evictionCandidate) int {
	return cmp.Or(cmp.Compare(c.rank, other.rank), c.lastEvent.Compare(other.lastEvent), cmp.Compare(c.fp, other.fp))
}

func (e *entry) evictionRank(now time.Time) int {
	switch {
	case e.refusalRemaining(now) > 0:
		return 2
	case e.isSuspect(now):
		return 1
	default:
		return 0
	}
}
