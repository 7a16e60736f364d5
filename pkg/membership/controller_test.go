package membership_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"shallotglade/internal/testcerts"
	"shallotglade/pkg/membership"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
)

var _ = Describe("Controller", func() {
	// Guards the integration of View, transport and placement: in a fleet of four
	// real nodes, a closed daemon becomes failed and a leaving one becomes leaving.
	It("detects dead and leaving daemons over the transport", func() {
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(leaks)).To(Succeed()) })
		ca, err := testcerts.NewCA("ca")
		Expect(err).NotTo(HaveOccurred())
		params := membership.DefaultParams()
		for _, d := range []*time.Duration{&params.Period, &params.DirectTimeout, &params.ProbeTimeout, &params.SuspicionTimeout} {
			*d /= 5
		}
		var nodes []*peer.Node
		var controllers []*membership.Controller
		var roster []platform.Member
		for i := range 4 {
			id := fmt.Sprintf("d%d", i)
			cert, key, err := ca.Issue(id)
			Expect(err).NotTo(HaveOccurred())
			n, err := peer.Listen(peer.Config{
				Listen: "127.0.0.1:0", DialTimeout: params.ProbeTimeout,
				Credentials: peer.Credentials{CA: []string{ca.PEM()}, Cert: cert, Key: key},
			})
			Expect(err).NotTo(HaveOccurred())
			self := platform.Member{ID: id + "#1", Role: platform.RoleDaemon, Domain: "a", Address: n.Addr(), PeerAddress: n.Addr()}
			_, err = membership.Start(membership.Config{Self: platform.Member{ID: "other"}, Node: n})
			Expect(err).To(HaveOccurred(), "the certificate does not cover the host id")
			c, err := membership.Start(membership.Config{Self: self, Node: n, Params: params, Seed: 1})
			Expect(err).NotTo(HaveOccurred())
			nodes, controllers, roster = append(nodes, n), append(controllers, c), append(roster, self)
			DeferCleanup(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				c.Close()
				_ = n.Close(ctx)
			})
		}
		for _, c := range controllers {
			c.SetRoster(roster)
		}
		condition := func(observer, subject int) func() placement.Condition {
			return func() placement.Condition {
				hosts, _ := controllers[observer].Hosts()
				for _, h := range hosts {
					if h.ID == roster[subject].ID {
						return h.Placement().Condition
					}
				}
				return placement.Failed + 1
			}
		}
		controllers[1].Leave()
		controllers[3].Close()
		Expect(nodes[3].Close(context.Background())).To(Succeed())
		for _, observer := range []int{0, 2} {
			Eventually(condition(observer, 1), 30*time.Second).Should(Equal(placement.Leaving))
			Eventually(condition(observer, 3), 30*time.Second).Should(Equal(placement.Failed))
		}
		Eventually(condition(0, 2), 30*time.Second).Should(Equal(placement.Usable))
	})
})

// FuzzDecode guards against messages from a faulty daemon that exceed the bounds
// or make the view panic.
func FuzzDecode(f *testing.F) {
	for _, m := range []membership.Message{
		{Kind: membership.Ping, From: "a", Contact: &membership.Contact{Domain: "d", PeerAddress: "127.0.0.1:1"}},
		{Kind: membership.Ack, Seq: 1, From: "b", Target: 7, Entries: []membership.Entry{{Key: 7, State: membership.Dead, Incarnation: 3}}},
		{Kind: membership.PingReq, From: "b", Target: membership.KeyOf("a")},
	} {
		data, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := membership.Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(0, 0)
		view := membership.NewView(platform.Member{ID: "self"}, now, membership.DefaultParams())
		view.SetRoster(now, []platform.Member{{ID: "a", Role: platform.RoleDaemon}, {ID: "b", Role: platform.RoleDaemon}})
		for _, out := range view.Receive(now, m) {
			if len(out.Entries) > membership.MaxEntries {
				t.Fatalf("%d entries", len(out.Entries))
			}
		}
		first, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := membership.Decode(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := again.Encode(); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%x became %x: %v", first, second, err)
		}
	})
}
