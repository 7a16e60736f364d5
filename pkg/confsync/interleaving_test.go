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

// suite is the test that runs the specs; synctest needs it.
var suite *testing.T

func TestConfsync(t *testing.T) {
	suite = t
	testkit.RunSpecs(t, "confsync")
}

const prefix = "services/"

var errNetwork = errors.New("no reply")

// world is a small fleet whose every step, message and fault is drawn. All of
// it runs in one goroutine.
type world struct {
	t          *rapid.T
	newReplica func() *confsync.Replica
	store      *memstore.Store
	// truth holds every state that the platform had, by key in order of version.
	truth   map[string][]platform.Object
	nodes   []*node
	cut     map[[2]string]bool
	late    []func()
	healed  bool
	problem string
}

type node struct {
	w       *world
	peer    confsync.Peer
	replica *confsync.Replica
	syncer  *confsync.Syncer
	poll    func(context.Context) error
	seen    map[string]uint64
}

func newWorld(t *rapid.T, newReplica func() *confsync.Replica) *world {
	w := &world{t: t, newReplica: newReplica, store: memstore.New(), truth: map[string][]platform.Object{}, cut: map[[2]string]bool{}}
	for i, domain := range []string{"a", "a", "b", "b", "c"} {
		n := &node{w: w, peer: confsync.Peer{Address: fmt.Sprint(i), Domain: domain}}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// start begins a new life of the node, with nothing held.
func (n *node) start() {
	n.replica, n.seen = n.w.newReplica(), map[string]uint64{}
	n.replica.OnChange(n.check)
	seed := rapid.Uint64().Draw(n.w.t, "seed")
	s, err := confsync.New(confsync.Config{
		Self: n.peer, Prefixes: []string{prefix}, Replica: n.replica, Store: staleStore{n.w.store, n.w}, Transport: n,
		Peers: n.w.peers, Relays: n.w.relays, Rand: rand.New(rand.NewPCG(seed, 1)), Log: zerolog.Nop(),
		Now:   func() time.Time { return time.Unix(0, 0) },
		Spawn: func(task func()) bool { task(); return true },
	})
	if err != nil {
		panic(err)
	}
	n.syncer, n.poll = s, s.NewPoller(prefix)
}

// check notes a version that goes back and a state that the platform never had.
func (n *node) check(o platform.Object) {
	if o.Version <= n.seen[o.Key] {
		n.w.problem = fmt.Sprintf("node %s: %s went from version %d to %d", n.peer.Address, o.Key, n.seen[o.Key], o.Version)
	}
	n.seen[o.Key] = o.Version
	var at platform.Object
	for _, state := range n.w.truth[o.Key] {
		if state.Version <= o.Version {
			at = state
		}
	}
	if at.Deleted != o.Deleted || string(at.Value) != string(o.Value) {
		n.w.problem = fmt.Sprintf("node %s: %s at version %d is %v, was %v", n.peer.Address, o.Key, o.Version, o, at)
	}
}

// Call implements confsync.Transport with a drawn fate for each message.
func (n *node) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	for _, target := range n.w.nodes {
		if target.peer.Address != to {
			continue
		}
		if n.w.cut[[2]string{n.peer.Domain, target.peer.Domain}] {
			return nil, errNetwork
		}
		deliver := func() ([]byte, error) { return target.syncer.Handle(ctx, kind, body) }
		fate := 0
		if !n.w.healed {
			fate = rapid.IntRange(0, 9).Draw(n.w.t, "fate")
		}
		switch fate {
		case 6: // lost
			return nil, errNetwork
		case 7: // reply lost
			_, _ = deliver()
			return nil, errNetwork
		case 8: // late
			n.w.late = append(n.w.late, func() { _, _ = deliver() })
			return nil, errNetwork
		case 9: // duplicated, the second one late
			n.w.late = append(n.w.late, func() { _, _ = deliver() })
		}
		return deliver()
	}
	return nil, errNetwork
}

func (w *world) peers() []confsync.Peer {
	var out []confsync.Peer
	for _, n := range w.nodes {
		out = append(out, n.peer)
	}
	return out
}

func (w *world) relays(domain string) []confsync.Peer {
	for _, n := range w.nodes {
		if n.peer.Domain == domain {
			return []confsync.Peer{n.peer}
		}
	}
	return nil
}

// staleStore never waits and adds old states to what a watch returns.
type staleStore struct {
	*memstore.Store
	w *world
}

func (s staleStore) Watch(ctx context.Context, p string, after uint64, _ time.Duration) ([]platform.Object, uint64, error) {
	objects, revision, err := s.Store.Watch(ctx, p, after, 0)
	if err == nil && !s.w.healed && rapid.Bool().Draw(s.w.t, "old versions") {
		for _, key := range slices.Sorted(maps.Keys(s.w.truth)) {
			objects = append(objects, s.w.truth[key]...)
		}
	}
	return objects, revision, err
}

// write makes one change at the platform.
func (w *world) write() {
	ctx, key := context.Background(), prefix+rapid.SampledFrom([]string{"x", "y"}).Draw(w.t, "key")
	held, err := w.store.Get(ctx, key)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return
	case err != nil:
		held, err = w.store.Create(ctx, key, []byte(fmt.Sprint(len(w.truth[key]))))
	case rapid.IntRange(0, 2).Draw(w.t, "delete") == 0:
		err = w.store.Delete(ctx, key, held.Version)
		_, revision, _ := w.store.List(ctx, prefix)
		held = platform.Object{Key: key, Version: revision, Deleted: true}
	default:
		held, err = w.store.Update(ctx, key, held.Version, []byte(fmt.Sprint(len(w.truth[key]))))
	}
	if err != nil {
		panic(err)
	}
	w.truth[key] = append(w.truth[key], held)
}

