package confsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
)

const (
	// takeoverBound is how soon a change must be in force that the platform holds
	// when a relay takes its role, from the users' config_apply_ms.
	takeoverBound = 2 * time.Second
	// noComparisons is an interval between comparisons that is longer than a test.
	noComparisons = time.Hour
	// watchTime covers the check whether a daemon is a relay and its lists.
	watchTime = time.Second
)

// traffic counts the messages of a fleet.
type traffic struct {
	mu sync.Mutex
	// sent are the messages of each daemon, bytes those of all bodies and replies.
	sent  map[int]int
	kinds map[string]int
	bytes int
}

func (t *traffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent, t.kinds, t.bytes = map[int]int{}, map[string]int{}, 0
}

// counted is the transport of one daemon with its messages counted.
type counted struct {
	d *daemon
	t *traffic
}

func (c counted) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	reply, err := c.d.Call(ctx, to, kind, body)
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	c.t.sent[c.d.number]++
	c.t.kinds[kind]++
	c.t.bytes += len(body) + len(reply)
	return reply, err
}

// takeover is a fleet that has no relays, and no comparisons, from the moment at which
// its daemons are ready until daemon 0 takes the role for its domain.
type takeover struct {
	*fleet
	traffic *traffic
	mu      sync.Mutex
	// started means that the daemons are ready, taken that daemon 0 is the relay.
	started, taken bool
}

func (t *takeover) relaysNow(f *fleet, domain string) []confsync.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.started:
		return f.relays(domain)
	case t.taken && domain == fleetDomains[0]:
		return f.peers()[:1]
	}
	return nil
}

func (t *takeover) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *takeover) take() { t.set(func() { t.taken = true }) }

// checkDomain returns an error unless the daemons of the relay's domain hold the object.
func (t *takeover) checkDomain(o platform.Object) error {
	for i, d := range t.daemons {
		if d == nil || fleetDomains[i%len(fleetDomains)] != fleetDomains[0] {
			continue
		}
		if held, _ := d.replica.Get(o.Key); held.Version != o.Version {
			return errors.Newf("daemon %d holds version %d of %s, not %d", i, held.Version, o.Key, o.Version)
		}
	}
	return nil
}

// inTakeover runs a scenario in a fleet of the size, whose daemons all hold
// documents objects.
func inTakeover(size, documents int, scenario func(*takeover) error) error {
	var err error
	synctest.Test(suite, func(*testing.T) {
		t := &takeover{traffic: &traffic{}}
		t.traffic.reset()
		t.fleet = newFleetOf(size, func(d *daemon, c *confsync.Config) {
			c.Transport, c.DigestInterval = counted{d, t.traffic}, noComparisons
			c.Relays = func(domain string) []confsync.Peer { return t.relaysNow(d.f, domain) }
			for i := range documents {
				o := platform.Object{Key: fmt.Sprintf("services/%d", i), Version: uint64(i + 1), Value: []byte("v")}
				d.replica.Apply(o)
			}
		})
		for i := range documents {
			if _, err = t.store.Create(context.Background(), fmt.Sprintf("services/%d", i), []byte("v")); err != nil {
				return
			}
		}
		for _, d := range t.daemons {
			<-d.syncer.ReadyC()
		}
		t.set(func() { t.started = true })
		time.Sleep(watchTime) // the relays leave their roles
		t.traffic.reset()
		err = scenario(t)
		t.killAll()
	})
	return err
}

// create makes a change at the platform and gives it to some daemons, as their own
// lists or a push that was broken off would.
func (t *takeover) create(holders ...int) (platform.Object, error) {
	o, err := t.store.Create(context.Background(), "services/late", []byte("v"))
	for _, i := range holders {
		t.daemons[i].replica.Apply(o)
	}
	return o, err
}

