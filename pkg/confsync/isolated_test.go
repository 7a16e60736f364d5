package confsync_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/platform/memstore"
)

var _ = Describe("A daemon isolated from all others", func() {
	const isolated = 35
	isolate := func(f *fleet) {
		f.update(func() { f.blocked = func(from, to int) bool { return from == isolated || to == isolated } })
	}

	// Guards against a daemon that keeps an old configuration because it and all
	// others refuse each other, although it can reach the platform.
	It("gets changes from the platform within the bound", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
			isolate(f)
			time.Sleep(changeBound)
			for _, key := range []string{"services/a", "services/b"} {
				o, err := f.store.Create(context.Background(), key, []byte("v"))
				if err != nil {
					return err
				}
				time.Sleep(applyBound)
				if err := f.check(o); err != nil {
					return err
				}
			}
			return nil
		})).To(Succeed())
	})

	// Guards against daemons that keep their own watches after a network fault.
	It("stops watching the platform when others answer again", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
			watches := func() uint64 {
				before := f.store.Counts().Watches
				time.Sleep(10 * time.Minute)
				return f.store.Counts().Watches - before
			}
			baseline := watches()
			isolate(f)
			time.Sleep(changeBound)
			f.update(func() { f.blocked = func(int, int) bool { return false } })
			time.Sleep(changeBound)
			if after := watches(); after > baseline+baseline/20 {
				return errors.Newf("%d watches in ten minutes, %d before", after, baseline)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against excessive calls by isolated daemons during a platform outage.
	It("does not call an unavailable platform more often than a relay", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
			f.store.SetFaults(memstore.Faults{Down: true})
			f.update(func() { f.blocked = func(int, int) bool { return true } })
			time.Sleep(changeBound)
			before := f.daemons[isolated].syncer.Stats().PlatformErrors
			time.Sleep(time.Minute)
			if calls := f.daemons[isolated].syncer.Stats().PlatformErrors - before; calls > 120 {
				return errors.Newf("%d calls in a minute", calls)
			}
			return nil
		})).To(Succeed())
	})
})
