package main

import (
	"fmt"
	"sync"

	"shallotglade/internal/standin"
	"shallotglade/pkg/verdict"
)

// order is what the callers were told of one key.
type order struct {
	ran, mayHaveRun, notRun int
}

// record is what the callers saw.
type record struct {
	mu       sync.Mutex
	orders   map[string]*order
	problems []string
	served   int
	sent     int
}

func newRecord() *record { return &record{orders: map[string]*order{}} }

func (r *record) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// add takes the outcome of a request; key is that of an order.
func (r *record) add(key string, o standin.Outcome) {
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
	w := r.orders[key]
	if w == nil {
		w = &order{}
		r.orders[key] = w
	}
	switch {
	case o.Err != nil:
		w.mayHaveRun++
	case o.Verdict == verdict.Ran:
		w.ran++
	case o.Verdict == verdict.NotRun && o.Refused == o.Tries-1:
		w.notRun++
	default:
		w.mayHaveRun++
	}
}

// check compares the orders with what ran at the upstreams.
func (r *record) check(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	problems := r.problems
	for key, o := range r.orders {
		switch n := runs[key]; {
		case n > 1:
			problems = append(problems, fmt.Sprintf("order %s ran %d times", key, n))
		case o.ran > 0 && n == 0:
			problems = append(problems, fmt.Sprintf("order %s: told that it ran, and it did not", key))
		case o.notRun > 0 && o.ran == 0 && o.mayHaveRun == 0 && n > 0:
			problems = append(problems, fmt.Sprintf("order %s: told that it did not run, and it did", key))
		}
	}
	return problems
}
