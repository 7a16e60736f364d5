package peer_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/peer"
)

// entries are the registered keys that one daemon knows.
type entries struct {
	mu         sync.Mutex
	keys       map[string]string
	mismatches []string
}

func (e *entries) keyOf(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keys[id]
}

func (e *entries) mismatch(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mismatches = append(e.mismatches, id)
}

func (e *entries) set(keys map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys = maps.Clone(keys)
}

func (e *entries) refused() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.mismatches...)
}

var _ = Describe("Registered keys", func() {
	var (
		ctx                      context.Context
		server, client           *peer.Node
		serverKnows, clientKnows *entries
		keys                     map[string]string
	)
	start := func(id string) (*peer.Node, *entries) {
		known := &entries{}
		registered := must(peer.NewRegistered(id))
		registered.KeyOf, registered.OnMismatch = known.keyOf, known.mismatch
		keys[id] = registered.KeyHash()
		n := listen(peer.Config{Registered: registered, DialTimeout: time.Second})
		n.Handle("echo", echo)
		return n, known
	}
	BeforeEach(func() {
		limited, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		ctx, keys = limited, map[string]string{}
		server, serverKnows = start("server.1")
		client, clientKnows = start("client.1")
	})

	// Guards against daemons that refuse each other although both keys are registered.
	It("connect daemons that know each other's key", func() {
		serverKnows.set(keys)
		clientKnows.set(keys)
		Expect(client.Call(ctx, server.Addr(), "echo", []byte("hello"))).To(Equal([]byte("client.1:hello")))
		Expect(serverKnows.refused()).To(BeEmpty())
		Expect(clientKnows.refused()).To(BeEmpty())
	})

	// Guards against a daemon that accepts another one without or with another
	// entry, and does not report whom it refused.
	DescribeTable("refuse and report a peer", func(serverHolds, clientHolds map[string]string, refusedByServer, refusedByClient []string) {
		known := func(held map[string]string) map[string]string {
			out := maps.Clone(keys)
			maps.Copy(out, held)
			return out
		}
		serverKnows.set(known(serverHolds))
		clientKnows.set(known(clientHolds))
		_, err := client.Call(ctx, server.Addr(), "echo", nil)
		Expect(errors.Is(err, peer.ErrNotSent)).To(BeTrue(), "%v", err)
		// Guards against a log line that shows a failure to format in place of the reason.
		Expect(fmt.Sprintf("%v", err)).To(SatisfyAll(ContainSubstring("CRYPTO_ERROR"), Not(ContainSubstring("PANIC"))))
		Eventually(serverKnows.refused).Should(HaveExactElements(refusedByServer))
		Expect(clientKnows.refused()).To(HaveExactElements(refusedByClient))
	},
		Entry("that dials and has no entry", map[string]string{"client.1": ""}, nil, []string{"client.1"}, nil),
		Entry("that dials and has the entry of another key", map[string]string{"client.1": "other"}, nil, []string{"client.1"}, nil),
		Entry("that is dialled and has no entry", nil, map[string]string{"server.1": ""}, nil, []string{"server.1"}),
		Entry("that is dialled and has the entry of another key", nil, map[string]string{"server.1": "other"}, nil, []string{"server.1"}),
	)
})
