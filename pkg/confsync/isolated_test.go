package confsync_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/platform/memstore"
)

var _ = Describe("A daemon that no other daemon reaches", func() {
	const alone = 35
	isolate := func(f *fleet) {
		f.set(func() { f.blocked = func(from, to int) bool { return from == alone || to == alone } })
	}

	// Guards against an old configuration in force at a daemon that refuses, or is
	// refused by, all others while it reaches the platform.
	It("takes changes from the platform within the bound", func() {
		Expect(virtually(func(f *fleet) error {
			isolate(f)
			time.Sleep(inForce)
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

	// Guards against daemons that keep a watch each after a disturbance between them.
	It("leaves the watch to the relays when others answer again", func() {
		Expect(virtually(func(f *fleet) error {
			watches := func() uint64 {
				before := f.store.Counts().Watches
				time.Sleep(10 * time.Minute)
				return f.store.Counts().Watches - before
			}
			usual := watches()
			isolate(f)
			time.Sleep(inForce)
			f.set(func() { f.blocked = func(int, int) bool { return false } })
			time.Sleep(inForce)
			if after := watches(); after > usual+usual/20 {
				return errors.Newf("%d watches in ten minutes, %d before", after, usual)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against a fleet without the platform in which all daemons call it.
	It("does not call a platform that is away more often than a relay", func() {
		Expect(virtually(func(f *fleet) error {
			f.store.SetFaults(memstore.Faults{Down: true})
			f.set(func() { f.blocked = func(int, int) bool { return true } })
			time.Sleep(inForce)
			before := f.daemons[alone].syncer.Stats().PlatformErrors
			time.Sleep(time.Minute)
			if calls := f.daemons[alone].syncer.Stats().PlatformErrors - before; calls > 120 {
				return errors.Newf("%d calls in a minute", calls)
			}
			return nil
		})).To(Succeed())
	})
})
