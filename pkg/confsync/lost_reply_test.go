package confsync_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
)

// losingStore is a platform that loses replies while lost is set. Nothing more comes
// on the connection of a lost reply.
type losingStore struct {
	domainStore
	lost *atomic.Bool
}

// patience is how long a client waits for the reply to a watch.
const patience = 15 * time.Second

func (s losingStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	o, revision, err := s.domainStore.Watch(ctx, p, after, wait)
	if s.lost.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(patience):
		}
		return nil, after, platform.ErrUnavailable
	}
	return o, revision, err
}

func (s losingStore) reach(ctx context.Context) error {
	if s.lost.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

var _ = Describe("A platform that loses replies", func() {
	// Guards against a change that is not in force since the replies which name it were
	// lost at all relays, and their watches wait on for a reply.
	It("does not hold up changes for more than two seconds", func() {
		Expect(virtually(func(f *fleet) error {
			for i := range f.daemons {
				f.kill(i)
			}
			var lost atomic.Bool
			f.launchWith = func(d *daemon, c *confsync.Config) {
				store := losingStore{domainStore{f.store, d}, &lost}
				c.Store, c.Reach, c.Detached = store, store.reach, func(bool) {}
			}
			f.launchAll()
			time.Sleep(inForce)
			lost.Store(true)
			time.Sleep(200 * time.Millisecond)
			o, err := f.store.Create(context.Background(), "services/a", []byte("first"))
			if err != nil {
				return err
			}
			time.Sleep(250 * time.Millisecond)
			lost.Store(false)
			time.Sleep(2 * time.Second)
			return f.check(o)
		})).To(Succeed())
	})
})
