package main

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"shallotglade/internal/fleetsim"
	"shallotglade/pkg/membership"
	"shallotglade/pkg/platform"
)

const (
	// steadyDuration is the simulated time over which the cost is measured.
	steadyDuration = 20 * time.Second
	// killCount is the number of daemons that are killed one after another.
	killCount = 5
	// detectionTimeout is the longest simulated wait for the detection of a kill.
	detectionTimeout = 60 * time.Second
	// maxPartitionFleet is the largest fleet for which a partition is simulated.
	// With 1,600 daemons it would take longer than the rest of the benchmark.
	maxPartitionFleet = 300
	// healStep is the resolution of the measured healing time.
	healStep = 5 * time.Second
	// pollInterval is the simulated time between two reads of the member states.
	pollInterval = 500 * time.Millisecond
)

func benchMembership(r *report, seed uint64) {
	for _, n := range []int{36, 100, 300, 1600} {
		benchFleet(r, n, seed)
	}
}

func benchFleet(r *report, n int, seed uint64) {
	group := fmt.Sprintf("membership %d", n)
	s := fleetsim.New(seed)
	s.Start(n, domains)
	benchRoster(r, group, s)
	before := heapBytes()
	s.Publish(0)
	s.Run(10 * time.Second)
	r.add(group, "memory per daemon, shared roster", float64(heapBytes()-before)/float64(n)/1024, "KiB")

	s.Loss, s.CountBytes = 0.01, true
	for _, d := range s.Daemons {
		d.Messages, d.Bytes = 0, 0
	}
	start := time.Now()
	s.Run(steadyDuration)
	elapsed := time.Since(start)
	messages, bytes := 0, 0
	for _, d := range s.Daemons {
		messages += d.Messages
		bytes += d.Bytes
	}
	daemonSeconds := float64(n) * steadyDuration.Seconds()
	r.add(group, "messages sent per daemon", float64(messages)/daemonSeconds, "1/s")
	r.add(group, "bytes sent per daemon, without transport", float64(bytes)/daemonSeconds, "B/s")
	r.add(group, "processor time per daemon, with the simulation", elapsed.Seconds()*1e6/daemonSeconds, "us/s")
	s.CountBytes = false
	r.add(group, "hosts wrongly dead, 1% loss", float64(countFalseDead(s)), "marks")
	benchOneWayCuts(r, group, s)
	benchKills(r, group, s)
	if n <= maxPartitionFleet {
		benchPartition(r, group, s)
	}
}

// benchRoster measures the memory of one roster. In production each daemon has
// its own copy.
func benchRoster(r *report, group string, s *fleetsim.Sim) {
	before := heapBytes()
	roster := make([]platform.Member, len(s.Daemons))
	for i, d := range s.Daemons {
		m := d.Member
		m.ID, m.Domain, m.Address = strings.Clone(m.ID), strings.Clone(m.Domain), strings.Clone(m.Address)
		m.PeerAddress = strings.Clone(m.PeerAddress)
		roster[i] = m
	}
	r.add(group, "memory of a roster", float64(heapBytes()-before)/1024, "KiB")
	runtime.KeepAlive(roster)
}

// benchPartition cuts one domain off from the others. It measures the time from
// the end of the partition until no live daemon marks another live one dead.
func benchPartition(r *report, group string, s *fleetsim.Sim) {
	inside := func(d *fleetsim.Daemon) bool { return d.Member.Domain == "domain-0" }
	s.ShouldDrop = func(from, to *fleetsim.Daemon) bool { return inside(from) != inside(to) }
	s.CountBytes = true
	maxRate := 0.0
	runStep := func() {
		before := 0
		for _, d := range s.Daemons {
			before += d.Bytes
		}
		s.Run(healStep)
		after := 0
		for _, d := range s.Daemons {
			after += d.Bytes
		}
		maxRate = max(maxRate, float64(after-before)/float64(len(s.Daemons))/healStep.Seconds())
	}
	for range 12 {
		runStep()
	}
	r.add(group, "domain cut off for 60 s, pairs marked dead", float64(countFalseDead(s)), "marks")
	s.ShouldDrop = nil
	healed := time.Duration(0)
	for healed < 3*time.Minute && countFalseDead(s) > 0 {
		runStep()
		healed += healStep
	}
	s.CountBytes = false
	r.add(group, "time until all are alive again (resolution 5 s, at most 180 s)", healed.Seconds(), "s")
	r.add(group, "most bytes sent per daemon meanwhile", maxRate, "B/s")
}

// benchOneWayCuts drops messages from a third of the daemons to one daemon, and
// messages from another daemon to that third.
func benchOneWayCuts(r *report, group string, s *fleetsim.Sim) {
	n := len(s.Daemons)
	lastThird := map[*fleetsim.Daemon]bool{}
	for _, d := range s.Daemons[n-n/3:] {
		lastThird[d] = true
	}
	s.ShouldDrop = func(from, to *fleetsim.Daemon) bool {
		return to == s.Daemons[0] && lastThird[from] || from == s.Daemons[1] && lastThird[to]
	}
	maxFalse := 0
	for range 30 {
		s.Run(time.Second)
		maxFalse = max(maxFalse, countFalseDead(s))
	}
	s.ShouldDrop = nil
	s.Run(20 * time.Second)
	r.add(group, "hosts wrongly dead, one-way cuts by a third and 1% loss", float64(maxFalse), "marks")
}

func benchKills(r *report, group string, s *fleetsim.Sim) {
	var deadTimes, suspectedTimes []float64
	for k := range killCount {
		victim := s.Daemons[2+k*3]
		victim.Crashed = true
		markedDead := map[*fleetsim.Daemon]bool{}
		markedSuspected := map[*fleetsim.Daemon]bool{}
		for waited := pollInterval; waited <= detectionTimeout && len(markedDead) < countAlive(s); waited += pollInterval {
			s.Run(pollInterval)
			for _, d := range s.Daemons {
				if d.Crashed || markedDead[d] {
					continue
				}
				state, _, _ := d.Node.StateOf(victim.Key)
				if state != membership.Alive && !markedSuspected[d] {
					markedSuspected[d] = true
					suspectedTimes = append(suspectedTimes, waited.Seconds())
				}
				if state == membership.Dead {
					markedDead[d] = true
					deadTimes = append(deadTimes, waited.Seconds())
				}
			}
		}
		for range countAlive(s) - len(markedDead) {
			deadTimes = append(deadTimes, detectionTimeout.Seconds())
		}
	}
	for _, name := range []string{"suspected", "dead"} {
		list := deadTimes
		if name == "suspected" {
			list = suspectedTimes
		}
		slices.Sort(list)
		r.add(group, "killed daemon "+name+" everywhere, p50", list[len(list)/2], "s")
		r.add(group, "killed daemon "+name+" everywhere, p99", list[len(list)*99/100], "s")
		r.add(group, "killed daemon "+name+" everywhere, max", list[len(list)-1], "s")
	}
}

func countAlive(s *fleetsim.Sim) (n int) {
	for _, d := range s.Daemons {
		if !d.Crashed {
			n++
		}
	}
	return n
}

// countFalseDead counts the pairs of live daemons in which the first marks the
// second dead.
func countFalseDead(s *fleetsim.Sim) (n int) {
	for _, d := range s.Daemons {
		for _, other := range s.Daemons {
			if state, _, _ := d.Node.StateOf(other.Key); !d.Crashed && !other.Crashed && state == membership.Dead {
				n++
			}
		}
	}
	return n
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
