package membership_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/fleetsim"
	"shallotglade/internal/testkit"
	"shallotglade/pkg/membership"
	"shallotglade/pkg/platform"
)

func TestMembership(t *testing.T) { testkit.RunSpecs(t, "membership") }

// detectionBound is the time within which every other daemon of a fleet of up to
// 100 marks a killed daemon dead.
const detectionBound = 24 * time.Second

// wrongViews lists the live daemons whose state of d does not satisfy want.
func wrongViews(s *fleetsim.Sim, d *fleetsim.Daemon, want func(membership.State, bool) bool) (wrong []string) {
	for _, other := range s.Daemons {
		if other.Crashed || other == d {
			continue
		}
		if state, _, known := other.Node.StateOf(d.Key); !want(state, known) {
			wrong = append(wrong, other.Member.ID+" sees "+state.String())
		}
	}
	return wrong
}

func isAlive(s membership.State, known bool) bool    { return known && s == membership.Alive }
func notDead(s membership.State, known bool) bool    { return known && s != membership.Dead }
func deadOrGone(s membership.State, known bool) bool { return !known || s == membership.Dead }

func runProperty(property func(t *rapid.T, s *fleetsim.Sim)) {
	testkit.Check(GinkgoT(), func(t *rapid.T) {
		s := fleetsim.New(rapid.Uint64().Draw(t, "seed"))
		s.Start(rapid.IntRange(4, 24).Draw(t, "daemons"), 3)
		s.Publish(0)
		s.Run(10 * time.Second)
		property(t, s)
	})
}

// requireConverged fails unless every live daemon sees exactly the live daemons
// as alive.
func requireConverged(t *rapid.T, s *fleetsim.Sim) {
	for _, d := range s.Daemons {
		want := isAlive
		if d.Crashed {
			want = deadOrGone
		}
		if wrong := wrongViews(s, d, want); len(wrong) > 0 {
			t.Fatalf("%s (dead: %v): %v", d.Member.ID, d.Crashed, wrong)
		}
	}
}

func pick(t *rapid.T, s *fleetsim.Sim, label string) *fleetsim.Daemon {
	return s.Daemons[rapid.IntRange(0, len(s.Daemons)-1).Draw(t, label)]
}

