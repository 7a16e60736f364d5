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

// applyBound is the time within which a survivor must get a change that other
// survivors hold. It follows from the users' config_apply_ms for sites of a
// hundred hosts.
const applyBound = 2500 * time.Millisecond

// killTogether kills daemons at the same time; membership still lists them.
func (f *fleet) killTogether(numbers []int) {
	var killed []*daemon
	f.update(func() {
		for _, i := range numbers {
			killed = append(killed, f.daemons[i])
			f.daemons[i] = nil
		}
	})
	for _, d := range killed {
		d.stop()
	}
	synctest.Wait() // Otherwise a killed relay could still push the next change.
}

// runWithNearPeers runs a scenario like runWithFakeClock, in a fleet whose daemons
// usually compare with three near peers of their domain.
func runWithNearPeers(seed uint64, scenario func(*fleet) error) error {
	var err error
	synctest.Test(suiteT, func(*testing.T) {
		f := newFleetWith(func(d *daemon, c *confsync.Config) {
			c.Rand = rand.New(rand.NewPCG(testkit.Seed+seed, uint64(d.number)))
			c.ConnectedPeers = func() []confsync.Peer {
				var near []confsync.Peer
				for _, offset := range []int{3, 9, 21} {
					near = append(near, d.f.peers()[(d.number+offset)%36])
				}
				return near
			}
		})
		time.Sleep(changeBound) // the fleet starts
		err = scenario(f)
		f.killAll()
	})
	return err
}

var _ = Describe("Survivors of a simultaneous kill of many daemons", func() {
	// Guards against a slow recovery of a daemon whose relay was killed before it
	// pushed a change: the daemon asks a peer that was killed too, waits for its
	// answer and then pauses for a whole interval.
	It("get a change from other survivors within the bound", func() {
		for round := range 20 {
			rng := rand.New(rand.NewPCG(testkit.Seed, uint64(round)))
			Expect(runWithNearPeers(uint64(round), func(f *fleet) error {
				time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
				// All relays and 12 others are killed; 3 of the 18 survivors lack
				// the change, and no other daemon happens to call them.
				order := rng.Perm(30)
				killed, lacking := []int{0, 1, 2, 3, 4, 5}, []int{}
				for _, i := range order[:12] {
					killed = append(killed, 6+i)
				}
				for _, i := range order[12:15] {
					lacking = append(lacking, 6+i)
				}
				f.update(func() { f.blocked = func(_, to int) bool { return slices.Contains(lacking, to) } })
				f.killTogether(killed)
				o, err := f.store.Create(context.Background(), "services/late", []byte("v"))
				if err != nil {
					return err
				}
				for i, d := range f.daemons {
					if d != nil && !slices.Contains(lacking, i) {
						d.replica.Apply(o)
					}
				}
				time.Sleep(applyBound)
				return errors.Wrapf(f.check(o), "round %d", round)
			})).To(Succeed())
		}
	})

	// Guards against an isolated daemon that keeps calling many others each second.
	It("call one peer at a time while none answers", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
			const isolated = 35
			f.update(func() { f.blocked = func(from, to int) bool { return from == isolated || to == isolated } })
			time.Sleep(10 * time.Second)
			before := f.daemons[isolated].syncer.Stats().DigestErrors
			time.Sleep(time.Minute)
			calls := f.daemons[isolated].syncer.Stats().DigestErrors - before
			if calls > 60 {
				return errors.Newf("%d comparisons in a minute", calls)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against requests sent to upstreams that have announced that they leave,
	// because the offer of this change waits for a killed relay.
	It("get a change offered by another domain soon after their relay was killed", func() {
		const bound = time.Second
		synctest.Test(suiteT, func(*testing.T) {
			const killed = 2 // the first relay of the domain fes
			f := newFleetWith(func(d *daemon, c *confsync.Config) {
				c.ReduceTraffic, c.CompareOtherDomains = true, func() bool { return false }
				c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
			})
			time.Sleep(changeBound)
			f.kill(killed)
			o, err := f.store.Create(context.Background(), "services/late", []byte("v"))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(bound)
			err = f.check(o)
			f.killAll()
			Expect(err).NotTo(HaveOccurred())
		})
	})

	// Guards against requests sent to upstreams that have announced that they leave,
	// because a push or an offer waits a whole call timeout for each killed daemon.
	// This took 1.75 s on a grown site of the users, and 2.5 s end to end.
	DescribeTable("get a change from another domain within 1 s, half of the limit for a leaving upstream", func(killCount int) {
		const size, killedRelay, bound = 96, 2, time.Second
		for round := range uint64(10) {
			rng := rand.New(rand.NewPCG(testkit.Seed, round))
			var err error
			synctest.Test(suiteT, func(*testing.T) {
				f := newFleetOfSize(size, func(d *daemon, c *confsync.Config) {
					c.Rand = rand.New(rand.NewPCG(testkit.Seed+round, uint64(d.number)))
					c.ReduceTraffic, c.BootPeers, c.BootDomains = true, 1, 1
					c.CompareOtherDomains = func() bool { return d.number < 2*len(fleetDomains) }
					c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
				})
				time.Sleep(changeBound + time.Duration(rng.Int64N(int64(time.Second))))
				killed := []int{killedRelay}
				for _, i := range rng.Perm(size - len(fleetDomains))[:killCount-1] {
					killed = append(killed, len(fleetDomains)+i) // the other relays survive
				}
				f.killTogether(killed)
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

	// Guards against a delayed change in a domain whose relay was restarted. The relay
	// holds the change, so other relays do not push it to the domain, while the daemons
	// there still refuse the relay's new key.
	It("get a change from another domain while they refuse their new relay", func() {
		const relay, bound = 2, time.Second
		var err error
		synctest.Test(suiteT, func(*testing.T) {
			f := newFleetOfSize(96, func(d *daemon, c *confsync.Config) {
				c.DigestInterval = noComparisons
				c.ReduceTraffic, c.BootPeers, c.BootDomains = true, 1, 1
				c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
			})
			time.Sleep(changeBound)
			f.update(func() {
				f.blocked = func(from, to int) bool { return inFes(from) && inFes(to) && (from == relay || to == relay) }
			})
			f.replace(relay)
			time.Sleep(relayCheckTime)
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
