package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults. Those of connections are played by the proxy of an upstream.
const (
	delay         kind = "delay"          // each chunk of bytes is held back
	reset         kind = "reset"          // open connections are reset, new ones too
	silence       kind = "silence"        // bytes are swallowed both ways
	cutAnswers    kind = "cut-answers"    // bytes from the upstream are swallowed
	pauseUpstream kind = "pause-upstream" // SIGSTOP, then SIGCONT
	grayUpstream  kind = "gray-upstream"  // most requests fail while probes succeed
	pauseDaemon   kind = "pause-daemon"   // SIGSTOP, then SIGCONT
	killDaemon    kind = "kill-daemon"    // SIGKILL, then a start
	stopDaemon    kind = "stop-daemon"    // SIGTERM, then a start
	platformDown  kind = "platform-down"
	platformSlow  kind = "platform-slow"
	platformLoses kind = "platform-loses" // writes take effect, their replies are lost
)

var kinds = []kind{
	delay, reset, silence, cutAnswers, pauseUpstream, grayUpstream,
	pauseDaemon, killDaemon, stopDaemon, platformDown, platformSlow, platformLoses,
}

// fault is one entry of a plan.
type fault struct {
	Kind kind
	// At and Length are from the start of the faults.
	At, Length time.Duration
	// Target is the position of the daemon or upstream.
	Target int
}

// String returns the form used in reports.
func (f fault) String() string {
	return fmt.Sprintf("%v to %v %s %d", f.At.Round(time.Millisecond), (f.At + f.Length).Round(time.Millisecond), f.Kind, f.Target)
}

const (
	// faultsPerSecond makes two or three faults overlap.
	faultsPerSecond = 1.2
	// shortest and longest are the bounds of a fault's length: below the time in
	// which a silent daemon counts as failed, and above it.
	shortest = 200 * time.Millisecond
	longest  = 4 * time.Second
)

// plan returns the faults of a seed, by time. Faults of one kind on one target do not
// overlap, and neither do two signals to one process or two faults of the platform.
func plan(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	busy := map[string]time.Duration{}
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		f := fault{Kind: kinds[rng.IntN(len(kinds))], At: at, Length: shortest + time.Duration(rng.Int64N(int64(longest-shortest)))}
		part := "upstream"
		switch f.Kind {
		case pauseDaemon, killDaemon, stopDaemon:
			f.Target, part = rng.IntN(daemons), "daemon"
		case platformDown, platformSlow, platformLoses:
			part = "platform"
		default:
			f.Target = rng.IntN(upstreams)
		}
		place := fmt.Sprint(part, f.Target)
		if at < busy[place] {
			continue
		}
		busy[place] = at + f.Length
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	return out
}
