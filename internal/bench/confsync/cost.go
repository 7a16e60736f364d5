package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// changesPerDay is the design target. The cost of a change is measured at
	// changeRate and scaled down to it.
	changesPerDay = 5200
	secondsPerDay = 86400
	// changeRate is the number of changes per second during the measurement.
	changeRate = 4
)

// costResult holds the cost per daemon and second.
type costResult struct {
	Variant      string  `json:"way"`
	Daemons      int     `json:"daemons"`
	IdleMessages float64 `json:"idleMessagesPerSecond"`
	IdleBytes    float64 `json:"idleBytesPerSecond"`
	IdleCPU      float64 `json:"idleCpuPercent"`
	// At changesPerDay: the mean over all daemons. MaxBytes is the value of the
	// daemon that sends most.
	Messages float64 `json:"messagesPerSecond"`
	Bytes    float64 `json:"bytesPerSecond"`
	MaxBytes float64 `json:"maxBytesPerSecond"`
	CPU      float64 `json:"cpuPercent"`
	// PlatformPending is the number of watches that are always open at the
	// platform. PlatformCalls is the number of platform calls per change.
	PlatformPending int     `json:"platformPending"`
	PlatformCalls   float64 `json:"platformCallsPerChange"`
}

// counters is a snapshot of all counters.
type counters struct {
	at       time.Time
	cpu      time.Duration
	messages []uint64
	bytes    []uint64
	calls    uint64
}

func (f *fleet) readCounters() counters {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	c := f.store.Counts()
	u := counters{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), calls: c.Reads + c.Watches}
	for _, d := range f.daemons {
		u.messages = append(u.messages, d.messages.Load())
		u.bytes = append(u.bytes, d.bytes.Load())
	}
	return u
}

// rates holds the differences of two snapshots per daemon and second, and the
// platform calls between them.
type rates struct {
	messages, bytes, cpuPercent float64
	bytesPerDaemon              []float64 // bytes per second
	calls                       float64
}

func ratesBetween(a, b counters) rates {
	var r rates
	seconds, n := b.at.Sub(a.at).Seconds(), float64(len(a.bytes))
	for i := range a.bytes {
		daemonBytes := float64(b.bytes[i]-a.bytes[i]) / seconds
		r.bytesPerDaemon = append(r.bytesPerDaemon, daemonBytes)
		r.bytes += daemonBytes / n
		r.messages += float64(b.messages[i]-a.messages[i]) / seconds / n
	}
	r.cpuPercent = 100 * (b.cpu - a.cpu).Seconds() / seconds / n
	r.calls = float64(b.calls - a.calls)
	return r
}

// measureCost measures an idle fleet and then the same fleet with changes.
func measureCost(n int, o options, naive bool) costResult {
	f := newFleet(n, o.domains, o.docs, naive)
	defer f.close()
	if !f.waitReady(o.docs) {
		panic("fleet did not become ready before the timeout")
	}
	time.Sleep(3 * time.Second)
	before := f.readCounters()
	time.Sleep(o.window)
	afterIdle := f.readCounters()
	r := &recorder{receipts: map[string]map[int][]receipt{}}
	changes := int(o.window.Seconds() * changeRate)
	for i := range changes {
		r.applyChange(f, i, o.docs)
		time.Sleep(time.Second / changeRate)
	}
	after := f.readCounters()
	idle, busy := ratesBetween(before, afterIdle), ratesBetween(afterIdle, after)
	// scaleToDailyRate scales the part that is due to changes to changesPerDay.
	scaleToDailyRate := func(idle, busy float64) float64 {
		return idle + max(busy-idle, 0)*(changesPerDay/float64(secondsPerDay))/changeRate
	}
	res := costResult{
		Variant: variantName(naive), Daemons: n, IdleMessages: idle.messages, IdleBytes: idle.bytes, IdleCPU: idle.cpuPercent,
		Messages: scaleToDailyRate(idle.messages, busy.messages), Bytes: scaleToDailyRate(idle.bytes, busy.bytes), CPU: scaleToDailyRate(idle.cpuPercent, busy.cpuPercent),
		// applyChange itself reads the document once per change, which is not a
		// call of the fleet.
		PlatformCalls:   busy.calls/float64(changes) - 1,
		PlatformPending: len(prefixes) * min(relaysPerDomain*o.domains, n),
	}
	if naive {
		res.PlatformPending = len(prefixes) * n
	}
	for i := range idle.bytesPerDaemon {
		res.MaxBytes = max(res.MaxBytes, scaleToDailyRate(idle.bytesPerDaemon[i], busy.bytesPerDaemon[i]))
	}
	return res
}

func (c costResult) String() string {
	return fmt.Sprintf("| %d | %s | %.2f | %.0f | %.3f | %.2f | %.0f | %.0f | %.3f | %d | %.0f |", c.Daemons, c.Variant, c.IdleMessages,
		c.IdleBytes, c.IdleCPU, c.Messages, c.Bytes, c.MaxBytes, c.CPU, c.PlatformPending, c.PlatformCalls)
}
