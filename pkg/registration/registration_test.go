package registration_test

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
)

func TestRegistration(t *testing.T) { testkit.RunSpecs(t, "registration") }

// store keeps objects in memory. fail is returned by the next calls instead of
// their result; with late set the call takes effect all the same.
type store struct {
	platform.Store

	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object
	fail     []error
	late     bool
}

func (s *store) failing() (err error, effect bool) {
	if len(s.fail) == 0 {
		return nil, true
	}
	err = s.fail[0]
	s.fail = s.fail[1:]
	return err, s.late
}

func (s *store) put(key string, value []byte) platform.Object {
	s.revision++
	o := platform.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	return o
}

func (s *store) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *store) Create(_ context.Context, key string, value []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, effect := s.failing()
	if _, ok := s.objects[key]; ok && effect {
		return platform.Object{}, platform.ErrConflict
	}
	if effect {
		o := s.put(key, value)
		if err == nil {
			return o, nil
		}
	}
	return platform.Object{}, err
}

func (s *store) Update(_ context.Context, key string, version uint64, value []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return platform.Object{}, platform.ErrConflict
	}
	return s.put(key, value), nil
}

func (s *store) Delete(_ context.Context, key string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *store) entries() map[string]platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

var _ = Describe("Registration", func() {
	var (
		platformStore *store
		controller    *registration.Controller
	)
	key := registration.Key("h1")
	BeforeEach(func() {
		platformStore = &store{objects: map[string]platform.Object{}}
		controller = &registration.Controller{
			Store: platformStore, Log: zerolog.Nop(),
			Self: platform.Member{ID: registration.NewID("h1"), Host: "h1", Role: platform.RoleDaemon, PeerKey: "k"},
		}
		controller.Provision()
	})
	run := func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); controller.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}
	registered := func() string {
		var m platform.Member
		if o, ok := platformStore.entries()[key]; ok {
			Expect(json.Unmarshal(o.Value, &m)).To(Succeed())
		}
		return m.ID
	}

	// Guards against a daemon that starts again and stays unknown, because the
	// entry of its earlier start is still there.
	It("replaces the entry of an earlier start on the host", func() {
		platformStore.put(key, []byte(`{"id":"h1.earlier"}`))
		run()
		Eventually(registered).Should(Equal(controller.Self.ID))
		Expect(platformStore.entries()).To(HaveLen(1))
	})

	// Guards against a daemon that stays unknown after the platform was away when
	// it started.
	It("tries again until the entry is written", func() {
		platformStore.fail = []error{errors.New("away"), errors.New("away")}
		run()
		Eventually(registered, 3*time.Second).Should(Equal(controller.Self.ID))
	})

	// Guards against an endless loop of updates when a create took effect and its
	// answer was lost.
	It("takes its own entry for written when the reply was lost", func() {
		platformStore.fail, platformStore.late = []error{errors.New("reply lost")}, true
		run()
		Eventually(registered).Should(Equal(controller.Self.ID))
		Consistently(func() uint64 { return platformStore.entries()[key].Version }, 500*time.Millisecond).Should(BeEquivalentTo(1))
	})

	// Guards against a live daemon without an entry, after another daemon took it
	// for dead and removed the entry.
	It("writes the entry again when it was removed while the daemon lives", func() {
		run()
		Eventually(registered).Should(Equal(controller.Self.ID))
		o := platformStore.entries()[key]
		Expect(platformStore.Delete(context.Background(), key, o.Version)).To(Succeed())
		controller.Seen(platform.Object{Key: key, Version: o.Version + 1, Deleted: true})
		Eventually(registered).Should(Equal(controller.Self.ID))
	})

	// Guards against the entry of a daemon that has left, and against a daemon
	// that removes the entry of its own next start.
	It("removes its own entry when it leaves, and no later one", func() {
		run()
		Eventually(registered).Should(Equal(controller.Self.ID))
		controller.Leave(context.Background())
		Eventually(platformStore.entries).Should(BeEmpty())
		platformStore.put(key, []byte(`{"id":"h1.next"}`))
		controller.Leave(context.Background())
		Expect(registered()).To(Equal("h1.next"))
	})
})
