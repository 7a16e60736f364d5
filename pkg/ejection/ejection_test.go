package ejection

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/detector"
)

func TestEjection(t *testing.T) { testkit.RunSpecs(t, "ejection") }

var epoch = time.Unix(1_800_000_000, 0)

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(testkit.Seed, seed)) }

func newView(n int) View {
	var v View
	for i := range n {
		v.Upstreams = append(v.Upstreams, UpstreamView{ID: fmt.Sprintf("u%d", i)})
	}
	return v
}

func sickAssessment(id string, score float64, since time.Time) detector.Assessment {
	return detector.Assessment{Upstream: id, Score: score, Condition: detector.Unhealthy, SupportingHomes: 1, Since: since, EvidenceDuration: time.Second}
}

// writerFixture is a single home whose writes always succeed.
type writerFixture struct {
	view   View
	record Record
	policy Policy
	now    time.Time
	rng    *rand.Rand
}

func newWriter(n, floor int) *writerFixture {
	return &writerFixture{view: newView(n), record: Record{Service: "s"}, policy: DefaultPolicy(floor), now: epoch, rng: newRNG(1)}
}

func (f *writerFixture) propose(assessments ...detector.Assessment) []Decision {
	next, decisions := Propose(f.view, f.record, assessments, f.policy, f.now, f.rng)
	f.record = next
	return decisions
}

func (f *writerFixture) effective() Exclusion {
	return EffectiveExclusion(f.view, f.record, f.policy, f.now)
}

func (f *writerFixture) state(id string) State {
	e, _ := f.record.Entry(id)
	return e.State
}

// proposeUntil proposes once a second until the upstream reaches the state, and
// returns the time that it took.
func (f *writerFixture) proposeUntil(id string, state State, limit time.Duration) time.Duration {
	begin := f.now
	for f.state(id) != state && f.now.Sub(begin) < limit {
		f.now = f.now.Add(time.Second)
		f.propose()
	}
	Expect(f.state(id)).To(Equal(state))
	return f.now.Sub(begin)
}

