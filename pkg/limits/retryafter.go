package limits

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest time that a refused caller is told to wait. A shorter one
	// lets callers return before anything has changed.
	minRetryAfter = 50 * time.Millisecond
	// maxSpread bounds the time over which the callers that are refused together return.
	maxSpread = time.Second
)

// RetryAfter returns when the caller of a refused request should send it again: at random
// between once and twice the time in which what stands before the request drains, but
// within maxSpread after it, so that callers that are refused together do not return
// together. It is not later than useful, the time until the latest start that is in time;
// useful is 0 if that is unknown or has passed.
func RetryAfter(drain, useful time.Duration, rng *rand.Rand) time.Duration {
	earliest := max(drain, minRetryAfter)
	latest := earliest + min(earliest, maxSpread)
	if useful >= minRetryAfter && useful < latest {
		earliest, latest = min(earliest, useful/2), useful
	}
	return earliest + time.Duration(rng.Float64()*float64(latest-earliest))
}

// backlog returns the time in which the waiting tickets start if no others come.
func (q *Queue) backlog() time.Duration {
	return time.Duration(float64(len(q.waiting)+1) / float64(max(q.capacity, 1)) * float64(q.serviceTime))
}
