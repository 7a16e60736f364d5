package confsync_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
)

// applyBound is how soon a survivor must hold a change that other survivors hold,
// from the users' config_apply_ms for sites of a hundred hosts.
const applyBound = 2500 * time.Millisecond

// killAtOnce kills daemons at the same moment; membership goes on listing them.
func (f *fleet) killAtOnce(numbers []int) {
	var killed []*daemon
	f.set(func() {
		for _, i := range numbers {
			killed = append(killed, f.daemons[i])
			f.daemons[i] = nil
		}
	})
	for _, d := range killed {
		d.stop()
	}
	synctest.Wait() // No killed relay sends a change that is made from here on.
}

// virtuallyNear runs a scenario like virtually, in a fleet whose daemons compare
// mostly with three near peers of their domain.
func virtuallyNear(seed uint64, scenario func(*fleet) error) error {
	var err error
	synctest.Test(suite, func(*testing.T) {
		f := newFleetWith(func(d *daemon, c *confsync.Config) {
			c.Rand = rand.New(rand.NewPCG(testkit.Seed+seed, uint64(d.number)))
			c.Near = func() []confsync.Peer {
				var near []confsync.Peer
				for _, step := range []int{3, 9, 21} {
					near = append(near, d.f.peers()[(d.number+step)%36])
				}
				return near
			}
		})
		time.Sleep(inForce) // the fleet starts
		err = scenario(f)
		f.killAll()
	})
	return err
}

var _ = Describe("Survivors of a herd kill", func() {
	// Guards against a daemon that missed a push, because its relay was killed
	// before it sent it, and that asks a peer which was killed too, waits long for
	// it and then pauses for a whole interval.
	It("learn a change from other survivors within the bound", func() {
		for round := range 20 {
			rng := rand.New(rand.NewPCG(testkit.Seed, uint64(round)))
			Expect(virtuallyNear(uint64(round), func(f *fleet) error {
				time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
				// All relays and 12 others are killed; 3 of the 18 survivors lack
				// the change, and no other daemon happens to call them.
				order := rng.Perm(30)
				killed, late := []int{0, 1, 2, 3, 4, 5}, []int{}
				for _, i := range order[:12] {
					killed = append(killed, 6+i)
				}
				for _, i := range order[12:15] {
					late = append(late, 6+i)
				}
				f.set(func() { f.blocked = func(_, to int) bool { return slices.Contains(late, to) } })
				f.killAtOnce(killed)
				o, err := f.store.Create(context.Background(), "services/late", []byte("v"))
				if err != nil {
					return err
				}
				for i, d := range f.daemons {
					if d != nil && !slices.Contains(late, i) {
						d.replica.Apply(o)
					}
				}
				time.Sleep(applyBound)
				return errors.Wrapf(f.check(o), "round %d", round)
			})).To(Succeed())
		}
	})

	// Guards against a daemon that is cut off from all others and goes on calling
	// many of them each second.
	It("ask one peer at a time while none answers", func() {
		Expect(virtually(func(f *fleet) error {
			const alone = 35
			f.set(func() { f.blocked = func(from, to int) bool { return from == alone || to == alone } })
			time.Sleep(10 * time.Second)
			before := f.daemons[alone].syncer.Stats().DigestErrors
			time.Sleep(time.Minute)
			calls := f.daemons[alone].syncer.Stats().DigestErrors - before
			if calls > 60 {
				return errors.Newf("%d comparisons in a minute", calls)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against upstreams that get work after they have announced that they
	// leave, because the offer of the change waits for a relay that was killed.
	It("learn a change offered by another domain soon after their relay was killed", func() {
		const bound = time.Second
		synctest.Test(suite, func(*testing.T) {
			const killed = 2 // the first relay of the domain fes
			f := newFleetWith(func(d *daemon, c *confsync.Config) {
				c.Thrifty, c.Cross = true, func() bool { return false }
				c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
			})
			time.Sleep(inForce)
			f.kill(killed)
			o, err := f.store.Create(context.Background(), "services/late", []byte("v"))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(bound)
			err = f.check(o)
			f.killAll()
			Expect(err).NotTo(HaveOccurred())
		})
	})

	// Guards against upstreams that get work after they have announced that they
	// leave, because daemons wait a whole call timeout behind each killed one that a
	// push or an offer was sent to: 1.75 s on a grown site, and 2.5 s with the rest
	// of the way.
	DescribeTable("learn a change from another domain within half of the time for an upstream's leaving", func(herd int) {
		const size, killedRelay, bound = 96, 2, time.Second
		for round := range uint64(10) {
			rng := rand.New(rand.NewPCG(testkit.Seed, round))
			var err error
			synctest.Test(suite, func(*testing.T) {
				f := newFleetOf(size, func(d *daemon, c *confsync.Config) {
					c.Rand = rand.New(rand.NewPCG(testkit.Seed+round, uint64(d.number)))
					c.Thrifty, c.BootPeers, c.BootDomains = true, 1, 1
					c.Cross = func() bool { return d.number < 2*len(fleetDomains) }
					c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
				})
				time.Sleep(inForce + time.Duration(rng.Int64N(int64(time.Second))))
				killed := []int{killedRelay}
				for _, i := range rng.Perm(size - len(fleetDomains))[:herd-1] {
					killed = append(killed, len(fleetDomains)+i) // the other relays survive
				}
				f.killAtOnce(killed)
				var o platform.Object
				if o, err = f.store.Create(context.Background(), "services/late", []byte("v")); err == nil {
					time.Sleep(bound)
					err = f.check(o)
				}
				f.killAll()
			})
			Expect(err).NotTo(HaveOccurred(), "round %d", round)
		}
	},
		Entry("when a ninth of all daemons was killed", 11),
		Entry("when nearly half of all daemons were killed", 42))

	// Guards against a change that is late in a domain whose relay has started again:
	// it holds the change, so that other relays leave the domain to it, while the
	// daemons there still refuse its new key.
	It("learn a change from another domain while they refuse their new relay", func() {
		const relay, bound = 2, time.Second
		var err error
		synctest.Test(suite, func(*testing.T) {
			f := newFleetOf(96, func(d *daemon, c *confsync.Config) {
				c.DigestInterval = noComparisons
				c.Thrifty, c.BootPeers, c.BootDomains = true, 1, 1
				c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
			})
			time.Sleep(inForce)
			f.set(func() {
				f.blocked = func(from, to int) bool { return inFes(from) && inFes(to) && (from == relay || to == relay) }
			})
			f.replace(relay)
			time.Sleep(watchTime)
			var o platform.Object
			if o, err = f.store.Create(context.Background(), "services/late", []byte("v")); err == nil {
				time.Sleep(bound)
				err = f.check(o)
			}
			f.killAll()
		})
		Expect(err).NotTo(HaveOccurred())
	})
})