var _ = ginkgo.Describe("Propose", func() {
	// Guards against losing capacity when all upstreams appear unhealthy.
	ginkgo.It("ejects the most unhealthy first and keeps the floor", func() {
		f := newWriter(4, 3)
		decisions := f.propose(sickAssessment("u0", 1.1, epoch), sickAssessment("u1", 1.9, epoch), sickAssessment("u2", 1.5, epoch), sickAssessment("u3", 1.2, epoch))
		Expect(f.record.Entries).To(HaveLen(1))
		Expect(f.state("u1")).To(Equal(Ejected))
		Expect(decisions).To(ContainElement(HaveField("Reason", ReasonFloor)))
		Expect(Changed(f.propose(sickAssessment("u0", 1.1, epoch)))).To(BeFalse(), "the floor prevents a second ejection")
	})

	// Guards against a fleet-wide ejection caused by one home's bad path or by
	// evidence that another home contradicts.
	ginkgo.DescribeTable("does not eject without sufficient evidence", func(a detector.Assessment) {
		f := newWriter(4, 1)
		a.Upstream = "u0"
		if a.EvidenceDuration == 0 {
			a.EvidenceDuration = time.Minute
		}
		Expect(Changed(f.propose(a))).To(BeFalse())
	},
		ginkgo.Entry("bad path", detector.Assessment{Score: 2, Condition: detector.PathBad, SupportingHomes: 1}),
		ginkgo.Entry("contradicted", detector.Assessment{Score: 2, Condition: detector.Unhealthy, SupportingHomes: 1, Contradicted: true}),
		ginkgo.Entry("unsupported and just above the threshold", detector.Assessment{Score: 1.1, Condition: detector.Unhealthy}),
		ginkgo.Entry("a short stall", detector.Assessment{Score: 2, Condition: detector.Unhealthy, SupportingHomes: 1, EvidenceDuration: 300 * time.Millisecond}),
		ginkgo.Entry("healthy", detector.Assessment{Score: 2, Condition: detector.Healthy}),
	)

	// Guards against counting an upstream as capacity before it has returned.
	ginkgo.It("counts trial and ramp as ejected for the floor", func() {
		f := newWriter(4, 3)
		f.propose(sickAssessment("u0", 1.5, epoch))
		for _, state := range []State{Trial, Ramp} {
			f.proposeUntil("u0", state, time.Minute)
			Expect(Changed(f.propose(sickAssessment("u1", 1.9, f.now)))).To(BeFalse(), state.String())
			Expect(f.effective().Usable).To(Equal([]string{"u1", "u2", "u3"}))
		}
		f.proposeUntil("u0", Returned, time.Minute)
		Expect(f.effective().Usable).To(HaveLen(4))
		f.propose(sickAssessment("u1", 1.9, f.now))
		Expect(f.state("u1")).To(Equal(Ejected))
	})

	// Guards against all upstreams of a failed domain returning at once without
	// warm-up.
	ginkgo.It("returns upstreams one after another", func() {
		f := newWriter(8, 2)
		f.propose(sickAssessment("u0", 1.5, epoch), sickAssessment("u1", 1.6, epoch), sickAssessment("u2", 1.7, epoch), sickAssessment("u3", 1.8, epoch))
		Expect(f.record.Entries).To(HaveLen(4))
		for range 600 {
			f.now = f.now.Add(time.Second)
			f.propose()
			x := f.effective()
			Expect(len(x.Trial) + len(x.Ramp)).To(BeNumerically("<=", 1))
		}
		Expect(f.effective().Usable).To(HaveLen(8))
	})

	// Guards against a flapping upstream that is ejected and returned at a
	// constant rate, and against rounds that are never forgotten.
	ginkgo.It("lengthens the hold time each round and forgets rounds in service", func() {
		f := newWriter(4, 1)
		var last time.Duration
		for round := 1; round <= 5; round++ {
			f.propose(sickAssessment("u0", 1.5, f.now))
			e, _ := f.record.Entry("u0")
			Expect(e.Rounds).To(Equal(round))
			hold := f.proposeUntil("u0", Trial, time.Hour)
			Expect(hold).To(BeNumerically(">", last))
			last = hold
		}
		f.proposeUntil("u0", Returned, time.Hour)
		f.now = f.now.Add(2*f.policy.RoundMemory + time.Second)
		f.propose(sickAssessment("u0", 1.5, f.now))
		e, _ := f.record.Entry("u0")
		Expect(e.Rounds).To(Equal(4), "5 rounds, 2 forgotten, 1 new")
	})

	ginkgo.It("jitters hold times", func() {
		f := newWriter(8, 1)
		f.propose(sickAssessment("u0", 1.5, epoch), sickAssessment("u1", 1.5, epoch), sickAssessment("u2", 1.5, epoch))
		until := map[int64]bool{}
		for _, e := range f.record.Entries {
			until[e.Until] = true
			Expect(time.UnixMilli(e.Until)).To(BeTemporally("~", epoch.Add(10*time.Second), 2*time.Second))
		}
		Expect(until).To(HaveLen(3))
	})

	// Guards against ending a trial because of evidence from before the ejection.
	ginkgo.It("ends a trial only on newer evidence", func() {
		f := newWriter(4, 1)
		f.propose(sickAssessment("u0", 1.5, epoch))
		f.proposeUntil("u0", Trial, time.Minute)
		f.propose(sickAssessment("u0", 1.5, epoch))
		Expect(f.state("u0")).To(Equal(Trial))
		f.propose(sickAssessment("u0", 1.5, f.now))
		Expect(f.state("u0")).To(Equal(Ejected))
		f.proposeUntil("u0", Trial, time.Minute)
		f.now = f.now.Add(f.policy.MinTrial)
		f.propose(detector.Assessment{Upstream: "u0", Successes: 3})
		Expect(f.state("u0")).To(Equal(Ramp))
	})
})

var _ = ginkgo.Describe("Effective", func() {
	// Guards against a reader that violates the floor with a stale or shorter list.
	ginkgo.It("readmits the least unhealthy when the reader's list is shorter", func() {
		f := newWriter(6, 3)
		f.propose(sickAssessment("u0", 1.5, epoch), sickAssessment("u1", 1.2, epoch), sickAssessment("u2", 1.9, epoch))
		f.view.Upstreams[5].Leaving = true
		x := f.effective()
		Expect(x.Usable).To(Equal([]string{"u1", "u3", "u4"}))
		Expect(x.Standing("u1")).To(Equal(Standing{Share: f.policy.ReadmitShare}))
		Expect(x.Standing("u5").Excluded).To(BeTrue(), "leaving")
		doubled := View{Upstreams: append(newView(6).Upstreams, UpstreamView{ID: "u5", Leaving: true})}
		Expect(EffectiveExclusion(doubled, f.record, f.policy, f.now).Usable).NotTo(ContainElement("u5"), "listed twice")
		f.propose()
		Expect(f.state("u1")).To(Equal(Returned), "the writer repairs the record")
	})

	ginkgo.It("assigns a small share during a trial and a growing one during a ramp", func() {
		f := newWriter(4, 1)
		f.propose(sickAssessment("u0", 1.5, epoch))
		Expect(f.effective().Standing("u0").Excluded).To(BeTrue())
		f.proposeUntil("u0", Trial, time.Minute)
		Expect(f.effective().Standing("u0")).To(Equal(Standing{IdempotentOnly: true, Share: 0.02}))
		f.proposeUntil("u0", Ramp, time.Minute)
		last := 0.0
		for range 3 {
			f.now = f.now.Add(5 * time.Second)
			share := f.effective().Standing("u0").Share
			Expect(share).To(BeNumerically(">", last))
			last = share
		}
	})

	ginkgo.It("ramps up new upstreams and counts them as capacity", func() {
		f := newWriter(3, 3)
		f.view.Upstreams[2].Joined = epoch
		x := f.effective()
		Expect(x.Standing("u2").Share).To(BeNumerically("~", 0.05, 1e-9))
		Expect(x.Usable).To(HaveLen(3))
		f.now = epoch.Add(f.policy.RampDuration)
		Expect(f.effective().Standing("u2").Share).To(Equal(1.0))
	})

	// Guards against ejections that last as long as a platform outage.
	ginkgo.It("ignores abandoned entries", func() {
		f := newWriter(4, 1)
		f.propose(sickAssessment("u0", 1.5, epoch))
		f.now = f.now.Add(time.Hour)
		Expect(f.effective().Standing("u0")).To(Equal(Standing{Share: 1}))
	})
})

