package blackboard_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
	"shallotglade/pkg/limits"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/routing"
)

func newRankingService() *blackboard.Service {
	board := blackboard.New("d1", "fes")
	d := document.New("s")
	d.Detection.Eject = document.EjectNever
	board.PutDocument(d, 1, nil)
	s, _ := board.Service("s")
	return s
}

// Guards against a daemon whose list of upstreams, after single changes, differs from that
// of a daemon that got the whole list: one of them would send work to an upstream that is
// leaving, or forget an announcement or a warm-up.
func TestUpdateEqualsWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(2000, 0)
		whole, single := newRankingService(), newRankingService()
		home := []routing.Home{{ID: "d1", Domain: "fes"}}
		isHome := rapid.Bool().Draw(t, "home")
		if isHome {
			whole.SetHomes(now, home)
			single.SetHomes(now, home)
		}
		current := map[string]blackboard.Upstream{}
		single.SetUpstreams(now, nil)
		whole.SetUpstreams(now, nil)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			var listed []blackboard.Upstream
			var removed []string
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 1, 3, rapid.ID[int]).Draw(t, "changed") {
				id := fmt.Sprint("u", i)
				if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					delete(current, id)
					removed = append(removed, id)
					continue
				}
				current[id] = blackboard.Upstream{
					ID: id, Address: "10.0.0.1:80", Domain: rapid.SampledFrom([]string{"fes", "rabat"}).Draw(t, "domain"),
					Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving"),
					Incarnation: uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")), WarmUp: time.Second,
				}
				listed = append(listed, current[id])
			}
			var list []blackboard.Upstream
			for _, u := range current {
				list = append(list, u)
			}
			before := single.Upstreams()
			whole.SetUpstreams(now, list)
			single.UpdateUpstreams(now, listed, removed)
			if rapid.IntRange(0, 3).Draw(t, "announce") == 0 {
				incarnation := uint64(rapid.IntRange(0, 2).Draw(t, "announced"))
				whole.MarkLeaving(now, "u3", incarnation)
				single.MarkLeaving(now, "u3", incarnation)
			}
			if !isHome || slices.Equal(before, single.Upstreams()) {
				// Other daemons refresh when they need it, and the next round advances the
				// ramps of an unchanged list.
				whole.Refresh(now)
				single.Refresh(now)
			}
			slotsWhole, slotsSingle := map[string]int{}, map[string]int{}
			whole.AddSlots(slotsWhole)
			single.AddSlots(slotsSingle)
			a, b := whole.Status(), single.Status()
			if !slices.Equal(whole.Upstreams(), single.Upstreams()) || fmt.Sprint(slotsWhole) != fmt.Sprint(slotsSingle) || fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("whole list %v %v\nchanges %v %v", whole.Upstreams(), a, single.Upstreams(), b)
			}
		}
	})
}

var _ = Describe("A daemon that is no home of a service", func() {
	// Guards against requests that are admitted or sent by a list from before the change,
	// since such a daemon does not follow each change.
	It("uses the current upstreams for its first request", func() {
		now := time.Now()
		s := newRankingService()
		s.SetUpstreams(now, nil)
		// admits returns how many requests the gate admits at once, up to 9.
		admits := func() int {
			var permits []*limits.Permit
			defer func() {
				for _, p := range permits {
					p.Release()
				}
			}()
			for range 9 {
				p, err := s.Gate.Acquire(context.Background(), limits.Request{Caller: "c", Deadline: time.Now().Add(time.Millisecond), ExpectedDuration: time.Second})
				if err != nil {
					break
				}
				permits = append(permits, p)
			}
			return len(permits)
		}
		for i := range 3 {
			s.UpdateUpstreams(now, []blackboard.Upstream{{ID: fmt.Sprint("u", i), Domain: "fes", Slots: 2, Incarnation: 1}}, nil)
		}
		s.UpdateUpstreams(now, []blackboard.Upstream{{ID: "u0", Domain: "fes", Slots: 2, Incarnation: 1, Leaving: true}}, []string{"u1"})
		s.CheckPoison(now, 0)
		Expect(admits()).To(Equal(2))
		a, _, ok := s.Begin(now, blackboard.AttemptRequest{Idempotent: true, First: true})
		Expect(ok).To(BeTrue())
		Expect(a.Upstream.ID).To(Equal("u2"))
		// A service in use follows each change at once, for the requests that wait.
		s.UpdateUpstreams(now, []blackboard.Upstream{{ID: "u4", Domain: "fes", Slots: 5, Incarnation: 1}}, []string{"u2"})
		Expect(admits()).To(Equal(6)) // the request in flight at u2 takes none of the five slots
		a, _, ok = s.Begin(now, blackboard.AttemptRequest{Idempotent: true, First: true})
		Expect(ok).To(BeTrue())
		Expect(a.Upstream.ID).To(Equal("u4"))
	})
})

