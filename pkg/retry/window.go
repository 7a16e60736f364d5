package retry

import "time"

// buckets is into how many parts a window is divided. A part is forgotten as a
// whole: repeats are counted for up to one part more than the span, and requests for
// up to one part less, so that the limit holds in any span.
const buckets = 20

// kept is how many parts are kept: those of the present span and of the one before it,
// whose requests may pay for repeats of the present one.
const kept = 2*buckets + 1

// originAge is how long before its first use the parts of a window are counted from, so
// that their numbers stay positive for counts that are older than the window.
const originAge = 365 * 24 * time.Hour

// window counts requests and repeated attempts over a sliding span.
type window struct {
	span     time.Duration
	requests [kept]float64
	repeats  [kept]float64
	// origin is where the parts begin, by the steady clock: the time of day may jump.
	origin time.Time
	// at is the number of the present part since the origin.
	at int64
}

// advance forgets the parts that have left the span. A time before the present part
// counts as in it: callers take the time before they wait for the lock of the service.
func (w *window) advance(now time.Time) {
	part := int64(w.span / buckets)
	if part <= 0 {
		return
	}
	if w.origin.IsZero() {
		w.origin = now.Add(-originAge)
	}
	at := int64(now.Sub(w.origin)) / part
	if at-w.at >= kept {
		w.requests, w.repeats = [kept]float64{}, [kept]float64{}
		w.at = at
		return
	}
	for w.at < at {
		w.at++
		w.requests[w.at%kept], w.repeats[w.at%kept] = 0, 0
	}
}

// sums returns the requests and repeats of the span that ends at the present part.
func (w *window) sums() (requests, repeats float64) {
	for age := range int64(buckets + 1) {
		i := (w.at + kept - age) % kept
		if age < buckets {
			requests += w.requests[i]
		}
		repeats += w.repeats[i]
	}
	return requests, repeats
}

// left is how many requests may be repeated now, when ratio repeats are paid by each
// request and allowance ones by none. That holds for each span that has begun and not
// ended: its repeats are paid by its requests, those of the span before it or those of
// the span half a span before it, whichever has most.
func (w *window) left(ratio, allowance float64) float64 {
	// before holds the requests before each part, the oldest first.
	var before [kept + 1]float64
	for part := range int64(kept) {
		before[part+1] = before[part] + w.requests[(w.at+1+part)%kept]
	}
	requests, repeats := w.sums()
	least := ratio*requests + allowance - repeats
	repeats = 0
	for first := int64(kept - 1); first > buckets; first-- {
		repeats += w.repeats[(w.at+1+first)%kept]
		// A span that begins within a part contains the whole parts after it only.
		most := max(
			before[first]-before[first-buckets+1], before[min(first+buckets/2, kept)]-before[first-buckets/2+1], before[kept]-before[first+1],
		)
		least = min(least, ratio*most+allowance-repeats)
	}
	return least
}

func (w *window) addRequest(now time.Time) {
	w.advance(now)
	w.requests[w.at%kept]++
}

func (w *window) addRepeat(now time.Time) {
	w.advance(now)
	w.repeats[w.at%kept]++
}

// split empties the window but for the latest requests, as many as stay, and returns
// one of n equal shares of the rest.
func (w *window) split(now time.Time, n, stay float64) []Part {
	w.advance(now)
	var parts []Part
	length := w.span / buckets
	for age := range int64(kept) {
		i := (w.at + kept - age) % kept
		stays := min(stay, w.requests[i])
		middle := w.origin.Add(time.Duration(w.at-age)*length + length/2)
		p := Part{
			AgeMs:    uint32(max(now.Sub(middle), 0).Milliseconds()),
			Requests: (w.requests[i] - stays) / n, Repeats: w.repeats[i] / n,
		}
		stay -= stays
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
	at := int64(now.Add(-time.Duration(p.AgeMs)*time.Millisecond).Sub(w.origin)) / int64(w.span/buckets)
	if at <= w.at-kept {
		return
	}
	w.requests[at%kept] += p.Requests
	w.repeats[at%kept] += p.Repeats
}
