package confsync_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A store that is restored from a copy", func() {
	// Guards against daemons that keep what the store has lost, in particular those that
	// hear of the restoration from others only, and against the return of a lost object
	// from a daemon that was partitioned.
	It("replaces all copies within the bound", func() {
		const partitioned = 20
		Expect(runWithFakeClock(func(f *fleet) error {
			ctx := context.Background()
			kept, err := f.store.Create(ctx, "services/kept", []byte("first"))
			if err != nil {
				return err
			}
			copied := f.store.Copy()
			if _, err := f.store.Update(ctx, "services/kept", kept.Version, []byte("second")); err != nil {
				return err
			}
			lost, err := f.store.Create(ctx, "services/lost", []byte("v"))
			if err != nil {
				return err
			}
			time.Sleep(changeBound)
			if err := f.check(lost); err != nil {
				return err
			}
			f.update(func() { f.blocked = func(from, to int) bool { return from == partitioned || to == partitioned } })
			f.store.Restore(copied)
			time.Sleep(changeBound)
			f.update(func() { f.blocked = func(int, int) bool { return false } })
			time.Sleep(changeBound)
			restored, err := f.store.Get(ctx, "services/kept")
			if err != nil {
				return err
			}
			if err := f.check(restored); err != nil {
				return err
			}
			for i, d := range f.daemons {
				if o, held := d.replica.Get("services/lost"); held {
					return errors.Newf("daemon %d holds version %d of the lost object", i, o.Version)
				}
				if o, _ := d.replica.Get("services/kept"); string(o.Value) != "first" {
					return errors.Newf("daemon %d holds %q", i, o.Value)
				}
			}
			return f.change("services/lost")
		})).To(Succeed())
	})
})
