package confsync_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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

// applyTarget is the time within which the users expect a change to be in force.
const applyTarget = 2 * time.Second

// watchers counts the open watches of the platform by the number of the daemon.
type watchers struct {
	mu      sync.Mutex
	numbers map[int]int
}

func (w *watchers) add(number, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.numbers[number] += change; w.numbers[number] == 0 {
		delete(w.numbers, number)
	}
}

func (w *watchers) list() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.numbers))
}

// watchedStore records which daemon watches.
type watchedStore struct {
	domainStore
	watchers *watchers
}

func (s watchedStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	s.watchers.add(s.d.number, 1)
	defer s.watchers.add(s.d.number, -1)
	return s.domainStore.Watch(ctx, p, after, wait)
}

// newFleetWithStandbys returns a fleet with one relay in each domain, daemons 0 to 2, and
// two standbys, daemons 3 to 8. configure, if not nil, changes the configurations further.
func newFleetWithStandbys(size int, configure func(*daemon, *confsync.Config)) *fleet {
	return newFleetOfSize(size, func(d *daemon, c *confsync.Config) {
		c.ReduceTraffic, c.BootPeers, c.BootDomains = true, 1, 1
		c.CompareOtherDomains = func() bool { return d.number < 2*len(fleetDomains) }
		c.Relays = func(domain string) []confsync.Peer { return d.f.relays(domain)[:1] }
		c.IsStandby = func() bool { return d.number >= len(fleetDomains) && d.number < 3*len(fleetDomains) }
		if configure != nil {
			configure(d, c)
		}
	})
}

// runWithStandbys runs a scenario in a fleet of newFleetWithStandbys.
func runWithStandbys(seed uint64, scenario func(*fleet, *watchers) error) error {
	var err error
	synctest.Test(suiteT, func(*testing.T) {
		w := &watchers{numbers: map[int]int{}}
		f := newFleetWithStandbys(96, func(d *daemon, c *confsync.Config) {
			c.Rand = rand.New(rand.NewPCG(testkit.Seed+seed, uint64(d.number)))
			c.Store = watchedStore{domainStore{d.f.store, d}, w}
		})
		time.Sleep(changeBound)
		err = scenario(f, w)
		f.killAll()
	})
	return err
}

var _ = Describe("A standby", func() {
	// Guards against late changes after the relays of all domains were lost at once.
	DescribeTable("replaces the relays of all domains in time for a change right after their loss", func(lost ...int) {
		for round := range uint64(5) {
			Expect(runWithStandbys(round, func(f *fleet, _ *watchers) error {
				time.Sleep(time.Duration(rand.New(rand.NewPCG(testkit.Seed, round)).Int64N(int64(time.Second))))
				f.killTogether(lost)
				o, err := f.store.Create(context.Background(), "services/late", []byte("v"))
				if err != nil {
					return err
				}
				time.Sleep(applyTarget)
				return errors.Wrapf(f.check(o), "round %d", round)
			})).To(Succeed())
		}
	},
		Entry("of the relays", 0, 1, 2),
		Entry("of the relays and one standby of each domain", 0, 1, 2, 3, 4, 5),
		Entry("of the relays and all standbys but one", 0, 1, 2, 3, 4, 5, 6, 7),
	)

	// Guards against daemons that go on watching the platform, which the users pay for.
	It("watches the platform only while no relay of its domain answers", func() {
		Expect(runWithStandbys(0, func(f *fleet, w *watchers) error {
			Expect(w.list()).To(Equal([]int{0, 1, 2}))
			f.update(func() { f.blocked = func(_, to int) bool { return to == 2 } })
			time.Sleep(applyTarget)
			Expect(w.list()).To(Equal([]int{0, 1, 2, 5, 8}))
			f.update(func() { f.blocked = func(int, int) bool { return false } })
			time.Sleep(applyTarget)
			Expect(w.list()).To(Equal([]int{0, 1, 2}))
			return nil
		})).To(Succeed())
	})
})
