package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const (
	oneWayDelay     = 1500 * time.Microsecond
	documentBytes   = 4 << 10
	relaysPerDomain = 2
	membershipDelay = 3 * time.Second
)

var (
	prefixes   = []string{"services/", "ejections/"}
	errNoReply = errors.New("no reply")
)

// fleet runs a number of daemons in one process.
type fleet struct {
	store           *memstore.Store
	naive           bool
	domains         int
	prefixes        []string
	relaysPerDomain int
	// reduceTraffic is confsync.Config.ReduceTraffic.
	reduceTraffic bool
	daemons       []*daemon
	// peers is the membership list. A killed daemon is removed after
	// membershipDelay.
	peers     atomic.Pointer[[]confsync.Peer]
	cutDomain atomic.Int32 // number of the domain that reaches neither other domains nor the platform; -1 for none
	// recorder, if set, records the versions that daemons receive.
	recorder atomic.Pointer[recorder]
}

// daemon is one daemon of the fleet. Its counters include the requests that it
// sent and the replies that it returned.
type daemon struct {
	fleet   *fleet
	number  int
	domain  int
	mu      sync.Mutex
	alive   bool
	replica *confsync.Replica
	syncer  *confsync.Syncer
	stop    context.CancelFunc

	messages, bytes atomic.Uint64
	// byKind counts the bytes of requests and replies per kind of message.
	byKind [kindCount]atomic.Uint64
	// crossDomain counts the bytes of both directions that crossed failure domains.
	crossDomain atomic.Uint64
}

// kindCount is at least the number of kinds of confsync.
const kindCount = 8

func kindIndex(kind string) int { return slices.Index(confsync.Kinds(), kind) }

func newFleet(n, domains, docs int, naive bool) *fleet {
	f := &fleet{store: memstore.New(), naive: naive, domains: domains, prefixes: prefixes, relaysPerDomain: relaysPerDomain}
	f.cutDomain.Store(-1)
	for i := range docs {
		if _, err := f.store.Create(context.Background(), docKey(i), make([]byte, documentBytes)); err != nil {
			panic(err)
		}
	}
	f.startAll(n)
	return f
}

func (f *fleet) startAll(n int) {
	peers := make([]confsync.Peer, n)
	for i := range n {
		d := &daemon{fleet: f, number: i, domain: i % f.domains}
		peers[i] = d.peer()
		f.daemons = append(f.daemons, d)
	}
	f.peers.Store(&peers)
	for _, d := range f.daemons {
		d.start()
	}
}

func docKey(i int) string { return fmt.Sprintf("services/service-%03d", i) }

func (d *daemon) peer() confsync.Peer {
	return confsync.Peer{Address: fmt.Sprintf("10.0.%d.%d:7000", d.number/250, d.number%250), Domain: fmt.Sprint(d.domain)}
}

