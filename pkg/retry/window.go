package retry

import "time"

// bucketsPerWindow is the number of buckets of a window. Buckets expire as a whole:
// retries are counted for up to one bucket longer than the window, and requests for up
// to one bucket less, so that the limit holds in every window.
const bucketsPerWindow = 20

// bucketsKept is the number of buckets kept: those of the current window and of the one
// before it, whose requests may allow retries in the current one.
const bucketsKept = 2*bucketsPerWindow + 1

// originOffset is how long before the first use of a window bucket 0 begins, so that the
// bucket numbers of older counts are positive.
const originOffset = 365 * 24 * time.Hour

// window counts requests and retries in a sliding time window.
type window struct {
	length   time.Duration
	requests [bucketsKept]float64
	retries  [bucketsKept]float64
	// origin is the start of bucket 0 by the monotonic clock, as the wall clock may jump.
	origin time.Time
	// current is the number of the current bucket.
	current int64
}

// advance clears the buckets that have left the window. A time before the current bucket
// counts as in it: callers read the clock before they wait for the lock of the service.
func (w *window) advance(now time.Time) {
	bucketLength := int64(w.length / bucketsPerWindow)
	if bucketLength <= 0 {
		return
	}
	if w.origin.IsZero() {
		w.origin = now.Add(-originOffset)
	}
	bucket := int64(now.Sub(w.origin)) / bucketLength
	if bucket-w.current >= bucketsKept {
		w.requests, w.retries = [bucketsKept]float64{}, [bucketsKept]float64{}
		w.current = bucket
		return
	}
	for w.current < bucket {
		w.current++
		w.requests[w.current%bucketsKept], w.retries[w.current%bucketsKept] = 0, 0
	}
}

// sums returns the requests and retries of the window that ends at the current bucket.
func (w *window) sums() (requests, retries float64) {
	for age := range int64(bucketsPerWindow + 1) {
		i := (w.current + bucketsKept - age) % bucketsKept
		if age < bucketsPerWindow {
			requests += w.requests[i]
		}
		retries += w.retries[i]
	}
	return requests, retries
}

// remaining returns the number of retries that are allowed now. The limit is checked for
// every window that has begun and not ended: its retries may not exceed allowance plus
// ratio times the requests of that window, of the window before it or of the window half a
// length earlier, whichever has the most requests.
func (w *window) remaining(ratio, allowance float64) float64 {
	// cumulative[i] is the number of requests in the i oldest buckets.
	var cumulative [bucketsKept + 1]float64
	for i := range int64(bucketsKept) {
		cumulative[i+1] = cumulative[i] + w.requests[(w.current+1+i)%bucketsKept]
	}
	requests, retries := w.sums()
	remaining := ratio*requests + allowance - retries
	retries = 0
	for first := int64(bucketsKept - 1); first > bucketsPerWindow; first-- {
		retries += w.retries[(w.current+1+first)%bucketsKept]
		// A window that begins within a bucket fully contains only the buckets after it.
		maxRequests := max(
			cumulative[first]-cumulative[first-bucketsPerWindow+1],
			cumulative[min(first+bucketsPerWindow/2, bucketsKept)]-cumulative[first-bucketsPerWindow/2+1],
			cumulative[bucketsKept]-cumulative[first+1],
		)
		remaining = min(remaining, ratio*maxRequests+allowance-retries)
	}
	return remaining
}

func (w *window) addRequest(now time.Time) {
	w.advance(now)
	w.requests[w.current%bucketsKept]++
}

func (w *window) addRetry(now time.Time) {
	w.advance(now)
	w.retries[w.current%bucketsKept]++
}

// split removes all counts except the latest requests, up to retain, and returns one of
// the given number of equal shares of the removed counts.
func (w *window) split(now time.Time, shares, retain float64) []BucketCounts {
	w.advance(now)
	var parts []BucketCounts
	bucketLength := w.length / bucketsPerWindow
	for age := range int64(bucketsKept) {
		i := (w.current + bucketsKept - age) % bucketsKept
		retained := min(retain, w.requests[i])
		middle := w.origin.Add(time.Duration(w.current-age)*bucketLength + bucketLength/2)
		p := BucketCounts{
			AgeMs:    uint32(max(now.Sub(middle), 0).Milliseconds()),
			Requests: (w.requests[i] - retained) / shares, Retries: w.retries[i] / shares,
		}
		retain -= retained
		w.requests[i], w.retries[i] = retained, 0
		if p.Requests > 0 || p.Retries > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

// add adds counts of another daemon.
func (w *window) add(now time.Time, p BucketCounts) {
	w.advance(now)
	bucket := int64(now.Add(-time.Duration(p.AgeMs)*time.Millisecond).Sub(w.origin)) / int64(w.length/bucketsPerWindow)
	if bucket <= w.current-bucketsKept {
		return
	}
	w.requests[bucket%bucketsKept] += p.Requests
	w.retries[bucket%bucketsKept] += p.Retries
}
