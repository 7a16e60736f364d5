package poison_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/bench/traffic/crashsim"
	"shallotglade/internal/testkit"
	"shallotglade/pkg/poison"
)

func drawConfig(t *rapid.T) (crashsim.Config, *rand.Rand) {
	ups := rapid.IntRange(12, 30).Draw(t, "upstreams")
	return crashsim.Config{
		Homes: rapid.IntRange(1, 4).Draw(t, "homes"), Upstreams: ups,
		Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Floor: rapid.IntRange(1, ups).Draw(t, "floor"),
		SummaryDelay: time.Duration(rapid.IntRange(0, 200).Draw(t, "delayMS")) * time.Millisecond,
		Hold:         rapid.Bool().Draw(t, "hold"),
		Senders:      rapid.IntRange(1, 5).Draw(t, "senders"), Resends: rapid.IntRange(0, 20).Draw(t, "resends"),
		Gap:       time.Duration(rapid.IntRange(0, 100).Draw(t, "gapMS")) * time.Millisecond,
		Innocents: rapid.IntRange(0, 600).Draw(t, "innocents"), Span: 300 * time.Millisecond,
	}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
}

// informed makes every home know of a crash before the caller sends again.
func informed(cfg *crashsim.Config) {
	cfg.Senders = 1
	cfg.Hold = cfg.Hold || cfg.Gap < cfg.SummaryDelay
}

// countingGuard is the naive guard: it counts crashes at its own home, clears
// nobody and runs suspects like any other request.
type countingGuard struct {
	*poison.Tracker
	crashes map[poison.Fingerprint]int
}

func newCounting(self string, homes []string) crashsim.Guard {
	return countingGuard{poison.NewTracker(self, homes), map[poison.Fingerprint]int{}}
}

func (c countingGuard) Check(_ time.Time, fp poison.Fingerprint, _, _ int) poison.Decision {
	if c.crashes[fp] >= 2 {
		return poison.Decision{Action: poison.Refuse, Reason: poison.ReasonPoison}
	}
	return poison.Decision{Action: poison.Run}
}

func (c countingGuard) Lost(_ time.Time, _ string, fp poison.Fingerprint) poison.Loss {
	c.crashes[fp]++
	return poison.Loss{Report: poison.Report{Crashed: true}}
}

func (c countingGuard) Merge(time.Time, poison.Summary) poison.Report { return poison.Report{} }

var _ = Describe("Tracker among several homes", func() {
	// Guards against one request taking down more upstreams than the bound of
	// docs/decisions/poison.md: the copies sent by homes that knew nothing, and one.
	It("keeps to the bound under any interleaving", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			cfg, rng := drawConfig(t)
			r := crashsim.Run(cfg, rng, crashsim.Tracker)
			if r.Crashes > r.Blind+1 || r.FloorBreaches > 0 {
				t.Fatalf("%+v of %+v", r, cfg)
			}
		})
	})

	// Guards against a third upstream being lost, and against a neighbour of
	// the crashing request being refused, once the homes are informed in time.
	It("loses two upstreams and refuses no neighbour when informed in time", func() {
		lost := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			cfg, rng := drawConfig(t)
			informed(&cfg)
			r := crashsim.Run(cfg, rng, crashsim.Tracker)
			lost += r.InnocentLost
			if r.Crashes > 2 || r.InnocentRefused > 0 {
				t.Fatalf("%+v of %+v", r, cfg)
			}
		})
		Expect(lost).To(BeNumerically(">", 50), "too few neighbours were lost to tell")
	})

	// Shows that the property above can fail.
	It("breaks the bound when crashes are only counted", func() {
		broken := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			cfg, rng := drawConfig(t)
			informed(&cfg)
			if r := crashsim.Run(cfg, rng, newCounting); r.Crashes > 2 || r.InnocentRefused > 0 {
				broken++
			}
		})
		Expect(broken).To(BeNumerically(">", 10))
	})

	// Guards against homes that disagree for good after late or repeated summaries.
	It("merges in any order to the same state", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			a, b := poison.NewTracker("h1", homes), poison.NewTracker("h2", homes)
			trackers := []*poison.Tracker{a, b}
			ups := []string{"u1", "u2", "u3"}
			var sent []poison.Summary
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				x := rapid.SampledFrom(trackers).Draw(t, "tracker")
				u := rapid.SampledFrom(ups).Draw(t, "upstream")
				fp := poison.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fp"))
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					x.Crash(epoch, u, []poison.Fingerprint{fp})
				case 1:
					x.Start(epoch, u, fp)
					x.Complete(epoch, u, fp)
				default:
					x.Merge(epoch, rapid.SampledFrom(append(sent, x.Summary(epoch))).Draw(t, "summary"))
				}
				sent = append(sent, x.Summary(epoch))
			}
			a.Merge(epoch, b.Summary(epoch))
			b.Merge(epoch, a.Summary(epoch))
			Expect(b.Summary(epoch)).To(Equal(a.Summary(epoch)))
		})
	})
})

// Guards against a summary from another daemon crashing this one, exceeding the
// limits, or changing when it is passed on.
func FuzzDecodeSummary(f *testing.F) {
	t := poison.NewTracker("h1", homes)
	t.Crash(epoch, "u1", []poison.Fingerprint{1, 2})
	b, err := t.Summary(epoch).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := poison.DecodeSummary(b)
		if err != nil {
			return
		}
		RegisterTestingT(t)
		Expect(len(s.Events)).To(BeNumerically("<=", poison.MaxSummaryEvents))
		again, err := s.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(poison.DecodeSummary(again)).To(Equal(s))
		x := poison.NewTracker("h1", homes)
		x.Merge(epoch, s)
		x.Check(epoch, 1, 3, 1)
	})
}
