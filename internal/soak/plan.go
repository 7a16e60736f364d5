package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind identifies a kind of fault.
type faultKind string

// Kinds of faults. The proxy of an upstream injects the first four.
const (
	delay         faultKind = "delay"          // each chunk of bytes is delayed
	reset         faultKind = "reset"          // open and new connections are reset
	silence       faultKind = "silence"        // bytes in both directions are dropped
	cutAnswers    faultKind = "cut-answers"    // bytes from the upstream are dropped
	pauseUpstream faultKind = "pause-upstream" // SIGSTOP, then SIGCONT
	grayUpstream  faultKind = "gray-upstream"  // most requests fail while probes succeed
	pauseDaemon   faultKind = "pause-daemon"   // SIGSTOP, then SIGCONT
	killDaemon    faultKind = "kill-daemon"    // SIGKILL, then restart
	stopDaemon    faultKind = "stop-daemon"    // SIGTERM, then restart
	platformDown  faultKind = "platform-down"
	platformSlow  faultKind = "platform-slow"
	platformLoses faultKind = "platform-loses" // writes take effect, but their replies are lost
)

var faultKinds = []faultKind{
	delay, reset, silence, cutAnswers, pauseUpstream, grayUpstream,
	pauseDaemon, killDaemon, stopDaemon, platformDown, platformSlow, platformLoses,
}

// fault is one planned fault.
type fault struct {
	Kind faultKind
	// Start is the offset from the beginning of the fault injection.
	Start, Duration time.Duration
	// Target is the index of the daemon or upstream; 0 for the platform.
	Target int
}

// String returns the period, the kind and the target of the fault.
func (f fault) String() string {
	return fmt.Sprintf("%v to %v %s %d", f.Start.Round(time.Millisecond), (f.Start + f.Duration).Round(time.Millisecond), f.Kind, f.Target)
}

const (
	// faultsPerSecond is high enough that two or three faults overlap.
	faultsPerSecond = 1.2
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The time
	// after which a silent daemon is declared failed lies in between.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// planFaults returns the faults of a seed, sorted by start time. Faults of the same
// daemon or upstream do not overlap, and neither do faults of the platform.
func planFaults(seed uint64, duration time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	busyUntil := map[string]time.Duration{}
	var faults []fault
	for start := time.Duration(0); start < duration; start += time.Duration(rng.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		f := fault{Kind: faultKinds[rng.IntN(len(faultKinds))], Start: start, Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		role := "upstream"
		switch f.Kind {
		case pauseDaemon, killDaemon, stopDaemon:
			f.Target, role = rng.IntN(daemons), "daemon"
		case platformDown, platformSlow, platformLoses:
			role = "platform"
		default:
			f.Target = rng.IntN(upstreams)
		}
		target := fmt.Sprint(role, f.Target)
		if start < busyUntil[target] {
			continue
		}
		busyUntil[target] = start + f.Duration
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}
