package crashsim

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// event is something that happens at a time; seq keeps the order of events of
// the same time fixed.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, &event{at: s.now.Add(d), seq: s.seq, run: run})
}

func sorted(running map[*copyOf]bool) []*copyOf {
	out := make([]*copyOf, 0, len(running))
	for c := range running {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *copyOf) int {
		return cmp.Or(cmp.Compare(a.req.fp, b.req.fp), cmp.Compare(a.home, b.home), cmp.Compare(a.req.left, b.req.left))
	})
	return out
}
