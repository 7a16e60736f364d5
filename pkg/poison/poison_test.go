package poison_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/poison"
)

func TestPoison(t *testing.T) { testkit.RunSpecs(t, "poison") }

var (
	epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	homes = []string{"h1", "h2", "h3"}
)

// named returns a fingerprint whose suspects run at the home.
func named(home string) poison.Fingerprint {
	fp := poison.Fingerprint(1)
	for poison.Named(fp, homes) != home {
		fp++
	}
	return fp
}

var _ = Describe("Tracker", func() {
	// Guards against a request that crashes upstreams being run again and again.
	It("makes a suspect at the first crash and refuses at the second", func() {
		fp := named("h1")
		t := poison.NewTracker("h1", homes)
		Expect(t.Check(epoch, fp, 6, 3).Action).To(Equal(poison.Run))
		Expect(t.Crash(epoch, "u1", []poison.Fingerprint{fp}).Changed).To(BeTrue())
		Expect(t.Check(epoch, fp, 5, 3).Action).To(Equal(poison.RunAlone))
		Expect(t.Check(epoch, fp, 3, 3).Reason).To(Equal(poison.ReasonFloor))
		r := t.Crash(epoch, "u2", []poison.Fingerprint{fp})
		Expect(r.Excused).To(BeTrue())
		Expect(r.Forgiven).To(Equal([]string{"u1", "u2"}))
		Expect(t.Check(epoch, fp, 4, 3)).To(Equal(poison.Decision{
			Action: poison.Refuse, Reason: poison.ReasonPoison, Status: 422, RetryAfter: poison.RefuseFor,
		}))
		Expect(t.Check(epoch.Add(poison.RefuseFor), fp, 4, 3).Action).To(Equal(poison.RunAlone))
	})

	// Guards against an upstream that crashes by itself making its requests look guilty.
	It("counts two crashes of one upstream as one", func() {
		fp := named("h1")
		t := poison.NewTracker("h1", homes)
		t.Crash(epoch, "u1", []poison.Fingerprint{fp})
		t.Crash(epoch.Add(time.Second), "u1", []poison.Fingerprint{fp})
		Expect(t.Check(epoch.Add(time.Second), fp, 6, 3).Action).To(Equal(poison.RunAlone))
		_, ok := t.Place(epoch, fp, []poison.Option{{Upstream: "u1", Usable: true, Free: true}})
		Expect(ok).To(BeFalse(), "placed where it was seen at a crash")
	})

	It("runs one copy of a suspect at a time and only at the named home", func() {
		fp := named("h2")
		a, b := poison.NewTracker("h1", homes), poison.NewTracker("h2", homes)
		a.Crash(epoch, "u1", []poison.Fingerprint{fp})
		b.Merge(epoch, a.Summary(epoch))
		Expect(a.Check(epoch, fp, 6, 3)).To(Equal(poison.Decision{Action: poison.Forward, Home: "h2"}))
		Expect(b.Check(epoch, fp, 6, 3).Action).To(Equal(poison.RunAlone))
		b.Start(epoch, "u2", fp)
		Expect(b.Check(epoch, fp, 6, 3).Action).To(Equal(poison.Wait))
		Expect(b.Complete(epoch, "u2", fp).Changed).To(BeTrue())
		Expect(b.Check(epoch, fp, 6, 3).Action).To(Equal(poison.Run))
		a.Merge(epoch, b.Summary(epoch))
		Expect(a.Check(epoch, fp, 6, 3).Action).To(Equal(poison.Run))
	})

	// Guards against suspects that run at the same time taking the service
	// below its floor, each allowed for itself.
	It("counts running suspects against the floor", func() {
		t := poison.NewTracker("h1", homes[:1])
		t.Crash(epoch, "u1", []poison.Fingerprint{1, 2})
		Expect(t.Check(epoch, 1, 5, 4).Action).To(Equal(poison.RunAlone))
		t.Start(epoch, "u2", 1)
		Expect(t.Check(epoch, 2, 5, 4).Action).To(Equal(poison.Wait))
		Expect(t.Check(epoch, 2, 6, 4).Action).To(Equal(poison.RunAlone))
	})

	// Guards against an innocent suspect being seen at the crash that the
	// guilty one causes, when different homes run them.
	It("places suspects of different homes at different upstreams", func() {
		var options []poison.Option
		for _, u := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
			options = append(options, poison.Option{Upstream: u, Usable: true, Free: true})
		}
		placed := map[string]bool{}
		for _, h := range homes {
			t := poison.NewTracker(h, homes)
			t.Crash(epoch, "u1", []poison.Fingerprint{1, 2})
			u, ok := t.Place(epoch, 1, options)
			Expect(ok).To(BeTrue())
			placed[u] = true
		}
		Expect(placed).To(HaveLen(3))
	})

	// Guards against one connection reset being taken for a crash, and against
	// a crash with a single request in flight being missed.
	It("finds crashes from lost connections", func() {
		t := poison.NewTracker("h1", homes)
		t.Start(epoch, "u1", 1)
		Expect(t.Lost(epoch, "u1", 1)).To(Equal(poison.Loss{CheckDial: true}))
		Expect(t.Dialed(epoch, "u1", false).Crashed).To(BeFalse())
		Expect(t.Suspected(epoch, 1)).To(BeFalse())
		t.Start(epoch, "u1", 1)
		t.Lost(epoch, "u1", 1)
		Expect(t.Dialed(epoch, "u1", true).Crashed).To(BeTrue())
		for fp := poison.Fingerprint(2); fp < 5; fp++ {
			t.Start(epoch, "u2", fp)
		}
		Expect(t.Lost(epoch, "u2", 2).CheckDial).To(BeTrue())
		Expect(t.Lost(epoch, "u2", 3).Crashed).To(BeTrue())
		Expect(t.Lost(epoch, "u2", 4).Report).To(Equal(poison.Report{Crashed: true}))
		Expect(t.Suspected(epoch, 1) && t.Suspected(epoch, 2) && t.Suspected(epoch, 4)).To(BeTrue())
	})

	It("stays within its memory limit and keeps what is refused", func() {
		t := poison.NewTracker("h1", homes)
		t.Crash(epoch, "u1", []poison.Fingerprint{7})
		t.Crash(epoch, "u2", []poison.Fingerprint{7})
		for i := range poison.MaxEntries + 500 {
			t.Crash(epoch.Add(time.Second), "u1", []poison.Fingerprint{poison.Fingerprint(1000 + i)})
		}
		Expect(t.Entries()).To(BeNumerically("<=", poison.MaxEntries))
		Expect(t.Check(epoch, 7, 6, 3).Action).To(Equal(poison.Refuse))
	})

	It("tells apart requests whose parts only join to the same text", func() {
		Expect(poison.Of(poison.Request{Path: "/a", Query: "b"})).
			NotTo(Equal(poison.Of(poison.Request{Path: "/ab"})))
		Expect(poison.Of(poison.Request{IdempotencyKey: "k"})).
			NotTo(Equal(poison.Of(poison.Request{Body: []byte("k")})))
	})
})