var _ = Describe("One of many homes", func() {
	// Guards against homes that choose upstreams by loads from before the last reports, since
	// they do not apply each report at once; and against failures that wait with the loads.
	It("applies the load of deferred reports with the next request, and failures at once", func() {
		now := time.Now()
		s, _ := newLargeHome()
		list := s.Upstreams()[:2]
		s.SetUpstreams(now, list)
		s.Refresh(now)
		for i, home := range []string{"d2", "d3"} {
			loads := []routing.Load{{Upstream: list[0].ID, Mean: 0.5}, {Upstream: list[1].ID, Mean: 0.5}}
			s.Merge(now.Add(time.Duration(i)*time.Millisecond), home, blackboard.Report{Service: "s", Home: home, Load: routing.Report{Loads: loads, Demand: 1}})
		}
		a, choice, ok := s.Begin(now.Add(60*time.Millisecond), blackboard.AttemptRequest{Idempotent: true, First: true})
		Expect(ok).To(BeTrue())
		Expect(choice.Load).To(BeNumerically("~", 0.5), "one of two slots is used by others")
		s.Release(now.Add(60*time.Millisecond), a)
		s.Refresh(now.Add(100 * time.Millisecond))
		failing := blackboard.Report{Service: "s", Home: "d3"}
		for range 5 {
			failing.Outcomes = append(failing.Outcomes, blackboard.OutcomeReport{UpstreamHash: uint32(xxhash.Sum64String(list[1].ID)), Kind: reliability.Unreachable})
		}
		s.Merge(now.Add(101*time.Millisecond), "d3", failing)
		Expect(s.PriorityChanges()).To(HaveLen(1))
	})
})

// newLargeHome returns one of 24 homes of a service with 1,000 upstreams, and the reports of
// the others.
func newLargeHome() (s *blackboard.Service, reports []blackboard.Report) {
	now := time.Now()
	var homes []routing.Home
	for i := range 24 {
		homes = append(homes, routing.Home{ID: fmt.Sprint("d", i), Domain: fmt.Sprint("domain-", i%4)})
	}
	var list []blackboard.Upstream
	for i := range 1000 {
		list = append(list, blackboard.Upstream{ID: fmt.Sprintf("i-upstream-%04d-1", i), Domain: fmt.Sprint("domain-", i%4), Slots: 2, Incarnation: 1})
	}
	for i, h := range homes[2:] {
		r := blackboard.Report{Service: "s", Home: h.ID, Load: routing.Report{Demand: 10}}
		for n := range 10 {
			id := list[(i*10+n)%len(list)].ID
			r.Load.Loads = append(r.Load.Loads, routing.Load{Upstream: id, Mean: 0.7, Current: 1})
		}
		reports = append(reports, r)
	}
	s = newRankingService()
	s.SetHomes(now, homes)
	s.SetUpstreams(now, list)
	return s, reports
}

// BenchmarkHome measures the work of one of 24 homes of a service with 1,000 upstreams.
func BenchmarkHome(b *testing.B) {
	b.Run("refresh", func(b *testing.B) {
		s, _ := newLargeHome()
		for b.Loop() {
			s.Refresh(time.Now())
		}
	})
	b.Run("report", func(b *testing.B) {
		s, reports := newLargeHome()
		for i := 0; b.Loop(); i++ {
			r := reports[i%len(reports)]
			s.Merge(time.Now(), r.Home, r)
		}
	})
}