func (w *world) step() {
	ctx := context.Background()
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1:
		w.write()
	case 2, 3:
		_ = n.poll(ctx)
	case 4, 5:
		n.syncer.Tick(ctx)
	case 6:
		if len(w.late) > 0 {
			w.late[rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")]()
		}
	case 7:
		n.start()
	case 8:
		if rapid.Bool().Draw(w.t, "outage") {
			w.store.SetFaults(memstore.Faults{Down: !w.store.Faults().Down})
			return
		}
		domains := rapid.SampledFrom([]string{"a", "b", "c"})
		link := [2]string{domains.Draw(w.t, "from"), domains.Draw(w.t, "to")}
		w.cut[link] = !w.cut[link]
	case 9:
		n.syncer.ReconcileDomain()
	}
}

// settle mends everything but perhaps the platform, and lets the daemons
// compare. It returns the least versions that all must hold then.
func (w *world) settle() map[string]uint64 {
	ctx := context.Background()
	w.healed, w.cut = true, nil
	least := map[string]uint64{}
	if !w.store.Faults().Down {
		_ = w.nodes[4].poll(ctx)
	}
	for _, n := range w.nodes {
		for _, o := range n.replica.All() {
			least[o.Key] = max(least[o.Key], o.Version)
		}
	}
	for range 30 {
		for _, n := range w.nodes {
			n.syncer.Tick(ctx)
		}
	}
	return least
}

// run draws one history and returns what went wrong.
func (w *world) run() string {
	for range rapid.IntRange(5, 60).Draw(w.t, "steps") {
		w.step()
		if w.problem != "" {
			return w.problem
		}
	}
	least, first := w.settle(), w.nodes[0].replica
	objects, _, err := w.store.List(context.Background(), prefix)
	if err == nil && w.problem == "" && fmt.Sprint(first.Range(prefix)) != fmt.Sprint(objects) {
		w.problem = fmt.Sprintf("holds %v, platform %v", first.Range(prefix), objects)
	}
	for _, n := range w.nodes {
		if w.problem == "" && fmt.Sprint(n.replica.All()) != fmt.Sprint(first.All()) {
			w.problem = fmt.Sprintf("node %s holds %v, node 0 %v", n.peer.Address, n.replica.All(), first.All())
		}
	}
	for _, o := range first.All() {
		if w.problem == "" && o.Version < least[o.Key] {
			w.problem = fmt.Sprintf("%s is at version %d, was at %d", o.Key, o.Version, least[o.Key])
		}
		delete(least, o.Key)
	}
	if w.problem == "" && len(least) > 0 {
		w.problem = fmt.Sprintf("%v are missing", least)
	}
	return w.problem
}

var _ = Describe("Copies of platform objects", func() {
	// Guards against a copy that goes back a version, holds a state that the
	// platform never had, or stays behind, under every order of watches, old
	// watch replies, pushes, comparisons, restarts, cuts, and lost, late and
	// duplicated messages.
	It("never go back and converge under every interleaving", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			if problem := newWorld(t, confsync.NewReplica).run(); problem != "" {
				t.Fatal(problem)
			}
		})
	})

	// Guards against a property that cannot fail.
	It("go back with the naive replica that keeps what arrives last", func() {
		problems := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			if newWorld(t, confsync.NewLastWriteWins).run() != "" {
				problems++
			}
		})
		Expect(problems).To(BeNumerically(">", 0))
	})
})
