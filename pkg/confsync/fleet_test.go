package confsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const (
	oneWay = 1500 * time.Microsecond
	// inForce is how soon an accepted change must be everywhere.
	inForce = 5 * time.Second
)

var fleetDomains = []string{"tetouan", "rabat", "fes"}

// defaultSize is the number of daemons of a fleet.
const defaultSize = 36

// fleet is some daemons, 2 relays in each of 3 domains, under a fake clock.
type fleet struct {
	store   *memstore.Store
	mu      sync.Mutex
	daemons []*daemon
	// blocked says that a call from one daemon to another does not arrive;
	// mute says that it arrives and the reply does not.
	blocked, mute func(from, to int) bool
	// noPlatform is a domain that does not reach the platform.
	noPlatform string
	// stale holds pairs of caller and target whose next call goes to a connection that
	// the target's former process has left behind, and is not answered.
	stale map[[2]int]bool
	// launchWith changes the configuration of a daemon that starts.
	launchWith func(*daemon, *confsync.Config)
}

type daemon struct {
	f       *fleet
	number  int
	peer    confsync.Peer
	replica *confsync.Replica
	syncer  *confsync.Syncer
	stop    context.CancelFunc
	done    chan struct{}
}

func newFleet() *fleet { return newFleetWith(nil) }

// newFleetWith returns a fleet whose daemons start with a changed configuration.
func newFleetWith(launchWith func(*daemon, *confsync.Config)) *fleet {
	return newFleetOf(defaultSize, launchWith)
}

func newFleetOf(size int, launchWith func(*daemon, *confsync.Config)) *fleet {
	never := func(int, int) bool { return false }
	f := &fleet{store: memstore.New(), daemons: make([]*daemon, size), blocked: never, mute: never, launchWith: launchWith}
	f.launchAll()
	return f
}

// set changes faults of the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) launchAll() {
	for i := range f.daemons {
		d := f.launch(i)
		f.set(func() { f.daemons[i] = d })
	}
}

// launch starts the daemon with the number, with nothing held.
func (f *fleet) launch(i int) *daemon {
	d := &daemon{f: f, number: i, replica: confsync.NewReplica(), done: make(chan struct{})}
	d.peer = confsync.Peer{Address: fmt.Sprint(i), Domain: fleetDomains[i%3]}
	config := confsync.Config{
		Self: d.peer, Prefixes: []string{"services/", "ejections/"}, Replica: d.replica,
		Store: domainStore{f.store, d}, Transport: d, Peers: f.peers, Relays: f.relays,
		Rand: rand.New(rand.NewPCG(testkit.Seed, uint64(i))), Log: zerolog.Nop(),
	}
	if f.launchWith != nil {
		f.launchWith(d, &config)
	}
	var err error
	if d.syncer, err = confsync.New(config); err != nil {
		panic(err)
	}
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	go func() {
		defer close(d.done)
		d.syncer.Run(ctx)
	}()
	return d
}

// replace kills a daemon and starts it again.
func (f *fleet) replace(i int) {
	f.kill(i)
	d := f.launch(i)
	f.set(func() { f.daemons[i] = d })
}

// kill stops a daemon; membership goes on listing it.
func (f *fleet) kill(i int) {
	d := f.daemons[i]
	f.set(func() { f.daemons[i] = nil })
	d.stop()
	<-d.done
}

// killAll stops all daemons.
func (f *fleet) killAll() {
	for i, d := range f.daemons {
		if d != nil {
			f.kill(i)
		}
	}
}

func (f *fleet) peers() []confsync.Peer {
	out := make([]confsync.Peer, len(f.daemons))
	for i := range out {
		out[i] = confsync.Peer{Address: fmt.Sprint(i), Domain: fleetDomains[i%3]}
	}
	return out
}

func (f *fleet) relays(domain string) []confsync.Peer {
	return slices.DeleteFunc(f.peers()[:6], func(p confsync.Peer) bool { return p.Domain != domain })
}

// Call implements confsync.Transport.
func (d *daemon) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	var i int
	_, _ = fmt.Sscan(to, &i)
	time.Sleep(oneWay)
	d.f.mu.Lock()
	target, blocked, mute := d.f.daemons[i], d.f.blocked, d.f.mute
	pair := [2]int{d.number, i}
	stale := d.f.stale[pair]
	delete(d.f.stale, pair)
	d.f.mu.Unlock()
	if target == nil || stale || blocked(d.number, i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := target.syncer.Handle(ctx, kind, slices.Clone(body))
	if mute(d.number, i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(oneWay)
	return reply, err
}

// domainStore is the platform as one daemon reaches it.
type domainStore struct {
	*memstore.Store
	d *daemon
}

func (s domainStore) cutOff() bool {
	s.d.f.mu.Lock()
	defer s.d.f.mu.Unlock()
	return s.d.peer.Domain == s.d.f.noPlatform
}

func (s domainStore) List(ctx context.Context, p string) ([]platform.Object, uint64, error) {
	if s.cutOff() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, p)
}

func (s domainStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if s.cutOff() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, p, after, wait)
}

