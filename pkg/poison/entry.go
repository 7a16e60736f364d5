package poison

import (
	"cmp"
	"slices"
	"time"
)

// crashes returns the different upstreams of the events that count.
func (e *entry) crashes() []string {
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

// last is the time of the newest event that counts, or of the newest at all.
func (e *entry) last() time.Time {
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

// suspect reports whether any event still counts.
func (e *entry) suspect(now time.Time) bool {
	crashes := e.crashes()
	switch {
	case len(crashes) == 0:
		return false
	case len(crashes) == 1:
		return now.Sub(e.last()) < SuspectFor
	default:
		return now.Sub(e.last()) < ForgetAfter
	}
}

// refusedFor is how much longer the fingerprint is refused. After that time it
// is a suspect again, so that one wrongly refused can be cleared.
func (e *entry) refusedFor(now time.Time) time.Duration {
	if len(e.crashes()) < 2 {
		return 0
	}
	total := RefuseFor
	for range e.counting() - 2 {
		total = min(2*total, MaxRefuseFor)
	}
	return max(0, total-now.Sub(e.last()))
}

func (e *entry) counting() int {
	n := 0
	for _, ev := range e.events {
		if !ev.cleared {
			n++
		}
	}
	return n
}

func (e *entry) dropOldest() {
	var oldest EventID
	var at time.Time
	for id, ev := range e.events {
		if at.IsZero() || ev.at.Before(at) || (ev.at.Equal(at) && id < oldest) {
			oldest, at = id, ev.at
		}
	}
	delete(e.events, oldest)
}

// appendTo appends the events of the last ForgetAfter.
func (e *entry) appendTo(events []Event, now time.Time, fp Fingerprint) []Event {
	for id, ev := range e.events {
		if age := max(0, now.Sub(ev.at)); age < ForgetAfter {
			events = append(events, Event{
				ID: id, Fingerprint: fp, Upstream: ev.upstream,
				AgeMS: uint64(age / time.Millisecond), Cleared: ev.cleared,
			})
		}
	}
	return events
}

// worth orders entries by what dropping them costs: cleared ones first, then
// suspects, then those refused; older ones first.
type worth struct {
	fp   Fingerprint
	rank int
	last time.Time
}

func (w worth) compare(o worth) int {
	return cmp.Or(cmp.Compare(w.rank, o.rank), w.last.Compare(o.last), cmp.Compare(w.fp, o.fp))
}

func (e *entry) rank(now time.Time) int {
	switch {
	case e.refusedFor(now) > 0:
		return 2
	case e.suspect(now):
		return 1
	default:
		return 0
	}
}