var _ = Describe("View", func() {
	// Guards against requests being forwarded to killed daemons for a long time
	// because the roster still lists them.
	It("marks killed daemons dead on every other daemon within the bound", func() {
		runProperty(func(t *rapid.T, s *fleetsim.Sim) {
			s.Loss = 0.01
			pick(t, s, "first").Crashed = true
			pick(t, s, "second").Crashed = true
			s.Run(detectionBound)
			for _, d := range s.Daemons {
				if d.Crashed {
					if wrong := wrongViews(s, d, deadOrGone); len(wrong) > 0 {
						t.Fatalf("%s after %v: %v", d.Member.ID, detectionBound, wrong)
					}
				}
			}
			s.Publish(0)
			s.Run(80 * time.Second)
			requireConverged(t, s)
		})
	})

	// Guards against marking a daemon dead in an asymmetric partition, in which a
	// minority cannot reach it or it cannot reach a minority.
	It("never marks a daemon dead because of one-way packet loss between it and a minority", func() {
		runProperty(func(t *rapid.T, s *fleetsim.Sim) {
			victim := pick(t, s, "victim")
			outbound := rapid.Bool().Draw(t, "outbound")
			n := len(s.Daemons)
			minority := map[*fleetsim.Daemon]bool{}
			for range rapid.IntRange(1, max(n/3, 1)).Draw(t, "minority") {
				minority[pick(t, s, "member")] = true
			}
			s.ShouldDrop = func(from, to *fleetsim.Daemon) bool {
				if outbound {
					return from == victim && minority[to]
				}
				return to == victim && minority[from]
			}
			s.Loss = 0.01
			for range 60 {
				s.Run(time.Second)
				if wrong := wrongViews(s, victim, notDead); len(wrong) > 0 {
					t.Fatalf("minority of %d in %d: %v", len(minority), n, wrong)
				}
			}
		})
	})

	// Guards against a paused daemon that declares all others dead when it
	// resumes, and against one that stays dead in the view of others.
	It("recovers from pauses and partitions", func() {
		runProperty(func(t *rapid.T, s *fleetsim.Sim) {
			paused := pick(t, s, "paused")
			paused.PausedUntil = s.Now().Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Second)
			for _, d := range s.Daemons {
				remainingPause := max(paused.PausedUntil.Sub(s.Now()), 0)
				s.Run(remainingPause)
				s.Run(time.Second)
				if state, _, _ := paused.Node.StateOf(d.Key); d != paused && state == membership.Dead {
					t.Fatalf("the resumed daemon sees %s as dead", d.Member.ID)
				}
			}
			firstGroupSize := rapid.IntRange(1, len(s.Daemons)-1).Draw(t, "side")
			inFirstGroup := map[*fleetsim.Daemon]bool{}
			for _, d := range s.Daemons[:firstGroupSize] {
				inFirstGroup[d] = true
			}
			s.ShouldDrop = func(from, to *fleetsim.Daemon) bool { return inFirstGroup[from] != inFirstGroup[to] }
			s.Run(40 * time.Second)
			s.ShouldDrop = nil
			s.Run(120 * time.Second)
			requireConverged(t, s)
		})
	})

	// Guards against suspicions that expire while this process is paused, when
	// refutations are lost.
	It("restarts the suspicion timeouts after a pause of this process", func() {
		now := time.Unix(0, 0)
		rng := rand.New(rand.NewPCG(testkit.Seed, 0))
		view := membership.NewView(platform.Member{ID: "self"}, now, membership.DefaultParams())
		var roster []platform.Member
		for _, id := range []string{"a", "b", "c", "x"} {
			roster = append(roster, platform.Member{ID: id, Role: platform.RoleDaemon, PeerAddress: id})
		}
		view.SetRoster(now, roster)
		x := membership.KeyOf("x")
		state := func() membership.State { s, _, _ := view.StateOf(x); return s }
		step := func(d time.Duration) { // all hosts except x answer
			now = now.Add(d)
			for _, m := range view.Tick(now, rng) {
				if m.Kind == membership.Ping && m.To != "x" {
					view.Receive(now, membership.Message{Kind: membership.Ack, Seq: m.Seq, From: m.To})
				}
			}
		}
		for i := 0; state() != membership.Suspect; i++ {
			Expect(i).To(BeNumerically("<", 200))
			step(200 * time.Millisecond)
		}
		step(time.Minute)
		Expect(view.Counters().Pauses).To(BeEquivalentTo(1))
		for range 20 {
			Expect(state()).To(Equal(membership.Suspect))
			step(200 * time.Millisecond)
		}
		for range 50 {
			step(200 * time.Millisecond)
		}
		Expect(state()).To(Equal(membership.Dead))
	})

	// Guards against a new daemon that stays unknown until the roster lists it, and
	// against dead or removed daemons that are never removed from the view.
	It("follows restarts while the roster lags", func() {
		runProperty(func(t *rapid.T, s *fleetsim.Sim) {
			old := pick(t, s, "replaced")
			old.Crashed = true
			started := s.Start(1, 3)[0]
			var roster []platform.Member
			for _, d := range s.Daemons {
				roster = append(roster, d.Member) // includes the dead daemon
			}
			started.Node.SetRoster(s.Now(), roster)
			s.Run(detectionBound)
			if wrong := wrongViews(s, old, deadOrGone); len(wrong) > 0 {
				t.Fatal(wrong)
			}
			discoverers := 0
			for _, d := range s.Daemons {
				if _, _, known := d.Node.StateOf(started.Key); known {
					discoverers++
				}
			}
			if discoverers == 0 {
				t.Fatal("no daemon has discovered the new one")
			}
			s.Publish(20 * time.Second)
			s.Run(140 * time.Second)
			requireConverged(t, s)
			for _, d := range s.Daemons {
				if _, _, known := d.Node.StateOf(old.Key); !d.Crashed && known {
					t.Fatalf("%s still keeps the replaced daemon", d.Member.ID)
				}
			}
		})
	})

	It("keeps the last roster when the platform lists no other daemon", func() {
		s := fleetsim.New(testkit.Seed)
		s.Start(5, 1)
		s.Publish(0)
		s.Run(time.Second)
		for _, d := range s.Daemons {
			d.Node.SetRoster(s.Now(), nil)
			d.Node.SetRoster(s.Now(), []platform.Member{d.Member})
		}
		s.Run(3 * time.Minute)
		for _, d := range s.Daemons {
			Expect(wrongViews(s, d, isAlive)).To(BeEmpty())
		}
	})

	// Guards against new requests to a leaving daemon. This test covers the gossip, which
	// informs all daemons; the drain controller meets the target of 2 s.
	It("gossips that a daemon is leaving", func() {
		s := fleetsim.New(testkit.Seed)
		s.Start(100, 5)
		s.Publish(0)
		s.Run(10 * time.Second)
		s.Daemons[3].Node.(*membership.View).Leave()
		s.Run(10 * time.Second)
		for _, d := range s.Daemons {
			for _, h := range d.Node.(*membership.View).Hosts() {
				Expect(h.Leaving).To(Equal(h.ID == s.Daemons[3].Member.ID), d.Member.ID)
				Expect(h.Liveness).To(Equal(membership.Alive))
			}
		}
	})

	// Guards against a message rate per daemon that grows with the fleet, and
	// compares it with all-to-all heartbeats.
	It("sends as many messages per daemon at 300 daemons as at 30, unlike all-to-all heartbeats", func() {
		rate := func(n int, naive bool) float64 {
			s := fleetsim.New(testkit.Seed)
			if naive {
				s.New = newHeartbeats
			}
			s.Start(n, 5)
			s.Publish(0)
			s.Run(20 * time.Second)
			total := 0
			for _, d := range s.Daemons {
				total += d.Messages
			}
			return float64(total) / float64(n) / 20
		}
		Expect(rate(300, false)).To(BeNumerically("~", rate(30, false), 0.2))
		Expect(rate(300, false)).To(BeNumerically("<", 2.5))
		Expect(rate(300, true)).To(BeNumerically(">", 250))

		oneWayCut := func(naive bool) (dead bool) {
			s := fleetsim.New(testkit.Seed)
			if naive {
				s.New = newHeartbeats
			}
			s.Start(30, 5)
			s.Publish(0)
			s.Run(10 * time.Second)
			s.ShouldDrop = func(from, to *fleetsim.Daemon) bool { return from == s.Daemons[0] && to == s.Daemons[1] }
			s.Run(30 * time.Second)
			return len(wrongViews(s, s.Daemons[0], notDead)) > 0
		}
		Expect(oneWayCut(false)).To(BeFalse())
		Expect(oneWayCut(true)).To(BeTrue())
	})

	It("uses failures of requests and distinguishes a bad path from a dead host", func() {
		s := fleetsim.New(testkit.Seed)
		s.Start(10, 1)
		s.Publish(0)
		s.Run(5 * time.Second)
		a, b := s.Daemons[0], s.Daemons[1]
		view := a.Node.(*membership.View)
		s.ShouldDrop = func(from, to *fleetsim.Daemon) bool { return from == a && to == b }
		view.Observe(s.Now(), b.Member.ID, false)
		s.Run(10 * time.Second)
		state, pathBad, _ := view.StateOf(b.Key)
		Expect(state).To(Equal(membership.Alive))
		Expect(pathBad).To(BeTrue())
		s.ShouldDrop = nil
		s.Run(40 * time.Second)
		_, pathBad, _ = view.StateOf(b.Key)
		Expect(pathBad).To(BeFalse())
	})
})

