package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// changesPerDay is the target size; the cost of one change is measured at a
	// higher rate and scaled to it.
	changesPerDay = 5200
	secondsPerDay = 86400
	// changeRate is how many changes a second are made while measuring.
	changeRate = 4
)

// costResult is the cost per daemon and second.
type costResult struct {
	Way          string  `json:"way"`
	Daemons      int     `json:"daemons"`
	IdleMessages float64 `json:"idleMessagesPerSecond"`
	IdleBytes    float64 `json:"idleBytesPerSecond"`
	IdleCPU      float64 `json:"idleCpuPercent"`
	// At 5,200 changes a day: mean, and the daemon that sends most.
	Messages float64 `json:"messagesPerSecond"`
	Bytes    float64 `json:"bytesPerSecond"`
	MaxBytes float64 `json:"maxBytesPerSecond"`
	CPU      float64 `json:"cpuPercent"`
	// PlatformPending are the watches that wait at the platform all the time;
	// PlatformCalls are calls for one change.
	PlatformPending int     `json:"platformPending"`
	PlatformCalls   float64 `json:"platformCallsPerChange"`
}

// usage is a reading of all counters.
type usage struct {
	at       time.Time
	cpu      time.Duration
	messages []uint64
	bytes    []uint64
	calls    uint64
}

func (f *fleet) usage() usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	c := f.store.Counts()
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), calls: c.Reads + c.Watches}
	for _, d := range f.daemons {
		u.messages = append(u.messages, d.messages.Load())
		u.bytes = append(u.bytes, d.bytes.Load())
	}
	return u
}

// rates are the differences of two readings per daemon and second.
type rates struct {
	messages, bytes, cpuPercent float64
	each                        []float64 // bytes
	calls                       float64
}

func between(a, b usage) rates {
	var r rates
	seconds, n := b.at.Sub(a.at).Seconds(), float64(len(a.bytes))
	for i := range a.bytes {
		each := float64(b.bytes[i]-a.bytes[i]) / seconds
		r.each = append(r.each, each)
		r.bytes += each / n
		r.messages += float64(b.messages[i]-a.messages[i]) / seconds / n
	}
	r.cpuPercent = 100 * (b.cpu - a.cpu).Seconds() / seconds / n
	r.calls = float64(b.calls - a.calls)
	return r
}

// cost measures an idle fleet and then one with changes.
func cost(n int, o options, naive bool) costResult {
	f := newFleet(n, o.domains, o.docs, naive)
	defer f.close()
	if !f.waitReady(o.docs) {
		panic("the fleet did not start")
	}
	time.Sleep(3 * time.Second)
	before := f.usage()
	time.Sleep(o.window)
	middle := f.usage()
	r := &recorder{at: map[string]map[int][]held{}}
	changes := int(o.window.Seconds() * changeRate)
	for i := range changes {
		r.change(f, i, o.docs)
		time.Sleep(time.Second / changeRate)
	}
	after := f.usage()
	idle, busy := between(before, middle), between(middle, after)
	// scale takes the share of the changes down to the daily rate.
	scale := func(idle, busy float64) float64 {
		return idle + max(busy-idle, 0)*(changesPerDay/float64(secondsPerDay))/changeRate
	}
	res := costResult{
		Way: way(naive), Daemons: n, IdleMessages: idle.messages, IdleBytes: idle.bytes, IdleCPU: idle.cpuPercent,
		Messages: scale(idle.messages, busy.messages), Bytes: scale(idle.bytes, busy.bytes), CPU: scale(idle.cpuPercent, busy.cpuPercent),
		// Each change reads the document once more; that is not the fleet's call.
		PlatformCalls:   busy.calls/float64(changes) - 1,
		PlatformPending: len(prefixes) * min(perDomain*o.domains, n),
	}
	if naive {
		res.PlatformPending = len(prefixes) * n
	}
	for i := range idle.each {
		res.MaxBytes = max(res.MaxBytes, scale(idle.each[i], busy.each[i]))
	}
	return res
}

func (c costResult) String() string {
	return fmt.Sprintf("| %d | %s | %.2f | %.0f | %.3f | %.2f | %.0f | %.0f | %.3f | %d | %.0f |", c.Daemons, c.Way, c.IdleMessages,
		c.IdleBytes, c.IdleCPU, c.Messages, c.Bytes, c.MaxBytes, c.CPU, c.PlatformPending, c.PlatformCalls)
}
