package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"shallotglade/pkg/peer"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
)

// callTimeout is the time in which a running daemon answers a small call. It equals
// the timeout of a comparison in confsync.
const callTimeout = 300 * time.Millisecond

// Guards against requests, pushes and reports that are sent over a dead connection to the previous process of a
// restarted daemon, although its new registration entry is known.
func TestCallToRestartedDaemonUsesNewConnection(t *testing.T) {
	hosts := []string{"fes-1", "fes-2"}
	f := newRestartedFleet(t, hosts)
	caller := f.start(t, hosts[0])
	address := f.sockets[hosts[1]].LocalAddr().String()
	f.g.Expect(f.sockets[hosts[1]].Close()).To(Succeed())
	var killed atomic.Bool
	startNode := func(drop func(from, to string) bool) *peer.Node {
		registeredKeys, err := peer.NewRegisteredKeys(registration.NewID(hosts[1]))
		f.g.Expect(err).NotTo(HaveOccurred())
		registeredKeys.KeyHashOf = func(string) string { return caller.self.PeerKey }
		node, err := peer.Listen(peer.Config{Listen: address, RegisteredKeys: registeredKeys, Drop: drop})
		f.g.Expect(err).NotTo(HaveOccurred())
		node.Handle("echo", func(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) { return body, nil })
		value, err := json.Marshal(platform.Member{
			ID: node.ID(), Host: hosts[1], Role: platform.RoleDaemon, Address: address, PeerAddress: address,
			Domain: restartDomain, State: platform.Live, PeerKey: registeredKeys.KeyHash(),
		})
		f.g.Expect(err).NotTo(HaveOccurred())
		previous, err := f.store.Get(t.Context(), registration.Key(hosts[1]))
		f.g.Expect(err).NotTo(HaveOccurred())
		entry, err := f.store.Update(t.Context(), previous.Key, previous.Version, value)
		f.g.Expect(err).NotTo(HaveOccurred())
		caller.replica.Apply(entry)
		return node
	}
	stopNode := func(node *peer.Node) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = node.Close(ctx) // Calls in flight may be aborted.
	}
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := caller.node.Call(ctx, address, "echo", nil)
		return err
	}
	oldNode := startNode(func(string, string) bool { return killed.Load() })
	f.g.Eventually(call, propagationTarget).WithArguments(callTimeout).Should(Succeed(), f.logged)
	killed.Store(true)
	stopNode(oldNode)
	newNode := startNode(nil)
	t.Cleanup(func() { stopNode(newNode) })
	f.g.Expect(call(callTimeout)).To(Succeed(), f.logged)
}
