package main

import (
	"fmt"
	"sync"

	"shallotglade/internal/standin"
	"shallotglade/pkg/verdict"
)

// verdictCounts counts the verdicts that callers received for one key.
type verdictCounts struct {
	ran, mayHaveRun, notRun int
}

// recorder collects the outcomes that the callers received.
type recorder struct {
	mu       sync.Mutex
	byKey    map[string]*verdictCounts
	problems []string
	served   int
	sent     int
}

func newRecorder() *recorder { return &recorder{byKey: map[string]*verdictCounts{}} }

func (r *recorder) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// add records the outcome of a request; key is empty unless the request is an order.
func (r *recorder) add(key string, o standin.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if o.Status == 200 && o.Err == nil {
		r.served++
	}
	if o.Status == 200 && o.Err != nil && o.Verdict == verdict.Ran {
		r.problems = append(r.problems, fmt.Sprintf("answer of %q: %v", key, o.Err))
	}
	if key == "" {
		return
	}
	counts := r.byKey[key]
	if counts == nil {
		counts = &verdictCounts{}
		r.byKey[key] = counts
	}
	switch {
	case o.Err != nil:
		counts.mayHaveRun++
	case o.Verdict == verdict.Ran:
		counts.ran++
	case o.Verdict == verdict.NotRun && o.Refused == o.Tries-1:
		counts.notRun++
	default:
		counts.mayHaveRun++
	}
}

// check returns the recorded problems and those found by comparing the verdicts with
// the number of runs of each key at the upstreams.
func (r *recorder) check(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	problems := r.problems
	for key, counts := range r.byKey {
		switch n := runs[key]; {
		case n > 1:
			problems = append(problems, fmt.Sprintf("order %s ran %d times", key, n))
		case counts.ran > 0 && n == 0:
			problems = append(problems, fmt.Sprintf("order %s: a caller received the verdict \"ran\", but the order did not run", key))
		case counts.notRun > 0 && counts.ran == 0 && counts.mayHaveRun == 0 && n > 0:
			problems = append(problems, fmt.Sprintf("order %s: callers received only the verdict \"not run\", but the order ran", key))
		}
	}
	return problems
}
