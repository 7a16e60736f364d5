package confsync_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
)

const configurationKey = "configurations/main"

// accountsFleet is a fleet whose configuration has accounts.
type accountsFleet struct {
	*fleet
	// acknowledged holds when the versions of the configuration were acknowledged.
	acknowledged map[uint64]time.Time
}

// write writes the configuration.
func (a *accountsFleet) write() (platform.Object, error) {
	ctx := context.Background()
	o, err := a.store.Get(ctx, configurationKey)
	if err == nil {
		o, err = a.store.Update(ctx, configurationKey, o.Version, nil)
	} else {
		o, err = a.store.Create(ctx, configurationKey, nil)
	}
	a.acknowledged[o.Version] = time.Now()
	return o, err
}

// unconfirmed makes each daemon confirm 1.5 s, as for a request with a key, and returns
// the numbers of those that cannot.
func (a *accountsFleet) unconfirmed() (failed []int) {
	for i, d := range a.daemons {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if !d.syncer.Confirm(ctx, 1500*time.Millisecond) {
			failed = append(failed, i)
		}
		cancel()
	}
	return failed
}

// play lets 10 s pass with requests at all daemons, and returns an error if the age of a
// daemon covers a version that it does not hold.
func (a *accountsFleet) play() error {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		for i, d := range a.daemons {
			go d.syncer.Confirm(context.Background(), 1500*time.Millisecond)
			age, known := d.syncer.ConfirmedAge()
			held, _ := d.replica.Get(configurationKey)
			for version, at := range a.acknowledged {
				if known && at.Before(time.Now().Add(-age)) && held.Version < version {
					return errors.Newf("daemon %d has age %v and version %d; %d is older than that", i, age, held.Version, version)
				}
			}
		}
	}
	return nil
}

func runWithAccounts(needed bool, scenario func(*accountsFleet) error) error {
	var err error
	synctest.Test(suiteT, func(*testing.T) {
		start := time.Now()
		a := &accountsFleet{acknowledged: map[uint64]time.Time{}, fleet: newFleetWith(func(_ *daemon, c *confsync.Config) {
			c.Prefixes = append(c.Prefixes, "configurations/")
			c.ConfigurationKey, c.NeedsConfirmation = configurationKey, func() bool { return needed }
			c.BootTime = func() time.Duration { return time.Since(start) }
		})}
		if _, err = a.write(); err == nil {
			time.Sleep(changeBound)
			err = scenario(a)
		}
		a.killAll()
	})
	return err
}

var _ = Describe("The age of the configuration", func() {
	// Daemons 0 to 5 are the relays; cut is another one of fes, whose relays are 2 and 5.
	const cut = 35
	isCut := func(from, to int) bool { return from == cut || to == cut }
	fromCut := func(from, _ int) bool { return from == cut }
	never := func(int, int) bool { return false }

	// Guards against a host without contact that accepts revoked keys because a fault lets
	// it take its knowledge for young, against one that stops although it has a path, and
	// against reads for each request.
	DescribeTable("covers no unknown version and is young at each daemon with a path to the store",
		func(failures int, fewestReads, mostReads int32, inject func(*fleet)) {
			Expect(runWithAccounts(true, func(a *accountsFleet) error {
				a.update(func() { inject(a.fleet) })
				cutAt, before := time.Now(), a.daemons[cut].reads.Load()
				if _, err := a.write(); err != nil {
					return err
				}
				if err := a.play(); err != nil {
					return err
				}
				failed, reads := a.unconfirmed(), a.daemons[cut].reads.Load()-before
				if len(failed) != failures || slices.Contains(failed, cut) != (failures > 0) || reads < fewestReads || reads > mostReads {
					return errors.Newf("%d reads; daemons %v cannot confirm", reads, failed)
				}
				if age, _ := a.daemons[cut].syncer.ConfirmedAge(); failures > 0 && age < time.Since(cutAt) {
					return errors.Newf("age %v, cut off for %v", age, time.Since(cutAt))
				}
				a.update(func() { a.blocked, a.replyLost, a.domainWithoutPlatform = never, never, "" })
				time.Sleep(2 * time.Second)
				o, err := a.write()
				time.Sleep(2 * time.Second)
				if failed := a.unconfirmed(); len(failed) > 0 {
					return errors.Newf("daemons %v cannot confirm without a fault", failed)
				}
				return errors.CombineErrors(err, a.check(o))
			})).To(Succeed())
		},
		Entry("no fault", 0, int32(0), int32(0), noFault),
		Entry("all messages lost", 1, int32(5), int32(12), func(f *fleet) { f.blocked, f.domainWithoutPlatform = isCut, "fes" }),
		Entry("messages from it lost", 1, int32(5), int32(12), func(f *fleet) { f.blocked, f.domainWithoutPlatform = fromCut, "fes" }),
		Entry("replies to it lost", 1, int32(5), int32(12), func(f *fleet) { f.replyLost, f.domainWithoutPlatform = fromCut, "fes" }),
		Entry("its domain cut off", 12, int32(5), int32(12), func(f *fleet) {
			f.blocked, f.domainWithoutPlatform = func(from, to int) bool { return inFes(from) != inFes(to) }, "fes"
		}),
		Entry("only its relays lost", 0, int32(0), int32(0), func(f *fleet) {
			f.blocked = func(from, to int) bool { return from == cut && (to == 2 || to == 5) }
		}),
		Entry("its relays get replies to watches only", 0, int32(0), int32(1), func(f *fleet) { f.domainWithoutReads = "fes" }),
		Entry("only the store answers it", 0, int32(5), int32(12), func(f *fleet) { f.blocked = isCut }),
	)

	// Guards against cost where there are no accounts.
	It("costs nothing where it is not needed", func() {
		Expect(runWithAccounts(false, func(a *accountsFleet) error {
			err := a.play()
			if n := a.daemons[0].reads.Load() + a.daemons[cut].reads.Load(); n > 0 {
				return errors.Newf("%d reads", n)
			}
			return err
		})).To(Succeed())
	})

	// Guards against daemons that keep what a restored store has lost, also if they hear of
	// it from others only, and against its return from a daemon that was partitioned.
	It("and all copies follow a store that is restored from a copy", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			copied := a.store.Copy()
			if err := a.change("services/lost"); err != nil {
				return err
			}
			a.update(func() { a.blocked, a.domainWithoutPlatform = isCut, "fes" })
			a.store.Restore(copied)
			clear(a.acknowledged)
			o, err := a.write()
			err = errors.CombineErrors(err, a.play())
			a.update(func() { a.blocked = never })
			time.Sleep(changeBound)
			for i, d := range a.daemons {
				if _, held := d.replica.Get("services/lost"); held {
					return errors.Newf("daemon %d holds the lost object", i)
				}
			}
			return errors.CombineErrors(err, a.check(o))
		})).To(Succeed())
	})
})