// change makes one change and returns an error unless it is in force at every
// live daemon in time.
func (f *fleet) change(key string) error {
	ctx := context.Background()
	o, err := f.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		o, err = f.store.Create(ctx, key, []byte("first"))
	} else if err == nil {
		o, err = f.store.Update(ctx, key, o.Version, []byte("next"))
	}
	if err != nil {
		return err
	}
	time.Sleep(inForce)
	return f.check(o)
}

func (f *fleet) check(o platform.Object) error {
	for i, d := range f.daemons {
		if d == nil {
			continue
		}
		if held, _ := d.replica.Get(o.Key); held.Version != o.Version {
			return errors.Newf("daemon %d holds version %d of %s, not %d", i, held.Version, o.Key, o.Version)
		}
	}
	return nil
}

// virtually runs a scenario under the fake clock and returns its error.
func virtually(scenario func(*fleet) error) error {
	var err error
	synctest.Test(suite, func(*testing.T) {
		f := newFleet()
		time.Sleep(inForce) // the fleet starts
		err = scenario(f)
		f.killAll()
	})
	return err
}

func nothing(*fleet) {}

// inFes says whether the daemon with the number is in the domain fes.
func inFes(i int) bool { return fleetDomains[i%3] == "fes" }

var _ = Describe("Fleet", func() {
	// Guards against a change that is not in force everywhere within 5 s.
	DescribeTable("has each change in force within 5 s",
		func(cut, prepare func(*fleet)) {
			Expect(virtually(func(f *fleet) error {
				for _, d := range f.daemons {
					if !d.syncer.Ready() {
						return errors.New("a daemon is not ready")
					}
				}
				if err := f.change("services/a"); err != nil {
					return err
				}
				f.set(func() { cut(f) })
				prepare(f)
				for i := range 20 {
					if err := f.change(fmt.Sprintf("services/%c", 'a'+i%3)); err != nil {
						return err
					}
					time.Sleep(time.Duration(i%5) * time.Second)
				}
				return nil
			})).To(Succeed())
		},
		Entry("all well", nothing, func(*fleet) {}),
		Entry("one relay of each domain killed", nothing, func(f *fleet) { f.kill(0); f.kill(1); f.kill(2) }),
		Entry("both relays of a domain killed", nothing, func(f *fleet) { f.kill(0); f.kill(3) }),
		Entry("a domain without platform cannot call others", func(f *fleet) {
			f.noPlatform = "fes"
			f.blocked = func(from, to int) bool { return inFes(from) && !inFes(to) }
		}, nothing),
		Entry("a domain without platform cannot be called", func(f *fleet) {
			f.noPlatform = "fes"
			f.blocked = func(from, to int) bool { return !inFes(from) && inFes(to) }
		}, nothing),
		Entry("a domain without platform gets calls and its replies are lost", func(f *fleet) {
			f.noPlatform = "fes"
			f.blocked = func(from, to int) bool { return inFes(from) && !inFes(to) }
			f.mute = func(from, to int) bool { return !inFes(from) && inFes(to) }
		}, nothing),
		Entry("an outage of ten minutes has passed", nothing, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(10 * time.Minute)
			f.store.SetFaults(memstore.Faults{})
		}),
		Entry("every daemon was replaced in turn", nothing, func(f *fleet) {
			for i := range f.daemons {
				f.replace(i)
				time.Sleep(time.Second)
			}
		}))

	// Guards against a daemon that reports ready with what only its own domain
	// holds, and against one that never becomes ready without the platform.
	It("starts a daemon with the newest versions while the platform is down", func() {
		const late = 35 // a daemon in fes
		Expect(virtually(func(f *fleet) error {
			f.set(func() {
				f.noPlatform = "fes"
				f.blocked = func(from, to int) bool { return from != late && to != late && inFes(from) != inFes(to) }
			})
			for round := range 8 {
				f.kill(late)
				o, err := f.store.Create(context.Background(), fmt.Sprint("services/", round), []byte("v"))
				if err != nil {
					return err
				}
				time.Sleep(time.Second)
				f.store.SetFaults(memstore.Faults{Down: true})
				d := f.launch(late)
				f.set(func() { f.daemons[late] = d })
				<-d.syncer.ReadyC()
				if held, _ := d.replica.Get(o.Key); held.Version != o.Version {
					return errors.Newf("round %d: ready with version %d", round, held.Version)
				}
				f.store.SetFaults(memstore.Faults{})
			}
			return nil
		})).To(Succeed())
	})

	// Guards against a fleet that reports ready with nothing when none of its
	// daemons ever reached the platform.
	It("is not ready before anyone reached the platform", func() {
		Expect(virtually(func(f *fleet) error {
			f.store.SetFaults(memstore.Faults{Down: true})
			for i := range f.daemons {
				f.kill(i)
			}
			f.launchAll()
			time.Sleep(time.Minute)
			if f.daemons[7].syncer.Ready() {
				return errors.New("ready without the platform")
			}
			f.store.SetFaults(memstore.Faults{})
			time.Sleep(inForce)
			for i, d := range f.daemons {
				if !d.syncer.Ready() {
					return errors.Newf("daemon %d is not ready", i)
				}
			}
			return nil
		})).To(Succeed())
	})
})
