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
	worldUpstreams = 8
	worldHomes     = 3
)

// draw is where a history's choices come from: rapid, or a seeded generator.
type draw func(n int, what string) int

// world is a platform with a membership list, several homes that see it late,
// and the record that they change by conditional update.
type world struct {
	draw    draw
	fail    func(format string, args ...any)
	floor   int
	now     time.Time
	rng     *rand.Rand
	members map[string]bool // present upstreams; true means leaving
	stored  []Record        // by version
	homes   [worldHomes]worldHome
}

type worldHome struct {
	view    View
	version int           // of the record it holds
	skew    time.Duration // of its clock
	own     []string      // ejections of the naive ejector
}

func newWorld(draw draw, fail func(string, ...any)) *world {
	w := &world{
		draw: draw, fail: fail, floor: draw(worldUpstreams+2, "floor"), now: epoch, rng: newRNG(2),
		members: map[string]bool{}, stored: []Record{{Service: "s"}},
	}
	for i := range worldUpstreams {
		w.members[fmt.Sprintf("u%d", i)] = false
	}
	for i := range w.homes {
		w.homes[i].view = w.list()
		w.homes[i].skew = time.Duration(draw(20, "skew")-10) * time.Second
	}
	return w
}

// list returns the current membership list.
func (w *world) list() View {
	var v View
	for i := range worldUpstreams {
		id := fmt.Sprintf("u%d", i)
		if leaving, present := w.members[id]; present {
			v.Upstreams = append(v.Upstreams, UpstreamView{ID: id, Leaving: leaving})
		}
	}
	return v
}

// step lets one thing happen. A home that is not drawn for a while is a paused
// one: it resumes with the list and the record that it had.
func (w *world) step() {
	h := &w.homes[w.draw(worldHomes, "home")]
	switch w.draw(6, "step") {
	case 0:
		id := fmt.Sprintf("u%d", w.draw(worldUpstreams, "member"))
		if fate := w.draw(3, "fate"); fate == 0 {
			delete(w.members, id)
		} else {
			w.members[id] = fate == 1
		}
	case 1:
		h.view = w.list()
	case 2:
		h.version = len(w.stored) - 1
	case 3:
		w.now = w.now.Add(time.Duration(w.draw(90, "seconds")) * time.Second)
	default:
		w.write(h)
	}
}

// write proposes from what the home holds and stores by conditional update.
func (w *world) write(h *worldHome) {
	now := w.now.Add(h.skew)
	assessments := w.assessments(now)
	h.own = naiveEject(h.view, h.own, assessments, w.floor)
	next, decisions := Propose(h.view, w.stored[h.version], assessments, DefaultPolicy(w.floor), now, w.rng)
	if !Changed(decisions) {
		return
	}
	live := h.view.live()
	if n := len(counted(live, next, Policy{}, at(now))); len(live)-n < min(w.floor, len(live)) {
		w.fail("record leaves %d of %d, floor %d: %+v", len(live)-n, len(live), w.floor, next)
	}
	value, err := next.Encode()
	if err != nil {
		w.fail("encode: %v", err)
	}
	next, err = Decode(value)
	if err != nil {
		w.fail("decode: %v", err)
	}
	fate := w.draw(4, "write")
	if h.version != len(w.stored)-1 || fate == 0 {
		return // version conflict, or the write was lost
	}
	w.stored = append(w.stored, next)
	if fate != 1 { // on 1 the reply is lost, and the home keeps its old copy
		h.version = len(w.stored) - 1
	}
}

func (w *world) assessments(now time.Time) []detector.Assessment {
	var out []detector.Assessment
	for i := range worldUpstreams {
		out = append(out, detector.Assessment{
			Upstream:  fmt.Sprintf("u%d", i),
			Condition: detector.Condition(min(w.draw(4, "condition"), 2)),
			Score:     float64(w.draw(20, "score")) / 10,
			Support:   w.draw(2, "support"), Successes: float64(w.draw(5, "successes")),
			Contradicted: w.draw(8, "contradicted") == 0,
			Lasting:      time.Duration(w.draw(3, "lasting")) * time.Second,
			Since:        now.Add(-time.Duration(w.draw(60, "since")) * time.Second),
		})
	}
	return out
}

