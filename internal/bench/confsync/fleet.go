package main

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	oneWay     = 1500 * time.Microsecond
	docBytes   = 4 << 10
	perDomain  = 2 // relays
	membership = 3 * time.Second
)

var (
	prefixes = []string{"services/", "ejections/"}
	errDead  = errors.New("no reply")
)

// fleet is a number of daemons in one process.
type fleet struct {
	store   *memstore.Store
	naive   bool
	domains int
	daemons []*daemon
	// peers is what membership shows; it trails kills by the membership constant.
	peers atomic.Pointer[[]confsync.Peer]
	cut   atomic.Int32 // number of the domain whose calls and platform path are cut; -1 is none
	// recorder notes what daemons hold, once it is set.
	recorder atomic.Pointer[recorder]
}

// daemon is one daemon; calls, bytes are what it sent and answered.
type daemon struct {
	f       *fleet
	number  int
	domain  int
	mu      sync.Mutex
	alive   bool
	replica *confsync.Replica
	syncer  *confsync.Syncer
	stop    context.CancelFunc

	messages, bytes atomic.Uint64
}

func newFleet(n, domains, docs int, naive bool) *fleet {
	f := &fleet{store: memstore.New(), naive: naive, domains: domains}
	f.cut.Store(-1)
	for i := range docs {
		if _, err := f.store.Create(context.Background(), docKey(i), make([]byte, docBytes)); err != nil {
			panic(err)
		}
	}
	peers := make([]confsync.Peer, n)
	for i := range n {
		d := &daemon{f: f, number: i, domain: i % domains}
		peers[i] = d.peer()
		f.daemons = append(f.daemons, d)
	}
	f.peers.Store(&peers)
	for _, d := range f.daemons {
		d.start()
	}
	return f
}

func docKey(i int) string { return fmt.Sprintf("services/service-%03d", i) }

func (d *daemon) peer() confsync.Peer {
	return confsync.Peer{Address: fmt.Sprintf("10.0.%d.%d:7000", d.number/250, d.number%250), Domain: fmt.Sprint(d.domain)}
}

// start begins a new life of the daemon, with nothing held.
func (d *daemon) start() {
	replica := confsync.NewReplica()
	replica.OnChange(func(o platform.Object) {
		if r := d.f.recorder.Load(); r != nil {
			r.hold(d.number, o)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	var syncer *confsync.Syncer
	if d.f.naive {
		for _, prefix := range prefixes {
			go d.follow(ctx, replica, prefix)
		}
	} else {
		var err error
		syncer, err = confsync.New(confsync.Config{
			Self: d.peer(), Prefixes: prefixes, Replica: replica, Store: cutStore{d.f.store, d}, Transport: d,
			Peers: func() []confsync.Peer { return *d.f.peers.Load() }, Relays: d.f.relays,
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

// kill stops the daemon; membership drops it later.
func (d *daemon) kill() {
	d.mu.Lock()
	d.alive = false
	d.mu.Unlock()
	d.stop()
	time.AfterFunc(membership, func() {
		var peers []confsync.Peer
		for _, other := range d.f.daemons {
			if other.isAlive() {
				peers = append(peers, other.peer())
			}
		}
		d.f.peers.Store(&peers)
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

// follow is the naive version: each daemon lists and watches for itself.
func (d *daemon) follow(ctx context.Context, r *confsync.Replica, prefix string) {
	store, listed, after := cutStore{d.f.store, d}, false, uint64(0)
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

// relays returns the first members of the domain.
func (f *fleet) relays(domain string) []confsync.Peer {
	var out []confsync.Peer
	for _, p := range *f.peers.Load() {
		if p.Domain == domain {
			if out = append(out, p); len(out) == perDomain {
				break
			}
		}
	}
	return out
}

// Call implements confsync.Transport with the delay between domains.
func (d *daemon) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	var a, b int
	if _, err := fmt.Sscanf(to, "10.0.%d.%d:7000", &a, &b); err != nil {
		return nil, err
	}
	target := d.f.daemons[a*250+b]
	d.messages.Add(1)
	d.bytes.Add(uint64(len(kind) + len(body)))
	time.Sleep(oneWay)
	cut := d.f.cut.Load()
	target.mu.Lock()
	alive, syncer := target.alive, target.syncer
	target.mu.Unlock()
	if !alive || (int(cut) == d.domain && target.domain != d.domain) {
		<-ctx.Done()
		return nil, errDead
	}
	reply, err := syncer.Handle(ctx, kind, body)
	target.messages.Add(1)
	target.bytes.Add(uint64(len(reply)))
	time.Sleep(oneWay)
	return reply, err
}

// cutStore is the platform as one daemon reaches it, with the delay to it.
type cutStore struct {
	*memstore.Store
	d *daemon
}

func (s cutStore) List(ctx context.Context, p string) ([]platform.Object, uint64, error) {
	time.Sleep(2 * oneWay)
	if int(s.d.f.cut.Load()) == s.d.domain {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, p)
}

func (s cutStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	time.Sleep(oneWay)
	if int(s.d.f.cut.Load()) == s.d.domain {
		return nil, 0, platform.ErrUnavailable
	}
	objects, revision, err := s.Store.Watch(ctx, p, after, wait)
	time.Sleep(oneWay)
	if int(s.d.f.cut.Load()) == s.d.domain {
		// The reply of a watch that was waiting when the path was cut is lost.
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
