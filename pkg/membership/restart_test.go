package membership_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/membership"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
)

// daemonOn returns a daemon that runs on a host.
func daemonOn(host, id, domain string) platform.Member {
	return platform.Member{
		ID: id, Host: host, Role: platform.RoleDaemon, State: platform.Live, Domain: domain,
		Address: host + ":80", PeerAddress: host + ":81",
	}
}

var _ = Describe("A daemon that starts again on its host", func() {
	var (
		start time.Time
		view  *membership.View
		rng   *rand.Rand
	)
	BeforeEach(func() {
		start = time.Unix(1000, 0)
		view = membership.NewView(daemonOn("h0", "h0.1", "a"), start, membership.DomainParams())
		rng = rand.New(rand.NewPCG(1, 2))
		view.SetRoster(start, []platform.Member{daemonOn("h1", "h1.1", "a"), daemonOn("h2", "h2.1", "b")})
	})
	known := func() []string {
		var ids []string
		for _, h := range view.Hosts() {
			ids = append(ids, h.ID)
		}
		return ids
	}

	// Guards against callers that are sent to the ended start of a daemon, beside
	// the new one, until it is taken for dead.
	It("takes the place of its earlier start once the roster lists it", func() {
		view.SetRoster(start, []platform.Member{daemonOn("h1", "h1.2", "a"), daemonOn("h2", "h2.1", "b")})
		Expect(known()).To(ConsistOf("h1.2", "h2.1"))
	})

	// Guards against homes on which daemons disagree for a minute and more: the new
	// start of a daemon that had left in order was taken for a former one.
	It("is known by the roster soon after its earlier start has left", func() {
		view.Receive(start.Add(time.Millisecond), membership.Message{Kind: membership.Ping, Seq: 1, From: "h1.1", Leaving: true})
		view.SetRoster(start.Add(time.Second), []platform.Member{daemonOn("h2", "h2.1", "b")})
		view.SetRoster(start.Add(2*time.Second), []platform.Member{daemonOn("h1", "h1.2", "a"), daemonOn("h2", "h2.1", "b")})
		Expect(known()).To(ConsistOf("h1.2", "h2.1"))
	})

	// Guards against a start that stays unknown until the roster changes again: an
	// earlier one of the same host had called shortly before, and was killed at once.
	It("is known by the roster when the start before it has fallen silent", func() {
		view.Receive(start.Add(time.Millisecond), membership.Message{
			Kind: membership.Ping, Seq: 1, From: "h1.2",
			Contact: &membership.Contact{Domain: "a", Address: "h1:80", PeerAddress: "h1:81", Host: "h1"},
		})
		view.SetRoster(start.Add(time.Second), []platform.Member{daemonOn("h1", "h1.3", "a"), daemonOn("h2", "h2.1", "b")})
		for at := time.Second; at < 2*membership.DomainParams().Suspicion; at += 200 * time.Millisecond {
			view.Tick(start.Add(at), rng)
		}
		Expect(known()).To(ConsistOf("h1.3", "h2.1"))
	})

	// Guards against the same while the roster lags: a ping shows the new start
	// first.
	It("takes the place of its earlier start by its first ping, also when the roster still lists that", func() {
		view.Receive(start.Add(time.Millisecond), membership.Message{
			Kind: membership.Ping, Seq: 1, From: "h1.2",
			Contact: &membership.Contact{Domain: "a", Address: "h1:80", PeerAddress: "h1:81", Host: "h1"},
		})
		Expect(known()).To(ConsistOf("h1.2", "h2.1"))
		view.SetRoster(start.Add(time.Second), []platform.Member{daemonOn("h1", "h1.1", "a"), daemonOn("h2", "h2.1", "b")})
		Expect(known()).To(ConsistOf("h1.2", "h2.1"))
	})

	// Guards against a daemon that forwards requests to its own former start.
	It("does not meet its own earlier start", func() {
		view.SetRoster(start, []platform.Member{daemonOn("h0", "h0.0", "a"), daemonOn("h1", "h1.1", "a")})
		Expect(known()).NotTo(ContainElement("h0.0"))
	})

	// Guards against requests that wait for the end of a home which only another
	// domain's bridges would have noticed.
	It("probes companions of any domain several times a second", func() {
		view.SetCompanions([]string{"h2.1"})
		sent := 0
		for at := time.Duration(0); at < 2*time.Second; at += 50 * time.Millisecond {
			for _, m := range view.Tick(start.Add(at), rng) {
				if m.To == "h2:81" && m.Kind == membership.Ping {
					sent++
					view.Receive(start.Add(at), membership.Message{Kind: membership.Ack, Seq: m.Seq, From: "h2.1"})
				}
			}
		}
		Expect(sent).To(BeNumerically(">=", 7))
	})

	// Guards against callers that are still sent to a daemon for seconds after it
	// began to leave.
	It("tells its domain and its companions at once that it leaves", func() {
		view.SetCompanions([]string{"h2.1"})
		view.Leave()
		told := map[string]bool{}
		for _, m := range view.Tick(start.Add(time.Millisecond), rng) {
			told[m.To] = m.Kind == membership.Ping && m.Leaving
		}
		Expect(told).To(And(HaveKeyWithValue("h1:81", true), HaveKeyWithValue("h2:81", true)))
	})
})

var _ = Describe("A daemon that cannot reach the platform", func() {
	// Guards against a relay that others still count on, and against one that is
	// passed over after it reaches the platform again.
	It("tells its domain at once, and takes it back", func() {
		start := time.Unix(1000, 0)
		a, b := daemonOn("h1", "h1.1", "a"), daemonOn("h2", "h2.1", "a")
		one := membership.NewView(a, start, membership.DomainParams())
		two := membership.NewView(b, start, membership.DomainParams())
		one.SetRoster(start, []platform.Member{a, b})
		two.SetRoster(start, []platform.Member{a, b})
		rng := rand.New(rand.NewPCG(1, 2))
		at := start
		exchange := func() {
			at = at.Add(200 * time.Millisecond)
			for _, m := range one.Tick(at, rng) {
				for _, answer := range two.Receive(at, m) {
					one.Receive(at, answer)
				}
			}
		}
		for _, detached := range []bool{true, false} {
			one.SetDetached(detached)
			exchange()
			Expect(two.Hosts()).To(HaveLen(1))
			Expect(two.Hosts()[0].Detached).To(Equal(detached))
			Expect(two.Hosts()[0].Placement().Condition).To(Equal(placement.Usable))
		}
	})
})
