package ejection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/detector"
)

const (
	numUpstreams = 8
	numHomes     = 3
)

// drawFunc returns a random number in 0..n-1, from rapid or a seeded generator. The
// label names the number in rapid's output.
type drawFunc func(n int, label string) int

// simulation models a platform with a membership list, a record, and several
// homes that read both with delay and change the record by conditional update.
type simulation struct {
	draw    drawFunc
	fail    func(format string, args ...any)
	floor   int
	now     time.Time
	rng     *rand.Rand
	members map[string]bool // present upstreams; true means leaving
	stored  []Record        // indexed by version
	homes   [numHomes]simulatedHome
}

type simulatedHome struct {
	view         View
	version      int           // version of the record that the home has read
	skew         time.Duration // offset of the home's clock
	naiveEjected []string      // ejections of the naive ejector
}

func newSimulation(draw drawFunc, fail func(string, ...any)) *simulation {
	sim := &simulation{
		draw: draw, fail: fail, floor: draw(numUpstreams+2, "floor"), now: epoch, rng: newRNG(2),
		members: map[string]bool{}, stored: []Record{{Service: "s"}},
	}
	for i := range numUpstreams {
		sim.members[fmt.Sprintf("u%d", i)] = false
	}
	for i := range sim.homes {
		sim.homes[i].view = sim.membershipList()
		sim.homes[i].skew = time.Duration(draw(20, "skew")-10) * time.Second
	}
	return sim
}

// membershipList returns the current membership list.
func (sim *simulation) membershipList() View {
	var v View
	for i := range numUpstreams {
		id := fmt.Sprintf("u%d", i)
		if leaving, present := sim.members[id]; present {
			v.Upstreams = append(v.Upstreams, UpstreamView{ID: id, Leaving: leaving})
		}
	}
	return v
}

// step performs one random event. A home that is not drawn for some steps acts
// like a paused one and resumes with its old list and record.
func (sim *simulation) step() {
	h := &sim.homes[sim.draw(numHomes, "home")]
	switch sim.draw(6, "step") {
	case 0:
		id := fmt.Sprintf("u%d", sim.draw(numUpstreams, "member"))
		if change := sim.draw(3, "change"); change == 0 {
			delete(sim.members, id)
		} else {
			sim.members[id] = change == 1
		}
	case 1:
		h.view = sim.membershipList()
	case 2:
		h.version = len(sim.stored) - 1
	case 3:
		sim.now = sim.now.Add(time.Duration(sim.draw(90, "seconds")) * time.Second)
	default:
		sim.write(h)
	}
}

// write proposes from the home's list and record and stores the result by
// conditional update.
func (sim *simulation) write(h *simulatedHome) {
	now := sim.now.Add(h.skew)
	assessments := sim.assessments(now)
	h.naiveEjected = naiveEject(h.view, h.naiveEjected, assessments, sim.floor)
	next, decisions := Propose(h.view, sim.stored[h.version], assessments, DefaultPolicy(sim.floor), now, sim.rng)
	if !Changed(decisions) {
		return
	}
	live := h.view.live()
	if n := len(ejectedEntries(live, next, Policy{}, unixMillis(now))); len(live)-n < min(sim.floor, len(live)) {
		sim.fail("record leaves %d of %d live upstreams, floor %d: %+v", len(live)-n, len(live), sim.floor, next)
	}
	value, err := next.Encode()
	if err != nil {
		sim.fail("encode: %v", err)
	}
	next, err = Decode(value)
	if err != nil {
		sim.fail("decode: %v", err)
	}
	result := sim.draw(4, "write")
	if h.version != len(sim.stored)-1 || result == 0 {
		return // version conflict or lost write
	}
	sim.stored = append(sim.stored, next)
	if result != 1 { // 1: the reply is lost and the home keeps its old copy
		h.version = len(sim.stored) - 1
	}
}

func (sim *simulation) assessments(now time.Time) []detector.Assessment {
	var out []detector.Assessment
	for i := range numUpstreams {
		out = append(out, detector.Assessment{
			Upstream:        fmt.Sprintf("u%d", i),
			Condition:       detector.Condition(min(sim.draw(4, "condition"), 2)),
			Score:           float64(sim.draw(20, "score")) / 10,
			SupportingHomes: sim.draw(2, "support"), Successes: float64(sim.draw(5, "successes")),
			Contradicted:     sim.draw(8, "contradicted") == 0,
			EvidenceDuration: time.Duration(sim.draw(3, "lasting")) * time.Second,
			Since:            now.Add(-time.Duration(sim.draw(60, "since")) * time.Second),
		})
	}
	return out
}

