// Package vtime runs simulations in virtual time: scheduled functions run on one
// goroutine in the order of their times.
package vtime

import (
	"container/heap"
	"time"
)

// Loop holds the scheduled functions. Its zero value starts at the zero time.
type Loop struct {
	Now   time.Time
	queue events
	seq   int
}

// event is a scheduled function. Events with the same time run in the order of
// seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// After schedules a function to run after d.
func (l *Loop) After(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.Now.Add(d), seq: l.seq, run: run})
}

// Run runs scheduled functions until none is left.
func (l *Loop) Run() {
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.run()
	}
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return x
}