var _ = Describe("A daemon that becomes the relay", func() {
	// Guards against a configuration that is late in a whole domain, because its
	// relay had listed it before it took the role and pushes only what is new to it.
	DescribeTable("brings its domain a change that it holds already", func(size int, holders ...int) {
		Expect(inTakeover(size, 40, func(t *takeover) error {
			o, err := t.create(holders...)
			if err != nil {
				return err
			}
			t.take()
			time.Sleep(takeoverBound)
			return t.checkDomain(o)
		})).To(Succeed())
	},
		Entry("in a domain of 12", 36, 0),
		Entry("in a domain of 12 of which some hold it", 36, 0, 3, 6, 9),
		Entry("in a domain of 50", 150, 0),
		Entry("in a domain of 50 of which some hold it", 150, 0, 3, 30, 90))

	// Guards against the same while daemons of the domain do not answer.
	It("brings it to those behind daemons that were killed", func() {
		Expect(inTakeover(150, 40, func(t *takeover) error {
			t.killAtOnce([]int{3, 12, 30, 45, 60, 90, 120, 135})
			o, err := t.create(0)
			if err != nil {
				return err
			}
			t.take()
			time.Sleep(takeoverBound)
			return t.checkDomain(o)
		})).To(Succeed())
	})

	// Guards against a relay that has started again with a new key and is refused by
	// daemons of its domain until they have it: one heard of an upstream's leaving
	// 2.1 s after the other domains.
	It("brings it to those that refuse the relay at first", func() {
		const refused = 600 * time.Millisecond
		Expect(inTakeover(150, 40, func(t *takeover) error {
			t.fleet.set(func() { t.blocked = func(from, _ int) bool { return from == 0 } })
			o, err := t.create(0)
			if err != nil {
				return err
			}
			t.take()
			time.Sleep(refused)
			t.fleet.set(func() { t.blocked = func(int, int) bool { return false } })
			time.Sleep(takeoverBound - refused)
			return t.checkDomain(o)
		})).To(Succeed())
	})

	// Guards against a takeover that costs more than its use: objects that all hold
	// must not be sent again, and no daemon may send a message to each of a large
	// domain.
	It("sends only digests to a domain that holds everything", func() {
		Expect(inTakeover(150, 400, func(t *takeover) error {
			t.take()
			time.Sleep(watchTime)
			t.traffic.mu.Lock()
			defer t.traffic.mu.Unlock()
			// A relay sends a digest to 16 daemons, and the rest of its group to each.
			const domain, mostSent = 50, 2 * 16
			if n := t.traffic.kinds[confsync.KindObjects] + t.traffic.kinds[confsync.KindVersions]; n > 0 {
				return errors.Newf("%d messages with objects or versions", n)
			}
			if n := t.traffic.kinds[confsync.KindDigest]; n != domain-1 {
				return errors.Newf("%d digests for %d daemons", n, domain-1)
			}
			for i, n := range t.traffic.sent {
				if n > mostSent {
					return errors.Newf("daemon %d sent %d messages", i, n)
				}
			}
			if perDaemon := t.traffic.bytes / domain; perDaemon > 256 {
				return errors.Newf("%d bytes per daemon", perDaemon)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against a change that is sent to daemons which hold it already.
	It("sends a change once to each daemon that lacks it", func() {
		Expect(inTakeover(36, 40, func(t *takeover) error {
			o, err := t.create(0, 3, 6, 9)
			if err != nil {
				return err
			}
			t.take()
			time.Sleep(watchTime)
			t.traffic.mu.Lock()
			defer t.traffic.mu.Unlock()
			const lack = 12 - 4
			if n := t.traffic.kinds[confsync.KindVersions]; n != lack {
				return errors.Newf("%d exchanges of versions, %d daemons lack the change", n, lack)
			}
			if n := t.traffic.kinds[confsync.KindObjects]; n != lack {
				return errors.Newf("%d messages with objects, %d daemons lack the change", n, lack)
			}
			return t.checkDomain(o)
		})).To(Succeed())
	})
})

var _ = Describe("A daemon that was killed and has started again", func() {
	// Guards against one that gets no push, because the first call of each sender goes
	// to the connection with its former process: two such hosts heard of upstreams'
	// leaving up to 2.2 s after the others.
	DescribeTable("gets pushes from senders that were connected before", func(size int) {
		const restarted = 9
		Expect(inTakeover(size, 40, func(t *takeover) error {
			t.take()
			time.Sleep(watchTime)
			t.replace(restarted)
			<-t.daemons[restarted].syncer.ReadyC()
			t.fleet.set(func() {
				t.stale = map[[2]int]bool{}
				for i := range t.daemons {
					t.stale[[2]int{i, restarted}] = true
				}
			})
			o, err := t.create()
			if err != nil {
				return err
			}
			time.Sleep(takeoverBound / 2)
			return t.checkDomain(o)
		})).To(Succeed())
	},
		Entry("in a domain of 12", 36),
		Entry("in a domain of 50", 150))
})