var _ = ginkgo.Describe("Demotions", func() {
	ginkgo.It("orders by evidence, reduces shares and skips excluded upstreams", func() {
		f := newWriter(4, 3)
		assessments := []detector.Assessment{sickAssessment("u0", 1.5, epoch), sickAssessment("u1", 2, epoch), sickAssessment("u2", 1.1, epoch), {Upstream: "u3"}}
		f.propose(assessments...)
		demoted := Demotions(f.view, assessments, f.effective())
		Expect(demoted).To(HaveLen(2))
		Expect(demoted[0].Upstream).To(Equal("u2"))
		Expect(demoted[0].Share).To(BeNumerically(">", demoted[1].Share))
	})
})

var _ = ginkgo.Describe("Record", func() {
	good := Record{Service: "s", Entries: []Entry{{Upstream: "a", State: Ejected, Since: 1, Until: 2, Rounds: 1, Score: 1.5, Reason: "slow"}}}

	ginkgo.It("is unchanged by encoding and decoding", func() {
		value, err := good.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(Decode(value)).To(Equal(good))
	})

	// Guards against applying a corrupted or unrelated value.
	ginkgo.DescribeTable("rejects invalid records", func(change func(*Record)) {
		r := Record{Service: "s", Entries: []Entry{good.Entries[0]}}
		change(&r)
		_, err := r.Encode()
		Expect(err).To(MatchError(ErrInvalid))
		value, err := cbor.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		_, err = Decode(value)
		Expect(err).To(MatchError(ErrInvalid))
	},
		ginkgo.Entry("no service", func(r *Record) { r.Service = "" }),
		ginkgo.Entry("unknown state", func(r *Record) { r.Entries[0].State = 9 }),
		ginkgo.Entry("times reversed", func(r *Record) { r.Entries[0].Until = 0 }),
		ginkgo.Entry("NaN", func(r *Record) { r.Entries[0].Score = float32(math.NaN()) }),
		ginkgo.Entry("repeated upstream", func(r *Record) { r.Entries = append(r.Entries, r.Entries[0]) }),
		ginkgo.Entry("too many rounds", func(r *Record) { r.Entries[0].Rounds = 1000 }),
		ginkgo.Entry("too many entries", func(r *Record) { r.Entries = make([]Entry, MaxEntries+1) }),
	)

	ginkgo.It("rejects unknown and repeated fields, trailing data and large values", func() {
		for _, value := range []string{"\xa3\x01as\x02\x80\x09\x01", "\xa3\x01as\x01as\x02\x80", "\xa2\x01as\x02\x80\x00", ""} {
			_, err := Decode([]byte(value))
			Expect(err).To(MatchError(ErrInvalid), "%x", value)
		}
		Expect(Decode([]byte("\xa2\x01as\x02\x80"))).To(HaveField("Service", "s"))
		_, err := Decode(make([]byte, MaxRecordBytes+1))
		Expect(err).To(MatchError(ErrTooLarge))
	})

	ginkgo.It("fits the size limit when full", func() {
		r := Record{Service: "s"}
		for i := range MaxEntries {
			r.Entries = append(r.Entries, Entry{
				Upstream: fmt.Sprintf("%0*d", maxIDBytes, i), State: Ejected, Since: 1, Until: math.MaxInt64,
				Rounds: maxRounds, Score: 1, Reason: fmt.Sprintf("%0*d", maxReasonBytes, i),
			})
		}
		_, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
	})
})

// FuzzDecode guards against values that can be decoded but not encoded again, and
// against values that violate the floor at a reader.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("\xa2\x01as\x02\x80"))
	f.Add([]byte("\xa2\x01as\x02\x81\xa6\x01bu0\x02\x01\x03\x01\x04\x02\x05\x01\x06\xf9\x3c\x00"))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode(value)
		if err != nil {
			return
		}
		if _, err := r.Encode(); err != nil {
			t.Fatal(err)
		}
		if n := len(EffectiveExclusion(newView(3), r, DefaultPolicy(2), epoch).Usable); n < 2 {
			t.Fatalf("%d usable upstreams, floor 2", n)
		}
	})
}
