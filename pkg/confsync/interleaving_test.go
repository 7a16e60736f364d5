package confsync_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// suiteT is the test that runs the specs, as required by synctest.
var suiteT *testing.T

func TestConfsync(t *testing.T) {
	suiteT = t
	testkit.RunSpecs(t, "confsync")
}

const prefix = "services/"

var errNetwork = errors.New("no reply")

// simulation is a small fleet with randomly drawn steps, message deliveries and
// faults. It runs in a single goroutine.
type simulation struct {
	t          *rapid.T
	newReplica func() *confsync.Replica
	store      *memstore.Store
	// history holds all states of each key at the platform, in order of version.
	history map[string][]platform.Object
	nodes   []*node
	// lostLinks holds the ordered pairs of domains whose calls are lost.
	lostLinks map[[2]string]bool
	// delayedDeliveries holds the deliveries of late and duplicated messages.
	delayedDeliveries []func()
	faultsEnded       bool
	violation         string
}

type node struct {
	sim      *simulation
	peer     confsync.Peer
	replica  *confsync.Replica
	syncer   *confsync.Syncer
	poll     func(context.Context) error
	versions map[string]uint64
}

func newSimulation(t *rapid.T, newReplica func() *confsync.Replica) *simulation {
	sim := &simulation{t: t, newReplica: newReplica, store: memstore.New(), history: map[string][]platform.Object{}, lostLinks: map[[2]string]bool{}}
	for i, domain := range []string{"a", "a", "b", "b", "c"} {
		n := &node{sim: sim, peer: confsync.Peer{Address: fmt.Sprint(i), Domain: domain}}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	return sim
}

// start starts or restarts the node with an empty replica.
func (n *node) start() {
	n.replica, n.versions = n.sim.newReplica(), map[string]uint64{}
	n.replica.OnChange(n.check)
	seed := rapid.Uint64().Draw(n.sim.t, "seed")
	s, err := confsync.New(confsync.Config{
		Self: n.peer, Prefixes: []string{prefix}, Replica: n.replica, Store: staleStore{n.sim.store, n.sim}, Transport: n,
		Peers: n.sim.peers, Relays: n.sim.relays, Rand: rand.New(rand.NewPCG(seed, 1)), Log: zerolog.Nop(),
		Now:   func() time.Time { return time.Unix(0, 0) },
		Spawn: func(task func()) bool { task(); return true },
	})
	if err != nil {
		panic(err)
	}
	n.syncer, n.poll = s, s.NewPoller(prefix)
}

// check detects a version that goes back and a state that the platform never had.
func (n *node) check(o platform.Object) {
	if o.Version <= n.versions[o.Key] {
		n.sim.violation = fmt.Sprintf("node %s: %s went from version %d to %d", n.peer.Address, o.Key, n.versions[o.Key], o.Version)
	}
	n.versions[o.Key] = o.Version
	var expected platform.Object
	for _, state := range n.sim.history[o.Key] {
		if state.Version <= o.Version {
			expected = state
		}
	}
	if expected.Deleted != o.Deleted || string(expected.Value) != string(o.Value) {
		n.sim.violation = fmt.Sprintf("node %s: %s at version %d is %v, was %v", n.peer.Address, o.Key, o.Version, o, expected)
	}
}

// Call implements confsync.Transport with a randomly drawn delivery of each message.
func (n *node) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	for _, target := range n.sim.nodes {
		if target.peer.Address != to {
			continue
		}
		if n.sim.lostLinks[[2]string{n.peer.Domain, target.peer.Domain}] {
			return nil, errNetwork
		}
		deliver := func() ([]byte, error) { return target.syncer.Handle(ctx, kind, body) }
		delivery := 0
		if !n.sim.faultsEnded {
			delivery = rapid.IntRange(0, 9).Draw(n.sim.t, "fate")
		}
		switch delivery {
		case 6: // lost
			return nil, errNetwork
		case 7: // reply lost
			_, _ = deliver()
			return nil, errNetwork
		case 8: // late
			n.sim.delayedDeliveries = append(n.sim.delayedDeliveries, func() { _, _ = deliver() })
			return nil, errNetwork
		case 9: // duplicated, the second one late
			n.sim.delayedDeliveries = append(n.sim.delayedDeliveries, func() { _, _ = deliver() })
		}
		return deliver()
	}
	return nil, errNetwork
}

func (sim *simulation) peers() []confsync.Peer {
	var out []confsync.Peer
	for _, n := range sim.nodes {
		out = append(out, n.peer)
	}
	return out
}

func (sim *simulation) relays(domain string) []confsync.Peer {
	for _, n := range sim.nodes {
		if n.peer.Domain == domain {
			return []confsync.Peer{n.peer}
		}
	}
	return nil
}

// staleStore does not wait in watches and adds old states to their results.
type staleStore struct {
	*memstore.Store
	sim *simulation
}

