package blackboard

import "time"

const (
	// requestWindowLength is the length of the sliding window over which the share
	// of unserved requests is computed, in buckets of requestBucketLength. The users'
	// rule on the share of upstreams that must receive requests has the same window.
	requestWindowLength = 2 * time.Second
	requestBucketLength = 250 * time.Millisecond
	// unservedThreshold is the share of unserved requests, over all homes, at which
	// requests are spread over more upstreams. It is below the 10% of the users'
	// rule because counts of other homes are a few hundred milliseconds old.
	unservedThreshold = 0.08
	// minUnserved is the number of unserved requests below which their share is
	// ignored as noise: a service with 20 requests per second loses 3 in 100 by
	// chance.
	minUnserved = 3
	// reportedCountsMaxAge is the age up to which counts of another home are used.
	reportedCountsMaxAge = time.Second
)

const requestBuckets = int(requestWindowLength / requestBucketLength)

// requestWindow counts the requests that ended in a sliding window or are overdue, and
// how many of them were not served.
type requestWindow struct {
	// overdue is the number of requests in flight that are overdue and cannot be
	// retried. They count as unserved before they end: a lost request ends with its
	// timeout, which is longer than the window.
	overdue int
	buckets [requestBuckets]RequestCounts
	// origin is the start of bucket 0. It has a monotonic clock reading, because the
	// wall clock may jump.
	origin time.Time
	// currentBucket is the number of the current bucket, counted from origin.
	currentBucket int64
	// reported maps each other home to its latest counts.
	reported map[string]reportedCounts
}

// RequestCounts counts the requests that ended in some period or are overdue, and how
// many of them were not served.
type RequestCounts struct {
	_        struct{} `cbor:",toarray"`
	Requests int
	Unserved int
}

// reportedCounts holds the counts of another home and the time of their receipt.
type reportedCounts struct {
	RequestCounts
	receivedAt time.Time
}

func (c *RequestCounts) add(other RequestCounts) {
	c.Requests += other.Requests
	c.Unserved += other.Unserved
}

// add counts a request that ended.
func (w *requestWindow) add(now time.Time, served bool) {
	w.advance(now)
	bucket := &w.buckets[w.currentBucket%int64(requestBuckets)]
	bucket.Requests++
	if !served {
		bucket.Unserved++
	}
}

// merge replaces the counts of another home.
func (w *requestWindow) merge(now time.Time, home string, counts RequestCounts) {
	if w.reported == nil {
		w.reported = map[string]reportedCounts{}
	}
	w.reported[home] = reportedCounts{counts, now}
}

// counts returns this home's counts within the window.
func (w *requestWindow) counts(now time.Time) RequestCounts {
	w.advance(now)
	sum := RequestCounts{Requests: w.overdue, Unserved: w.overdue}
	for _, bucket := range w.buckets {
		sum.add(bucket)
	}
	return sum
}

// total returns the counts of all homes within the window.
func (w *requestWindow) total(now time.Time) RequestCounts {
	sum := w.counts(now)
	for home, report := range w.reported {
		if now.Sub(report.receivedAt) > reportedCountsMaxAge {
			delete(w.reported, home)
			continue
		}
		sum.add(report.RequestCounts)
	}
	return sum
}

// manyUnserved reports whether the share of unserved requests reaches unservedThreshold.
func (c RequestCounts) manyUnserved() bool {
	return c.Unserved >= minUnserved && float64(c.Unserved) >= unservedThreshold*float64(c.Requests)
}

// advance drops the buckets that have left the window. A time before the current
// bucket is counted in that bucket: callers read the clock before they wait for the
// service's lock.
func (w *requestWindow) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	bucket := int64(now.Sub(w.origin) / requestBucketLength)
	if bucket-w.currentBucket >= int64(requestBuckets) {
		w.buckets, w.currentBucket = [requestBuckets]RequestCounts{}, bucket
		return
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		w.buckets[w.currentBucket%int64(requestBuckets)] = RequestCounts{}
	}
}

// RecordRequest counts a request that this daemon served or failed to serve.
func (s *Service) RecordRequest(now time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentRequests.add(now, served)
}
