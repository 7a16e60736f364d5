// Package fleetsim runs many membership views in one process over a simulated
// network: seeded, in simulated time, with loss, cuts, pauses and a lagging
// roster. Tests and benchmarks use it.
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
	// tickStep is the time between the ticks of a daemon.
	tickStep = 200 * time.Millisecond
	// minLatency and maxLatency bound the time of a message between daemons.
	minLatency = time.Millisecond
	maxLatency = 3 * time.Millisecond
)

// Stepper is what runs at a simulated daemon; membership.View is one.
type Stepper interface {
	Tick(now time.Time, rng *rand.Rand) []membership.Message
	Receive(now time.Time, m membership.Message) []membership.Message
	SetRoster(now time.Time, members []platform.Member)
	StateOf(key uint64) (state membership.State, pathBad, known bool)
}

// Daemon is one simulated daemon.
type Daemon struct {
	Member platform.Member
	Key    uint64
	Node   Stepper
	// Dead daemons neither tick nor receive.
	Dead bool
	// FrozenUntil delays ticks and messages, as for a stopped process.
	FrozenUntil time.Time
	// Messages and Bytes count what the daemon has sent.
	Messages, Bytes int
	rng             *rand.Rand
}

// Sim is a simulated fleet.
type Sim struct {
	Daemons []*Daemon
	// Loss is the share of messages lost.
	Loss float64
	// Cut drops messages from one daemon to another if not nil.
	Cut func(from, to *Daemon) bool
	// CountBytes encodes each message to count its bytes.
	CountBytes bool
	// New makes the node of a daemon; the default is membership.NewView.
	New func(self platform.Member, now time.Time) Stepper

	now       time.Time
	rng       *rand.Rand
	byAddress map[string]*Daemon
	events    events
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

// Start adds n daemons over the domains and returns them. They know nobody
// until Publish.
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
		s.tick(d, time.Duration(s.rng.Int64N(int64(tickStep))))
	}
	return s.Daemons[first:]
}

// Publish gives every daemon the roster of all daemons that are not dead now,
// after the lag.
func (s *Sim) Publish(lag time.Duration) {
	var roster []platform.Member
	for _, d := range s.Daemons {
		if !d.Dead {
			roster = append(roster, d.Member)
		}
	}
	for _, d := range s.Daemons {
		s.at(lag, d, func() { d.Node.SetRoster(s.now, roster) })
	}
}

// Run advances the simulated time.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if e.daemon.Dead {
			continue
		}
		if s.now.Before(e.daemon.FrozenUntil) {
			s.at(e.daemon.FrozenUntil.Sub(s.now), e.daemon, e.run)
			continue
		}
		e.run()
	}
	s.now = end
}

func (s *Sim) tick(d *Daemon, after time.Duration) {
	s.at(after, d, func() {
		s.send(d, d.Node.Tick(s.now, d.rng))
		s.tick(d, tickStep)
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
		if to == nil || s.rng.Float64() < s.Loss || s.Cut != nil && s.Cut(from, to) {
			continue
		}
		latency := minLatency + time.Duration(s.rng.Int64N(int64(maxLatency-minLatency)))
		s.at(latency, to, func() { s.send(to, to.Node.Receive(s.now, m)) })
	}
}

func (s *Sim) at(after time.Duration, d *Daemon, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(after), sequence: s.sequence, daemon: d, run: run})
}

// event is something that happens at a daemon.
type event struct {
	at       time.Time
	sequence int
	daemon   *Daemon
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