// heartbeats is the naive baseline: each daemon sends a message to all others
// every second and considers them dead after 5 s of silence.
type heartbeats struct {
	self      platform.Member
	nextSend  time.Time
	lastHeard map[uint64]time.Time
	targets   []platform.Member
}

func newHeartbeats(self platform.Member, now time.Time) fleetsim.Stepper {
	return &heartbeats{self: self, nextSend: now, lastHeard: map[uint64]time.Time{}}
}

func (h *heartbeats) SetRoster(now time.Time, members []platform.Member) {
	h.targets = slices.Clone(members)
	for _, m := range members {
		h.lastHeard[membership.KeyOf(m.ID)] = now
	}
}

func (h *heartbeats) Tick(now time.Time, _ *rand.Rand) (out []membership.Message) {
	if now.Before(h.nextSend) {
		return nil
	}
	h.nextSend = now.Add(time.Second)
	for _, m := range h.targets {
		if m.ID != h.self.ID {
			out = append(out, membership.Message{To: m.PeerAddress, Kind: membership.Ping, From: h.self.ID})
		}
	}
	for key, at := range h.lastHeard {
		if now.Sub(at) > 5*time.Second {
			h.lastHeard[key] = time.Time{}
		}
	}
	return out
}

func (h *heartbeats) Receive(now time.Time, m membership.Message) []membership.Message {
	h.lastHeard[membership.KeyOf(m.From)] = now
	return nil
}

func (h *heartbeats) StateOf(key uint64) (membership.State, bool, bool) {
	at, known := h.lastHeard[key]
	if known && at.IsZero() {
		return membership.Dead, false, true
	}
	return membership.Alive, false, known
}