// start starts or restarts the daemon with an empty replica.
func (d *daemon) start() {
	replica := confsync.NewReplica()
	replica.OnChange(func(o platform.Object) {
		if r := d.fleet.recorder.Load(); r != nil {
			r.record(d.number, o)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	var syncer *confsync.Syncer
	if d.fleet.naive {
		for _, prefix := range d.fleet.prefixes {
			go d.watchDirectly(ctx, replica, prefix)
		}
	} else {
		var err error
		syncer, err = confsync.New(confsync.Config{
			Self: d.peer(), Prefixes: d.fleet.prefixes, ReduceTraffic: d.fleet.reduceTraffic, Replica: replica, Store: remoteStore{d.fleet.store, d}, Transport: d,
			Peers: func() []confsync.Peer { return *d.fleet.peers.Load() }, Relays: d.fleet.relays,
			Rand: rand.New(rand.NewPCG(20261204, uint64(d.number))), Log: zerolog.Nop(),
		})
		if err != nil {
			panic(err)
		}
		go syncer.Run(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alive, d.replica, d.syncer, d.stop = true, replica, syncer, stop
}

// kill stops the daemon. The membership list drops it after membershipDelay.
func (d *daemon) kill() {
	d.mu.Lock()
	d.alive = false
	d.mu.Unlock()
	d.stop()
	time.AfterFunc(membershipDelay, func() {
		var peers []confsync.Peer
		for _, other := range d.fleet.daemons {
			if other.isAlive() {
				peers = append(peers, other.peer())
			}
		}
		d.fleet.peers.Store(&peers)
	})
}

func (d *daemon) isAlive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alive
}

func (d *daemon) ready(docs int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return (d.syncer == nil || d.syncer.Ready()) && len(d.replica.Range("services/")) >= docs
}

// watchDirectly is the naive variant, in which each daemon lists and watches the
// platform itself.
func (d *daemon) watchDirectly(ctx context.Context, r *confsync.Replica, prefix string) {
	store, listed, after := remoteStore{d.fleet.store, d}, false, uint64(0)
	for ctx.Err() == nil {
		var objects []platform.Object
		var err error
		if listed {
			objects, after, err = store.Watch(ctx, prefix, after, 50*time.Second)
		} else {
			objects, after, err = store.List(ctx, prefix)
			listed = err == nil
		}
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		for _, o := range objects {
			r.Apply(o)
		}
	}
}

// relays returns the first relaysPerDomain members of the domain.
func (f *fleet) relays(domain string) []confsync.Peer {
	var out []confsync.Peer
	for _, p := range *f.peers.Load() {
		if p.Domain == domain {
			if out = append(out, p); len(out) == f.relaysPerDomain {
				break
			}
		}
	}
	return out
}

// Call implements confsync.Transport with a simulated network delay.
func (d *daemon) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	var a, b int
	if _, err := fmt.Sscanf(to, "10.0.%d.%d:7000", &a, &b); err != nil {
		return nil, err
	}
	target := d.fleet.daemons[a*250+b]
	d.messages.Add(1)
	d.bytes.Add(uint64(len(kind) + len(body)))
	d.countBytes(target, kind, len(kind)+len(body))
	time.Sleep(oneWayDelay)
	cut := d.fleet.cutDomain.Load()
	target.mu.Lock()
	alive, syncer := target.alive, target.syncer
	target.mu.Unlock()
	if !alive || (int(cut) == d.domain && target.domain != d.domain) {
		<-ctx.Done()
		return nil, errNoReply
	}
	reply, err := syncer.Handle(ctx, kind, body)
	target.messages.Add(1)
	target.bytes.Add(uint64(len(reply)))
	target.countBytes(d, kind, len(reply))
	time.Sleep(oneWayDelay)
	return reply, err
}

// countBytes counts the bytes that d sends to another daemon.
func (d *daemon) countBytes(to *daemon, kind string, n int) {
	d.byKind[kindIndex(kind)].Add(uint64(n))
	if d.domain != to.domain {
		d.crossDomain.Add(uint64(n))
	}
}

// remoteStore simulates one daemon's network path to the platform: its delay, and
// its loss while the daemon's domain is cut off.
type remoteStore struct {
	*memstore.Store
	daemon *daemon
}

func (s remoteStore) List(ctx context.Context, p string) ([]platform.Object, uint64, error) {
	time.Sleep(2 * oneWayDelay)
	if int(s.daemon.fleet.cutDomain.Load()) == s.daemon.domain {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, p)
}

func (s remoteStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	time.Sleep(oneWayDelay)
	if int(s.daemon.fleet.cutDomain.Load()) == s.daemon.domain {
		return nil, 0, platform.ErrUnavailable
	}
	objects, revision, err := s.Store.Watch(ctx, p, after, wait)
	time.Sleep(oneWayDelay)
	if int(s.daemon.fleet.cutDomain.Load()) == s.daemon.domain {
		// The path was cut during the watch, so the reply is lost.
		return nil, after, platform.ErrUnavailable
	}
	return objects, revision, err
}

func (f *fleet) waitReady(docs int) bool {
	for range 600 {
		ready := true
		for _, d := range f.daemons {
			ready = ready && (!d.isAlive() || d.ready(docs))
		}
		if ready {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.mu.Lock()
		d.alive = false
		d.mu.Unlock()
		d.stop()
	}
}
