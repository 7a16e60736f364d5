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

// knownKeys holds the registered keys that one daemon knows.
type knownKeys struct {
	mu         sync.Mutex
	keys       map[string]string
	mismatches []string
}

func (k *knownKeys) keyOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[id]
}

func (k *knownKeys) recordMismatch(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mismatches = append(k.mismatches, id)
}

func (k *knownKeys) set(keys map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = maps.Clone(keys)
}

func (k *knownKeys) mismatchedIDs() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.mismatches...)
}

var _ = Describe("Registered keys", func() {
	var (
		ctx                      context.Context
		server, client           *peer.Node
		serverKnows, clientKnows *knownKeys
		keys                     map[string]string
	)
	start := func(id string) (*peer.Node, *knownKeys) {
		known := &knownKeys{}
		registeredKeys := must(peer.NewRegisteredKeys(id))
		registeredKeys.KeyHashOf, registeredKeys.OnMismatch = known.keyOf, known.recordMismatch
		keys[id] = registeredKeys.KeyHash()
		n := listen(peer.Config{RegisteredKeys: registeredKeys, DialTimeout: time.Second})
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
		Expect(serverKnows.mismatchedIDs()).To(BeEmpty())
		Expect(clientKnows.mismatchedIDs()).To(BeEmpty())
	})

	// Guards against a daemon that accepts a peer whose key is not registered or
	// differs from the registered one, and against a refusal that is not reported.
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
		// Guards against a formatting panic in the log in place of the reason.
		Expect(fmt.Sprintf("%v", err)).To(SatisfyAll(ContainSubstring("CRYPTO_ERROR"), Not(ContainSubstring("PANIC"))))
		Eventually(serverKnows.mismatchedIDs).Should(HaveExactElements(refusedByServer))
		Expect(clientKnows.mismatchedIDs()).To(HaveExactElements(refusedByClient))
	},
		Entry("that dials without a registered key", map[string]string{"client.1": ""}, nil, []string{"client.1"}, nil),
		Entry("that dials with another key than the registered one", map[string]string{"client.1": "other"}, nil, []string{"client.1"}, nil),
		Entry("that is dialled without a registered key", nil, map[string]string{"server.1": ""}, nil, []string{"server.1"}),
		Entry("that is dialled with another key than the registered one", nil, map[string]string{"server.1": "other"}, nil, []string{"server.1"}),
	)
})
