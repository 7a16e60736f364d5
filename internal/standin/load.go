package standin

import (
	"context"
	"sync"
	"time"

	"shallotglade/pkg/verdict"
)

// Load aggregates the outcomes of concurrent callers.
type Load struct {
	mu sync.Mutex
	// Sent counts requests, OK those with status 200 and a valid answer.
	Sent, OK int
	// ByStatus counts answers by status; 0 stands for no answer.
	ByStatus map[int]int
	// ByUpstream counts answers by upstream.
	ByUpstream map[string]int
	// InvalidAnswers holds the errors of answers that were truncated or belong to
	// another request.
	InvalidAnswers []string
	// Unanswered holds the errors of requests without an answer.
	Unanswered []string
	// Refused counts refusals after which the request was sent again.
	Refused int
	// NotRun counts failed requests with the verdict "not run", MayHaveRun all other
	// failed requests.
	MayHaveRun, NotRun int
	// lastFailure is when the last failed request ended.
	lastFailure time.Time
	// Latencies holds the durations of the successful requests.
	Latencies []time.Duration
}

// NewLoad returns an empty Load.
func NewLoad() *Load { return &Load{ByStatus: map[int]int{}, ByUpstream: map[string]int{}} }

func (l *Load) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent++
	l.Refused += o.Refused
	l.ByStatus[o.Status]++
	l.ByUpstream[o.Upstream]++
	if o.Status != 200 || o.Err != nil {
		l.lastFailure = time.Now()
		if o.Verdict == verdict.NotRun {
			l.NotRun++
		} else {
			l.MayHaveRun++
		}
	}
	switch {
	case o.Err != nil && o.Status == 200:
		l.InvalidAnswers = append(l.InvalidAnswers, o.Err.Error())
	case o.Err != nil:
		l.Unanswered = append(l.Unanswered, o.Err.Error())
	case o.Status == 200:
		l.OK++
		l.Latencies = append(l.Latencies, o.Duration)
	}
}

// Count returns the number of finished requests.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Sent
}

// TimeToLastFailure returns the time from after to the last failed request, 0 if no
// request has failed since.
func (l *Load) TimeToLastFailure(after time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.lastFailure.Sub(after))
}

// Run lets each caller send requests one after the other, with a pause in between,
// until ctx ends. n is the number of the request of that caller, from 0.
func (l *Load) Run(ctx context.Context, callers []*Caller, pause time.Duration, request func(c *Caller, n int) Outcome) {
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.add(request(c, n))
				time.Sleep(pause)
			}
		}()
	}
	wg.Wait()
}