// check reads every home's view with its record and with any older one.
func (w *world) check() {
	for _, h := range w.homes {
		for _, version := range []int{h.version, len(w.stored) - 1, w.draw(len(w.stored), "old")} {
			w.checkReader(h.view, w.stored[version], w.now.Add(h.skew))
		}
	}
}

// checkReader counts capacity from the standings, not from Usable.
func (w *world) checkReader(view View, record Record, now time.Time) {
	x := Effective(view, record, DefaultPolicy(w.floor), now)
	live, usable := 0, 0
	for _, u := range view.Upstreams {
		standing := x.Standing(u.ID)
		if u.Leaving {
			if !standing.Excluded {
				w.fail("leaving %s gets work", u.ID)
			}
			continue
		}
		live++
		e, listed := record.Entry(u.ID)
		_, readmitted := x.Readmitted[u.ID]
		returning := listed && e.State == Ramp && !readmitted && !DefaultPolicy(0).abandoned(e, at(now))
		if !standing.Excluded && !standing.IdempotentOnly && !returning {
			usable++
			if standing.Share <= 0 || !slices.Contains(x.Usable, u.ID) {
				w.fail("%s has share %v, usable %v", u.ID, standing.Share, x.Usable)
			}
		}
	}
	if usable < min(w.floor, live) || usable != len(x.Usable) {
		w.fail("%d usable of %d live, floor %d, record %+v", usable, live, w.floor, record)
	}
}

// naiveEject is what a proxy without agreement does: each home ejects what it
// finds unhealthy as long as its own ejections keep the floor.
func naiveEject(view View, own []string, assessments []detector.Assessment, floor int) []string {
	live := view.live()
	own = slices.DeleteFunc(own, func(id string) bool { _, ok := live[id]; return !ok })
	for _, a := range assessments {
		if _, ok := live[a.Upstream]; ok && a.Condition == detector.Sick && len(live)-len(own)-1 >= floor &&
			!slices.Contains(own, a.Upstream) {
			own = append(own, a.Upstream)
		}
	}
	return own
}

// capacity returns how many live upstreams no home excludes, once every home
// has the current list and record, with the naive ejector and with the record.
func (w *world) capacity() (live, naive, agreed int) {
	view := w.list()
	excluded := map[string]bool{}
	for _, h := range w.homes {
		for _, id := range h.own {
			excluded[id] = true
		}
	}
	for id := range view.live() {
		live++
		if !excluded[id] {
			naive++
		}
	}
	return live, naive, len(Effective(view, w.stored[len(w.stored)-1], DefaultPolicy(w.floor), w.now).Usable)
}

var _ = ginkgo.Describe("The floor", func() {
	ginkgo.It("holds in every record and at every reader, whatever happens", func() {
		testkit.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			w := newWorld(func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) },
				func(format string, args ...any) { t.Fatalf(format, args...) })
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				w.step()
				w.check()
			}
		})
	})

	// Differential test: the same histories with per-home ejection, which shows
	// that the histories are hard enough to break a floor.
	ginkgo.It("breaks with per-home ejection in the same histories", func() {
		brokenNaive, brokenAgreed := 0, 0
		for seed := range uint64(300) {
			rng := newRNG(100 + seed)
			w := newWorld(func(n int, _ string) int { return rng.IntN(n) }, func(format string, args ...any) {
				ginkgo.Fail(fmt.Sprintf(format, args...))
			})
			for range 40 {
				w.step()
				w.check()
			}
			live, naive, agreed := w.capacity()
			if naive < min(w.floor, live) {
				brokenNaive++
			}
			if agreed < min(w.floor, live) {
				brokenAgreed++
			}
		}
		Expect(brokenNaive).To(BeNumerically(">", 100))
		Expect(brokenAgreed).To(BeZero())
	})
})
