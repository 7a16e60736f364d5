package retry

import "time"

// buckets is into how many parts a window is divided. A part is forgotten as a
// whole: repeats are counted for up to one part more than the span, and requests for
// up to one part less, so that the limit holds in any span.
const buckets = 20

// window counts requests and repeated attempts over a sliding span.
type window struct {
	span     time.Duration
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	// at is the number of the present part since the epoch of the clock.
	at int64
}

// advance forgets the parts that have left the span.
func (w *window) advance(now time.Time) {
	part := int64(w.span / buckets)
	if part <= 0 {
		return
	}
	at := now.UnixNano() / part
	if gap := at - w.at; gap > buckets || gap < 0 {
		// A clock that went back starts a new span, in which the repeats count
		// as just made.
		_, made := w.sums()
		w.requests, w.repeats = [buckets + 1]int{}, [buckets + 1]int{}
		if gap < 0 {
			w.repeats[at%(buckets+1)] = made
		}
		w.at = at
		return
	}
	for w.at < at {
		w.at++
		w.requests[w.at%(buckets+1)], w.repeats[w.at%(buckets+1)] = 0, 0
	}
}

// sums returns the requests and repeats of the span that ends at the present part.
func (w *window) sums() (requests, repeats int) {
	oldest := int((w.at + 1) % (buckets + 1))
	for i := range w.requests {
		if i != oldest {
			requests += w.requests[i]
		}
		repeats += w.repeats[i]
	}
	return requests, repeats
}

func (w *window) addRequest(now time.Time) {
	w.advance(now)
	w.requests[w.at%(buckets+1)]++
}

func (w *window) addRepeat(now time.Time) {
	w.advance(now)
	w.repeats[w.at%(buckets+1)]++
}

// left is how many attempts may be repeated now under the policy.
func (w *window) left(now time.Time, p Policy) int {
	w.advance(now)
	requests, repeats := w.sums()
	return int(p.Ratio*float64(requests)+p.Allowance+rounding) - repeats
}
