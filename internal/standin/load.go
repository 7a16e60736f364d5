package standin

import (
	"context"
	"sync"
	"time"
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
	// Took are the times of the requests with status 200.
	Took []time.Duration
}

// NewLoad returns an empty Load.
func NewLoad() *Load { return &Load{ByStatus: map[int]int{}, ByUpstream: map[string]int{}} }

func (l *Load) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent++
	l.ByStatus[o.Status]++
	l.ByUpstream[o.Upstream]++
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
