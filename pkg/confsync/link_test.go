package confsync_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
)

// refusingPlatform refuses some daemons while it serves the others. If silent is
// set, it does not answer them at all.
type refusingPlatform struct {
	mu       sync.Mutex
	refused  map[int]bool
	silent   bool
	detached map[int]bool
	calls    map[int]int
}

func (r *refusingPlatform) call(ctx context.Context, number int) error {
	r.mu.Lock()
	r.calls[number]++
	refused, silent := r.refused[number], r.silent
	r.mu.Unlock()
	switch {
	case !refused:
		return nil
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return platform.ErrUnavailable
}

// refusingStore is one daemon's access to a refusingPlatform.
type refusingStore struct {
	domainStore
	r *refusingPlatform
}

func (s refusingStore) List(ctx context.Context, p string) ([]platform.Object, uint64, error) {
	if err := s.r.call(ctx, s.d.number); err != nil {
		return nil, 0, err
	}
	return s.domainStore.List(ctx, p)
}

func (s refusingStore) Watch(ctx context.Context, p string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if err := s.r.call(ctx, s.d.number); err != nil {
		return nil, 0, err
	}
	// A refused daemon gets no results from its open watches.
	o, revision, err := s.domainStore.Watch(ctx, p, after, wait)
	if refusal := s.r.call(ctx, s.d.number); refusal != nil {
		return nil, 0, refusal
	}
	return o, revision, err
}

// relays returns the first daemon of a domain that is not detached from the platform.
func (r *refusingPlatform) relays(f *fleet) func(string) []confsync.Peer {
	return func(domain string) []confsync.Peer {
		r.mu.Lock()
		defer r.mu.Unlock()
		domainPeers := slices.DeleteFunc(f.peers(), func(p confsync.Peer) bool { return p.Domain != domain })
		for _, p := range domainPeers {
			var i int
			_, _ = fmt.Sscan(p.Address, &i)
			if !r.detached[i] {
				return []confsync.Peer{p}
			}
		}
		return domainPeers[:1]
	}
}

var _ = Describe("A platform that refuses some daemons", func() {
	// Guards against delayed changes when the relay of a domain cannot reach the
	// platform but other daemons of the domain can. When all three relays were
	// refused, an old configuration stayed in force for 9 s.
	DescribeTable("does not delay changes by more than two seconds", func(silent bool) {
		r := &refusingPlatform{refused: map[int]bool{}, silent: silent, detached: map[int]bool{}, calls: map[int]int{}}
		Expect(runWithFakeClock(func(f *fleet) error {
			for i := range f.daemons {
				f.kill(i)
			}
			f.configure = func(d *daemon, c *confsync.Config) {
				c.Store = refusingStore{domainStore{f.store, d}, r}
				c.Relays = r.relays(f)
				c.ProbePlatform = func(ctx context.Context) error { return r.call(ctx, d.number) }
				c.OnDetached = func(detached bool) {
					r.mu.Lock()
					defer r.mu.Unlock()
					r.detached[d.number] = detached
				}
			}
			f.launchAll()
			time.Sleep(changeBound)
			r.mu.Lock()
			for i := range 7 { // the relays of all domains and their first successors
				r.refused[i] = true
			}
			r.mu.Unlock()
			time.Sleep(time.Second)
			o, err := f.store.Create(context.Background(), "services/a", []byte("first"))
			if err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			if err := f.check(o); err != nil {
				return err
			}
			r.mu.Lock()
			r.refused = map[int]bool{}
			r.mu.Unlock()
			time.Sleep(3 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			for i, detached := range r.detached {
				if detached {
					return errors.Newf("daemon %d is still detached from the platform", i)
				}
			}
			return nil
		})).To(Succeed())
	},
		Entry("with refused calls", false),
		Entry("with unanswered calls", true),
	)
})
