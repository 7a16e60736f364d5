package retry

import "time"

// buckets is into how many parts a window is divided. A part is forgotten as a
// whole: repeats are counted for up to one part more than the span, and requests for
// up to one part less, so that the limit holds in any span.
const buckets = 20

// window counts requests and repeated attempts over a sliding span.
type window struct {
	span     time.Duration
	requests [buckets + 1]float64
	repeats  [buckets + 1]float64
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
		w.requests, w.repeats = [buckets + 1]float64{}, [buckets + 1]float64{}
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
func (w *window) sums() (requests, repeats float64) {
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

// split empties the window but for the latest requests, as many as kept, and returns
// one of n equal shares of the rest.
func (w *window) split(now time.Time, n, kept float64) []Part {
	w.advance(now)
	var parts []Part
	length := w.span / buckets
	for age := range int64(buckets + 1) {
		i := (w.at + buckets + 1 - age) % (buckets + 1)
		stays := min(kept, w.requests[i])
		middle := time.Unix(0, (w.at-age)*int64(length)).Add(length / 2)
		p := Part{
			AgeMs:    uint32(max(now.Sub(middle), 0).Milliseconds()),
			Requests: (w.requests[i] - stays) / n, Repeats: w.repeats[i] / n,
		}
		kept -= stays
		w.requests[i], w.repeats[i] = stays, 0
		if p.Requests > 0 || p.Repeats > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

// add adds counts of another daemon.
func (w *window) add(now time.Time, p Part) {
	w.advance(now)
	at := now.Add(-time.Duration(p.AgeMs)*time.Millisecond).UnixNano() / int64(w.span/buckets)
	if at < w.at-buckets {
		return
	}
	w.requests[at%(buckets+1)] += p.Requests
	w.repeats[at%(buckets+1)] += p.Repeats
}
