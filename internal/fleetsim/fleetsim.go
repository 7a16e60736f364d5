// Package fleetsim runs the membership views of many daemons in one process, in simulated
// time and over a simulated network, for tests and benchmarks. It simulates message loss,
// partitions, paused daemons and delayed rosters. A seed makes runs reproducible.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotglade/pkg/membership"
	"shallotglade/pkg/platform"
)

const (
	// tickInterval is the time between the ticks of a daemon.
	tickInterval = 200 * time.Millisecond
	// minLatency and maxLatency bound the latency of a message between daemons.
	minLatency = time.Millisecond
	maxLatency = 3 * time.Millisecond
)

// Stepper is the protocol implementation of a simulated daemon, such as membership.View.
type Stepper interface {
	Tick(now time.Time, rng *rand.Rand) []membership.Message
	Receive(now time.Time, m membership.Message) []membership.Message
	SetRoster(now time.Time, members []platform.Member)
	StateOf(key uint64) (state membership.State, pathBad, known bool)
}

// Daemon is a simulated daemon.
type Daemon struct {
	Member platform.Member
	Key    uint64
	Node   Stepper
	// Crashed is true for a crashed daemon, which neither ticks nor receives messages.
	Crashed bool
	// PausedUntil delays ticks and received messages, as after SIGSTOP.
	PausedUntil time.Time
	// Messages and Bytes count the messages that the daemon has sent.
	Messages, Bytes int
	rng             *rand.Rand
}

// Sim is a simulated fleet.
type Sim struct {
	Daemons []*Daemon
	// Loss is the share of messages lost.
	Loss float64
	// ShouldDrop reports whether messages from one daemon to another are dropped; nil
	// drops none.
	ShouldDrop func(from, to *Daemon) bool
	// CountBytes enables Daemon.Bytes, for which each message is encoded.
	CountBytes bool
	// New creates the node of a daemon; the default is membership.NewView.
	New func(self platform.Member, now time.Time) Stepper

	now       time.Time
	rng       *rand.Rand
	byAddress map[string]*Daemon
	events    eventQueue
	sequence  int
}

// New returns an empty fleet.
func New(seed uint64) *Sim {
	return &Sim{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*Daemon{},
		New: func(self platform.Member, now time.Time) Stepper {
			return membership.NewView(self, now, membership.DefaultParams())
		},
	}
}

// Now returns the simulated time.
func (s *Sim) Now() time.Time { return s.now }

// Start adds n daemons, spread over the domains, and returns them. They know no other
// daemons until Publish.
func (s *Sim) Start(n, domains int) []*Daemon {
	first := len(s.Daemons)
	for i := first; i < first+n; i++ {
		m := platform.Member{
			ID: fmt.Sprintf("host-%d#1", i), Role: platform.RoleDaemon, State: platform.Live,
			Domain: fmt.Sprintf("domain-%d", i%domains), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		d := &Daemon{
			Member: m, Key: membership.KeyOf(m.ID), Node: s.New(m, s.now),
			rng: rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i))),
		}
		s.Daemons = append(s.Daemons, d)
		s.byAddress[m.PeerAddress] = d
		s.scheduleTicks(d, time.Duration(s.rng.Int64N(int64(tickInterval))))
	}
	return s.Daemons[first:]
}

// Publish delivers the current roster, without crashed daemons, to every daemon after
// the lag.
func (s *Sim) Publish(lag time.Duration) {
	var roster []platform.Member
	for _, d := range s.Daemons {
		if !d.Crashed {
			roster = append(roster, d.Member)
		}
	}
	for _, d := range s.Daemons {
		s.schedule(lag, d, func() { d.Node.SetRoster(s.now, roster) })
	}
}

// Run advances the simulated time by d and runs all events that are due by then.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if e.daemon.Crashed {
			continue
		}
		if s.now.Before(e.daemon.PausedUntil) {
			s.schedule(e.daemon.PausedUntil.Sub(s.now), e.daemon, e.run)
			continue
		}
		e.run()
	}
	s.now = end
}

func (s *Sim) scheduleTicks(d *Daemon, delay time.Duration) {
	s.schedule(delay, d, func() {
		s.send(d, d.Node.Tick(s.now, d.rng))
		s.scheduleTicks(d, tickInterval)
	})
}

func (s *Sim) send(from *Daemon, messages []membership.Message) {
	for _, m := range messages {
		from.Messages++
		if s.CountBytes {
			data, err := m.Encode()
			if err != nil {
				panic(err)
			}
			from.Bytes += len(data)
		}
		to := s.byAddress[m.To]
		if to == nil || s.rng.Float64() < s.Loss || s.ShouldDrop != nil && s.ShouldDrop(from, to) {
			continue
		}
		latency := minLatency + time.Duration(s.rng.Int64N(int64(maxLatency-minLatency)))
		s.schedule(latency, to, func() { s.send(to, to.Node.Receive(s.now, m)) })
	}
}

func (s *Sim) schedule(delay time.Duration, d *Daemon, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(delay), sequence: s.sequence, daemon: d, run: run})
}

// event is a scheduled action of a daemon. Events of the same time run in the order in
// which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	daemon   *Daemon
	run      func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
