package confsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	oneWayLatency = 1500 * time.Microsecond
	// changeBound is the time within which every daemon must hold an accepted change.
	changeBound = 5 * time.Second
)

var fleetDomains = []string{"tetouan", "rabat", "fes"}

// defaultSize is the number of daemons of a fleet.
const defaultSize = 36

// fleet is a set of daemons in 3 domains, with 2 relays in each, under a fake clock.
type fleet struct {
	started time.Time
	store   *memstore.Store
	mu      sync.Mutex
	daemons []*daemon
	// blocked reports whether calls from one daemon to another are lost;
	// replyLost reports whether only their replies are lost.
	blocked, replyLost func(from, to int) bool
	// domainWithoutPlatform is a domain that cannot reach the platform.
	domainWithoutPlatform string
	// domainWithoutReads is a domain that gets lists and replies to watches only.
	domainWithoutReads string
	// staleConnections holds pairs of caller and target whose next call uses a stale
	// connection to an earlier process of the target, and is not answered.
	staleConnections map[[2]int]bool
	// configure changes the configuration of a starting daemon.
	configure func(*daemon, *confsync.Config)
}

type daemon struct {
	f       *fleet
	number  int
	peer    confsync.Peer
	replica *confsync.Replica
	syncer  *confsync.Syncer
	stop    context.CancelFunc
	done    chan struct{}
	// reads counts the reads of single objects.
	reads atomic.Int32
}

func newFleet() *fleet { return newFleetWith(nil) }

// newFleetWith returns a fleet in which configure changes the configuration of
// each daemon.
func newFleetWith(configure func(*daemon, *confsync.Config)) *fleet {
	return newFleetOfSize(defaultSize, configure)
}

func newFleetOfSize(size int, configure func(*daemon, *confsync.Config)) *fleet {
	never := func(int, int) bool { return false }
	f := &fleet{started: time.Now(), store: memstore.New(), daemons: make([]*daemon, size), blocked: never, replyLost: never, configure: configure}
	f.launchAll()
	return f
}

// bootTime returns the time since the fake clock started, as the same clock for all daemons.
func (f *fleet) bootTime() time.Duration { return time.Since(f.started) }

// update changes the state of the fleet under its lock.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) launchAll() {
	for i := range f.daemons {
		d := f.launch(i)
		f.update(func() { f.daemons[i] = d })
	}
}