func (s staleStore) Watch(ctx context.Context, p string, after uint64, _ time.Duration) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.Watch(ctx, p, after, 0)
	if err == nil && !s.sim.faultsEnded && rapid.Bool().Draw(s.sim.t, "old versions") {
		for _, key := range slices.Sorted(maps.Keys(s.sim.history)) {
			objects = append(objects, s.sim.history[key]...)
		}
	}
	return objects, revision, err
}

// write makes one change at the platform.
func (sim *simulation) write() {
	ctx, key := context.Background(), prefix+rapid.SampledFrom([]string{"x", "y"}).Draw(sim.t, "key")
	current, err := sim.store.Get(ctx, key)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return
	case err != nil:
		current, err = sim.store.Create(ctx, key, []byte(fmt.Sprint(len(sim.history[key]))))
	case rapid.IntRange(0, 2).Draw(sim.t, "delete") == 0:
		err = sim.store.Delete(ctx, key, current.Version)
		_, revision, _ := sim.store.List(ctx, prefix)
		current = platform.Object{Key: key, Version: revision, Deleted: true}
	default:
		current, err = sim.store.Update(ctx, key, current.Version, []byte(fmt.Sprint(len(sim.history[key]))))
	}
	if err != nil {
		panic(err)
	}
	sim.history[key] = append(sim.history[key], current)
}

func (sim *simulation) step() {
	ctx := context.Background()
	n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(sim.t, "node")]
	switch rapid.IntRange(0, 9).Draw(sim.t, "step") {
	case 0, 1:
		sim.write()
	case 2, 3:
		_ = n.poll(ctx)
	case 4, 5:
		n.syncer.Tick(ctx)
	case 6:
		if len(sim.delayedDeliveries) > 0 {
			sim.delayedDeliveries[rapid.IntRange(0, len(sim.delayedDeliveries)-1).Draw(sim.t, "late")]()
		}
	case 7:
		n.start()
	case 8:
		if rapid.Bool().Draw(sim.t, "outage") {
			sim.store.SetFaults(memstore.Faults{Down: !sim.store.Faults().Down})
			return
		}
		domains := rapid.SampledFrom([]string{"a", "b", "c"})
		link := [2]string{domains.Draw(sim.t, "from"), domains.Draw(sim.t, "to")}
		sim.lostLinks[link] = !sim.lostLinks[link]
	case 9:
		n.syncer.ReconcileDomain()
	}
}

// converge ends all faults except a platform outage and lets the daemons compare
// digests. It returns the minimum versions that all daemons must then hold.
func (sim *simulation) converge() map[string]uint64 {
	ctx := context.Background()
	sim.faultsEnded, sim.lostLinks = true, nil
	minVersions := map[string]uint64{}
	if !sim.store.Faults().Down {
		_ = sim.nodes[4].poll(ctx)
	}
	for _, n := range sim.nodes {
		for _, o := range n.replica.All() {
			minVersions[o.Key] = max(minVersions[o.Key], o.Version)
		}
	}
	for range 30 {
		for _, n := range sim.nodes {
			n.syncer.Tick(ctx)
		}
	}
	return minVersions
}

// run executes one random history and returns the first violation.
func (sim *simulation) run() string {
	for range rapid.IntRange(5, 60).Draw(sim.t, "steps") {
		sim.step()
		if sim.violation != "" {
			return sim.violation
		}
	}
	minVersions, first := sim.converge(), sim.nodes[0].replica
	objects, _, err := sim.store.List(context.Background(), prefix)
	if err == nil && sim.violation == "" && fmt.Sprint(first.Range(prefix)) != fmt.Sprint(objects) {
		sim.violation = fmt.Sprintf("holds %v, platform %v", first.Range(prefix), objects)
	}
	for _, n := range sim.nodes {
		if sim.violation == "" && fmt.Sprint(n.replica.All()) != fmt.Sprint(first.All()) {
			sim.violation = fmt.Sprintf("node %s holds %v, node 0 %v", n.peer.Address, n.replica.All(), first.All())
		}
	}
	for _, o := range first.All() {
		if sim.violation == "" && o.Version < minVersions[o.Key] {
			sim.violation = fmt.Sprintf("%s is at version %d, was at %d", o.Key, o.Version, minVersions[o.Key])
		}
		delete(minVersions, o.Key)
	}
	if sim.violation == "" && len(minVersions) > 0 {
		sim.violation = fmt.Sprintf("%v are missing", minVersions)
	}
	return sim.violation
}

var _ = Describe("Replicas", func() {
	// Guards against a replica that goes back to an older version, holds a state
	// that the platform never had, or does not converge. Random interleavings of
	// watches, stale watch replies, pushes, comparisons, restarts, partitions and
	// lost, delayed and duplicated messages are tested.
	It("converge and never revert under random interleavings", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			if violation := newSimulation(t, confsync.NewReplica).run(); violation != "" {
				t.Fatal(violation)
			}
		})
	})

	// Verifies that the property can fail.
	It("revert if they keep the object that arrives last", func() {
		violations := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			if newSimulation(t, confsync.NewLastWriteWins).run() != "" {
				violations++
			}
		})
		Expect(violations).To(BeNumerically(">", 0))
	})
})
