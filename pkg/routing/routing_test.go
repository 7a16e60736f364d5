package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/routing"
)

func TestRouting(t *testing.T) { testkit.RunSpecs(t, "routing") }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(testkit.Seed, 1)) }

var _ = Describe("Choose", func() {
	req := routing.Request{Domain: "a", Idempotent: true}
	pick := func(change func(c []routing.Candidate)) routing.Choice {
		cs := []routing.Candidate{
			{ID: "a1", Domain: "a", Slots: 3, Quota: 2, Share: 1},
			{ID: "a2", Domain: "a", Slots: 3, Quota: 2, Share: 1, OwnInFlight: 1},
			{ID: "b1", Domain: "b", Slots: 3, Quota: 1, Share: 1},
		}
		change(cs)
		c, _ := routing.Choose(cs, req, newRand())
		return c
	}
	DescribeTable("prefers", func(change func(c []routing.Candidate), id string, reason routing.Reason) {
		c := pick(change)
		Expect(c.ID).To(Equal(id))
		Expect(c.Reason).To(Equal(reason))
	},
		Entry("the least loaded upstream of its domain", func([]routing.Candidate) {}, "a1", routing.OwnDomain),
		Entry("the least loaded upstream counting other homes", func(c []routing.Candidate) { c[0].OthersInFlight = 1.5 }, "a2", routing.OwnDomain),
		Entry("another domain to queueing", func(c []routing.Candidate) { c[0].OwnInFlight, c[1].OwnInFlight = 3, 3 }, "b1", routing.OtherDomain),
		Entry("another domain to a demoted upstream", func(c []routing.Candidate) {
			c[0].Demoted, c[1].OwnInFlight = true, 3
		}, "b1", routing.OtherDomain),
		Entry("a demoted upstream to queueing", func(c []routing.Candidate) {
			c[0].Demoted, c[1].OwnInFlight, c[2].OwnInFlight = true, 3, 3
		}, "a1", routing.DemotedFree),
		Entry("a contended upstream to none if this home has no request in flight", func(c []routing.Candidate) {
			for i := range c {
				c[i].Quota, c[i].OwnInFlight, c[i].OthersInFlight = 0, 0, 3-float64(i)/10
			}
		}, "b1", routing.Contended),
		Entry("an own slot to a borrowed one", func(c []routing.Candidate) { c[0].OwnInFlight, c[1].OwnInFlight = 2, 2 }, "b1", routing.OtherDomain),
		Entry("a slot that others do not use to queueing", func(c []routing.Candidate) {
			c[0].OwnInFlight, c[1].OwnInFlight, c[2].OwnInFlight = 2, 2, 1
			c[0].OthersInFlight, c[1].OthersInFlight = 0.2, 0.2
		}, "b1", routing.Borrowed),
		Entry("queueing to a slot that others use", func(c []routing.Candidate) {
			c[0].OwnInFlight, c[1].OwnInFlight, c[2].OwnInFlight = 2, 2, 1
			c[0].OthersInFlight, c[1].OthersInFlight, c[2].OthersInFlight = 0.2, 0.2, 1
		}, "", routing.AllBusy),
		Entry("no upstream when all are busy", func(c []routing.Candidate) {
			c[0].OwnInFlight, c[1].OwnInFlight, c[2].OwnInFlight = 3, 3, 3
		}, "", routing.AllBusy),
		Entry("no upstream when all shares are zero", func(c []routing.Candidate) {
			c[0].Share, c[1].Share, c[2].Share = 0, 0, 0
		}, "", routing.NoUpstream),
	)

	It("reports the mean in flight and reduces the weight of old reports", func() {
		mean := func(f *routing.InFlight) float64 {
			n, known := f.Others("u")
			Expect(known).To(BeFalse())
			return n
		}
		f := routing.NewInFlight()
		f.Start(epoch, "u")
		f.Start(epoch, "u")
		f.End(epoch.Add(125*time.Millisecond), "u")
		at := epoch.Add(250 * time.Millisecond)
		Expect(f.Own("u")).To(Equal(1))
		report := f.Report(at, 3)
		Expect(report.Loads).To(Equal([]routing.Load{{Upstream: "u", Mean: 1.5, Current: 1}}))
		Expect(report.Demand).To(BeNumerically("~", 4.5, 1e-9))
		g := routing.NewInFlight()
		g.Merge(at, "h1", report)
		for age, want := range map[time.Duration]float64{0: 1.5, routing.ReportFullWeightAge: 1.5, time.Second: 0.75} {
			g.Refresh(at.Add(age), 0)
			Expect(mean(g)).To(BeNumerically("~", want, 1e-9))
		}
		g.Refresh(at.Add(routing.ReportMaxAge), 0)
		Expect(mean(g)).To(BeZero())
	})
})
