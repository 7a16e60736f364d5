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

// replyLosingStore is a platform that loses replies while losing is set. Nothing more
// arrives on the connection of a lost reply.
type replyLosingStore struct {
	domainStore
	losing *atomic.Bool
}

// watchReplyTimeout is how long a client waits for the reply to a watch.
const watchReplyTimeout = 15 * time.Second

func (s replyLosingStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	o, revision, err := s.domainStore.Watch(ctx, p, after, wait)
	if s.losing.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(watchReplyTimeout):
		}
		return nil, after, platform.ErrUnavailable
	}
	return o, revision, err
}

func (s replyLosingStore) reach(ctx context.Context) error {
	if s.losing.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

var _ = Describe("A platform that loses replies", func() {
	// Guards against a delayed change when all relays lost the watch replies that contain
	// it and their watches keep waiting for a reply.
	It("does not delay changes by more than two seconds", func() {
		Expect(runWithFakeClock(func(f *fleet) error {
			for i := range f.daemons {
				f.kill(i)
			}
			var losing atomic.Bool
			f.configure = func(d *daemon, c *confsync.Config) {
				store := replyLosingStore{domainStore{f.store, d}, &losing}
				c.Store, c.ProbePlatform, c.OnDetached = store, store.reach, func(bool) {}
			}
			f.launchAll()
			time.Sleep(changeBound)
			losing.Store(true)
			time.Sleep(200 * time.Millisecond)
			o, err := f.store.Create(context.Background(), "services/a", []byte("first"))
			if err != nil {
				return err
			}
			time.Sleep(250 * time.Millisecond)
			losing.Store(false)
			time.Sleep(2 * time.Second)
			return f.check(o)
		})).To(Succeed())
	})
})
