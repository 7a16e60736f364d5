package standin

import (
	"context"
	"sync"
	"time"

	"shallotglade/pkg/verdict"
)

// Load is what a number of callers saw together.
type Load struct {
	mu sync.Mutex
	// Sent counts requests, OK those with status 200.
	Sent, OK int
	// ByStatus counts answers by status; 0 stands for no answer.
	ByStatus map[int]int
	// ByUpstream counts answers by upstream.
	ByUpstream map[string]int
	// Wrong are answers that were cut short or somebody else's.
	Wrong []string
	// Lost are requests that got no answer at all.
	Lost []string
	// Refused counts refusals after which the request was sent again.
	Refused int
	// MayHaveRun and NotRun count answers that are no success, by verdict.
	MayHaveRun, NotRun int
	// trouble is when the last request that was no success ended.
	trouble time.Time
	// Took are the times of the requests with status 200.
	Took []time.Duration
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
		l.trouble = time.Now()
		if o.Verdict == verdict.NotRun {
			l.NotRun++
		} else {
			l.MayHaveRun++
		}
	}
	switch {
	case o.Err != nil && o.Status == 200:
		l.Wrong = append(l.Wrong, o.Err.Error())
	case o.Err != nil:
		l.Lost = append(l.Lost, o.Err.Error())
	case o.Status == 200:
		l.OK++
		l.Took = append(l.Took, o.Took)
	}
}

// Count returns how many requests have ended.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Sent
}

// LastTrouble returns how long after a moment the last request failed, 0 if none
// did.
func (l *Load) LastTrouble(after time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.trouble.Sub(after))
}

// Run lets the callers send requests for a time, each its next one as soon as
// the former has ended and a pause has passed.
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
