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
	// steady is the simulated time over which cost is measured.
	steady = 20 * time.Second
	// kills is how many daemons are killed one after another.
	kills = 5
	// longest bounds the wait for the detection of a kill.
	longest = 60 * time.Second
	// largestPartition is the largest fleet whose partition is simulated: with
	// 1,600 daemons that alone takes longer than the rest of the benchmark.
	largestPartition = 300
	// healStep is the resolution of the time to heal.
	healStep = 5 * time.Second
	// resolution is the step at which states are read.
	resolution = 500 * time.Millisecond
)

func benchMembership(r *report, seed uint64) {
	for _, n := range []int{36, 100, 300, 1600} {
		benchFleet(r, n, seed)
	}
}

func benchFleet(r *report, n int, seed uint64) {
	area := fmt.Sprintf("membership %d", n)
	s := fleetsim.New(seed)
	s.Start(n, domains)
	benchRoster(r, area, s)
	before := heapBytes()
	s.Publish(0)
	s.Run(10 * time.Second)
	r.add(area, "memory per daemon, shared roster", float64(heapBytes()-before)/float64(n)/1024, "KiB")

	s.Loss, s.CountBytes = 0.01, true
	for _, d := range s.Daemons {
		d.Messages, d.Bytes = 0, 0
	}
	start := time.Now()
	s.Run(steady)
	elapsed := time.Since(start)
	messages, bytes := 0, 0
	for _, d := range s.Daemons {
		messages += d.Messages
		bytes += d.Bytes
	}
	per := float64(n) * steady.Seconds()
	r.add(area, "messages sent per daemon", float64(messages)/per, "1/s")
	r.add(area, "bytes sent per daemon, without transport", float64(bytes)/per, "B/s")
	r.add(area, "processor time per daemon, with the simulation", elapsed.Seconds()*1e6/per, "us/s")
	s.CountBytes = false
	r.add(area, "hosts wrongly dead, 1% loss", float64(falseDeaths(s)), "marks")
	benchCuts(r, area, s)
	benchKills(r, area, s)
	if n <= largestPartition {
		benchPartition(r, area, s)
	}
}

// benchRoster measures a copy of the roster, which each daemon holds.
func benchRoster(r *report, area string, s *fleetsim.Sim) {
	before := heapBytes()
	roster := make([]platform.Member, len(s.Daemons))
	for i, d := range s.Daemons {
		m := d.Member
		m.ID, m.Domain, m.Address = strings.Clone(m.ID), strings.Clone(m.Domain), strings.Clone(m.Address)
		m.PeerAddress = strings.Clone(m.PeerAddress)
		roster[i] = m
	}
	r.add(area, "memory of a roster", float64(heapBytes()-before)/1024, "KiB")
	runtime.KeepAlive(roster)
}

// benchPartition cuts one domain off and measures how long the fleet needs
// after the end of the cut until no live daemon thinks another one dead.
func benchPartition(r *report, area string, s *fleetsim.Sim) {
	inside := func(d *fleetsim.Daemon) bool { return d.Member.Domain == "domain-0" }
	s.Cut = func(from, to *fleetsim.Daemon) bool { return inside(from) != inside(to) }
	s.CountBytes = true
	most := 0.0
	run := func() {
		before := 0
		for _, d := range s.Daemons {
			before += d.Bytes
		}
		s.Run(healStep)
		after := 0
		for _, d := range s.Daemons {
			after += d.Bytes
		}
		most = max(most, float64(after-before)/float64(len(s.Daemons))/healStep.Seconds())
	}
	for range 12 {
		run()
	}
	r.add(area, "domain cut off for 60 s, pairs marked dead", float64(falseDeaths(s)), "marks")
	s.Cut = nil
	healed := time.Duration(0)
	for healed < 3*time.Minute && falseDeaths(s) > 0 {
		run()
		healed += healStep
	}
	s.CountBytes = false
	r.add(area, "time until all are alive again (resolution 5 s, at most 180 s)", healed.Seconds(), "s")
	r.add(area, "most bytes sent per daemon meanwhile", most, "B/s")
}

// benchCuts cuts the way from a third of the daemons to one, and the way from
// another one to a third.
func benchCuts(r *report, area string, s *fleetsim.Sim) {
	n := len(s.Daemons)
	third := map[*fleetsim.Daemon]bool{}
	for _, d := range s.Daemons[n-n/3:] {
		third[d] = true
	}
	s.Cut = func(from, to *fleetsim.Daemon) bool {
		return to == s.Daemons[0] && third[from] || from == s.Daemons[1] && third[to]
	}
	most := 0
	for range 30 {
		s.Run(time.Second)
		most = max(most, falseDeaths(s))
	}
	s.Cut = nil
	s.Run(20 * time.Second)
	r.add(area, "hosts wrongly dead, one-way cuts by a third and 1% loss", float64(most), "marks")
}

func benchKills(r *report, area string, s *fleetsim.Sim) {
	var times, suspected []float64
	for k := range kills {
		victim := s.Daemons[2+k*3]
		victim.Dead = true
		dead := map[*fleetsim.Daemon]bool{}
		doubted := map[*fleetsim.Daemon]bool{}
		for waited := resolution; waited <= longest && len(dead) < alive(s); waited += resolution {
			s.Run(resolution)
			for _, d := range s.Daemons {
				if d.Dead || dead[d] {
					continue
				}
				state, _, _ := d.Node.StateOf(victim.Key)
				if state != membership.Alive && !doubted[d] {
					doubted[d] = true
					suspected = append(suspected, waited.Seconds())
				}
				if state == membership.Dead {
					dead[d] = true
					times = append(times, waited.Seconds())
				}
			}
		}
		for range alive(s) - len(dead) {
			times = append(times, longest.Seconds())
		}
	}
	for _, name := range []string{"suspected", "dead"} {
		list := times
		if name == "suspected" {
			list = suspected
		}
		slices.Sort(list)
		r.add(area, "killed daemon "+name+" everywhere, p50", list[len(list)/2], "s")
		r.add(area, "killed daemon "+name+" everywhere, p99", list[len(list)*99/100], "s")
		r.add(area, "killed daemon "+name+" everywhere, max", list[len(list)-1], "s")
	}
}

func alive(s *fleetsim.Sim) (n int) {
	for _, d := range s.Daemons {
		if !d.Dead {
			n++
		}
	}
	return n
}

// falseDeaths counts the pairs of live daemons of which one thinks the other
// dead.
func falseDeaths(s *fleetsim.Sim) (n int) {
	for _, d := range s.Daemons {
		for _, other := range s.Daemons {
			if state, _, _ := d.Node.StateOf(other.Key); !d.Dead && !other.Dead && state == membership.Dead {
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