// checkFloor checks every home's view with its own, the latest and a random record.
func (sim *simulation) checkFloor() {
	for _, h := range sim.homes {
		for _, version := range []int{h.version, len(sim.stored) - 1, sim.draw(len(sim.stored), "version")} {
			sim.checkReader(h.view, sim.stored[version], sim.now.Add(h.skew))
		}
	}
}

// checkReader checks the floor for one reader. It computes the capacity from the
// standings instead of Usable.
func (sim *simulation) checkReader(view View, record Record, now time.Time) {
	x := EffectiveExclusion(view, record, DefaultPolicy(sim.floor), now)
	live, usable := 0, 0
	for _, u := range view.Upstreams {
		standing := x.Standing(u.ID)
		if u.Leaving {
			if !standing.Excluded {
				sim.fail("leaving upstream %s gets requests", u.ID)
			}
			continue
		}
		live++
		e, listed := record.Entry(u.ID)
		_, readmitted := x.Readmitted[u.ID]
		returning := listed && e.State == Ramp && !readmitted && !DefaultPolicy(0).isAbandoned(e, unixMillis(now))
		if !standing.Excluded && !standing.IdempotentOnly && !returning {
			usable++
			if standing.Share <= 0 || !slices.Contains(x.Usable, u.ID) {
				sim.fail("usable upstream %s has share %v, usable list %v", u.ID, standing.Share, x.Usable)
			}
		}
	}
	if usable < min(sim.floor, live) || usable != len(x.Usable) {
		sim.fail("%d of %d live upstreams usable, floor %d, record %+v", usable, live, sim.floor, record)
	}
}

// naiveEject models a proxy without agreement. Each home ejects the upstreams
// that it finds unhealthy as long as its own ejections keep the floor.
func naiveEject(view View, ejected []string, assessments []detector.Assessment, floor int) []string {
	live := view.live()
	ejected = slices.DeleteFunc(ejected, func(id string) bool { _, ok := live[id]; return !ok })
	for _, a := range assessments {
		if _, ok := live[a.Upstream]; ok && a.Condition == detector.Unhealthy && len(live)-len(ejected)-1 >= floor &&
			!slices.Contains(ejected, a.Upstream) {
			ejected = append(ejected, a.Upstream)
		}
	}
	return ejected
}

// usableCounts returns the number of live upstreams, those that no home excludes
// with the naive ejector, and those that are usable with the latest record.
func (sim *simulation) usableCounts() (live, naive, agreed int) {
	view := sim.membershipList()
	excluded := map[string]bool{}
	for _, h := range sim.homes {
		for _, id := range h.naiveEjected {
			excluded[id] = true
		}
	}
	for id := range view.live() {
		live++
		if !excluded[id] {
			naive++
		}
	}
	return live, naive, len(EffectiveExclusion(view, sim.stored[len(sim.stored)-1], DefaultPolicy(sim.floor), sim.now).Usable)
}

var _ = ginkgo.Describe("The floor", func() {
	ginkgo.It("holds in every record and at every reader for random histories", func() {
		testkit.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			sim := newSimulation(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) },
				func(format string, args ...any) { t.Fatalf(format, args...) })
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				sim.step()
				sim.checkFloor()
			}
		})
	})

	// Runs ejection without agreement on the same histories, to show that these
	// histories can violate the floor.
	ginkgo.It("is violated by per-home ejection in the same histories", func() {
		brokenNaive, brokenAgreed := 0, 0
		for seed := range uint64(300) {
			rng := newRNG(100 + seed)
			sim := newSimulation(func(n int, _ string) int { return rng.IntN(n) }, func(format string, args ...any) {
				ginkgo.Fail(fmt.Sprintf(format, args...))
			})
			for range 40 {
				sim.step()
				sim.checkFloor()
			}
			live, naive, agreed := sim.usableCounts()
			if naive < min(sim.floor, live) {
				brokenNaive++
			}
			if agreed < min(sim.floor, live) {
				brokenAgreed++
			}
		}
		Expect(brokenNaive).To(BeNumerically(">", 100))
		Expect(brokenAgreed).To(BeZero())
	})
})