// launch starts daemon i with an empty replica.
func (f *fleet) launch(i int) *daemon {
	d := &daemon{f: f, number: i, replica: confsync.NewReplica(), done: make(chan struct{})}
	d.peer = confsync.Peer{Address: fmt.Sprint(i), Domain: fleetDomains[i%3]}
	config := confsync.Config{
		Self: d.peer, Prefixes: []string{"services/", "ejections/"}, Replica: d.replica,
		Store: domainStore{f.store, d}, Transport: d, Peers: f.peers, Relays: f.relays,
		Rand: rand.New(rand.NewPCG(testkit.Seed, uint64(i))), Log: zerolog.Nop(), BootTime: f.bootTime,
	}
	if f.configure != nil {
		f.configure(d, &config)
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
	f.update(func() { f.daemons[i] = d })
}

// kill stops a daemon; membership still lists it.
func (f *fleet) kill(i int) {
	d := f.daemons[i]
	f.update(func() { f.daemons[i] = nil })
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
	time.Sleep(oneWayLatency)
	d.f.mu.Lock()
	target, blocked, replyLost := d.f.daemons[i], d.f.blocked, d.f.replyLost
	pair := [2]int{d.number, i}
	staleConnection := d.f.staleConnections[pair]
	delete(d.f.staleConnections, pair)
	d.f.mu.Unlock()
	if target == nil || staleConnection || blocked(d.number, i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := target.syncer.Handle(ctx, kind, slices.Clone(body))
	if replyLost(d.number, i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(oneWayLatency)
	return reply, err
}

// domainStore is one daemon's access to the platform.
type domainStore struct {
	*memstore.Store
	d *daemon
}

func (s domainStore) cutOff() bool {
	s.d.f.mu.Lock()
	defer s.d.f.mu.Unlock()
	return s.d.peer.Domain == s.d.f.domainWithoutPlatform
}

func (s domainStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.d.reads.Add(1)
	s.d.f.mu.Lock()
	refused := s.d.peer.Domain == s.d.f.domainWithoutReads
	s.d.f.mu.Unlock()
	if refused || s.cutOff() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
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

// change makes one change and returns an error unless every live daemon holds it
// in time.
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
	time.Sleep(changeBound)
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

// runWithFakeClock runs a scenario in a new fleet under a fake clock and returns
// its error.
func runWithFakeClock(scenario func(*fleet) error) error {
	var err error
	synctest.Test(suiteT, func(*testing.T) {
		f := newFleet()
		time.Sleep(changeBound) // the fleet starts
		err = scenario(f)
		f.killAll()
	})
	return err
}

func noFault(*fleet) {}

// inFes reports whether daemon i is in the domain fes.
func inFes(i int) bool { return fleetDomains[i%3] == "fes" }

var _ = Describe("Fleet", func() {
	// Guards against a change that does not reach every daemon within 5 s.
	DescribeTable("applies each change everywhere within 5 s",
		func(injectFaults, prepare func(*fleet)) {
			Expect(runWithFakeClock(func(f *fleet) error {
				for _, d := range f.daemons {
					if !d.syncer.Ready() {
						return errors.New("a daemon is not ready")
					}
				}
				if err := f.change("services/a"); err != nil {
					return err
				}
				f.update(func() { injectFaults(f) })
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
		Entry("without faults", noFault, func(*fleet) {}),
		Entry("with one relay of each domain killed", noFault, func(f *fleet) { f.kill(0); f.kill(1); f.kill(2) }),
		Entry("with both relays of a domain killed", noFault, func(f *fleet) { f.kill(0); f.kill(3) }),
		Entry("when a domain without platform cannot call others", func(f *fleet) {
			f.domainWithoutPlatform = "fes"
			f.blocked = func(from, to int) bool { return inFes(from) && !inFes(to) }
		}, noFault),
		Entry("when a domain without platform cannot be called", func(f *fleet) {
			f.domainWithoutPlatform = "fes"
			f.blocked = func(from, to int) bool { return !inFes(from) && inFes(to) }
		}, noFault),
		Entry("when the replies of a domain without platform are lost", func(f *fleet) {
			f.domainWithoutPlatform = "fes"
			f.blocked = func(from, to int) bool { return inFes(from) && !inFes(to) }
			f.replyLost = func(from, to int) bool { return !inFes(from) && inFes(to) }
		}, noFault),
		Entry("after a platform outage of ten minutes", noFault, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(10 * time.Minute)
			f.store.SetFaults(memstore.Faults{})
		}),
		Entry("after a rolling restart of all daemons", noFault, func(f *fleet) {
			for i := range f.daemons {
				f.replace(i)
				time.Sleep(time.Second)
			}
		}))

	// Guards against a daemon that reports ready with only the objects of its own
	// domain, and against one that never becomes ready without the platform.
	It("starts a daemon with the newest versions while the platform is down", func() {
		const restarted = 35 // a daemon in fes
		Expect(runWithFakeClock(func(f *fleet) error {
			f.update(func() {
				f.domainWithoutPlatform = "fes"
				f.blocked = func(from, to int) bool { return from != restarted && to != restarted && inFes(from) != inFes(to) }
			})
			for round := range 8 {
				f.kill(restarted)
				o, err := f.store.Create(context.Background(), fmt.Sprint("services/", round), []byte("v"))
				if err != nil {
					return err
				}
				time.Sleep(time.Second)
				f.store.SetFaults(memstore.Faults{Down: true})
				d := f.launch(restarted)
				f.update(func() { f.daemons[restarted] = d })
				<-d.syncer.ReadyC()
				if held, _ := d.replica.Get(o.Key); held.Version != o.Version {
					return errors.Newf("round %d: ready with version %d", round, held.Version)
				}
				f.store.SetFaults(memstore.Faults{})
			}
			return nil
		})).To(Succeed())
	})

	// Guards against daemons that report ready with empty replicas when none of
	// them has reached the platform.
	It("is not ready before a daemon has reached the platform", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
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
			time.Sleep(changeBound)
			for i, d := range f.daemons {
				if !d.syncer.Ready() {
					return errors.Newf("daemon %d is not ready", i)
				}
			}
			return nil
		})).To(Succeed())
	})
})
