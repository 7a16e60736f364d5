package confsync_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

const configurationKey = "configurations/main"

// accountsFleet is a fleet whose configuration has accounts. The store may refuse single
// daemons their reads, but not their watches.
type accountsFleet struct {
	*fleet
	stateMu sync.Mutex
	refused map[int]bool
	reads   map[int]int
	// acknowledged holds the versions of the configuration and when they were
	// acknowledged.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

type readStore struct {
	domainStore
	a *accountsFleet
}

func (s readStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.a.stateMu.Lock()
	s.a.reads[s.d.number]++
	refused := s.a.refused[s.d.number]
	s.a.stateMu.Unlock()
	if refused {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.domainStore.Get(ctx, key)
}

func (s readStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.a.stateMu.Lock()
	refused := s.a.refused[s.d.number]
	s.a.stateMu.Unlock()
	if refused {
		return nil, 0, platform.ErrUnavailable
	}
	return s.domainStore.List(ctx, prefix)
}

func (a *accountsFleet) refuse(numbers ...int) {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	a.refused = map[int]bool{}
	for _, n := range numbers {
		a.refused[n] = true
	}
}

func (a *accountsFleet) readsOf(number int) int {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	return a.reads[number]
}

// write writes the configuration.
func (a *accountsFleet) write() error {
	ctx := context.Background()
	o, err := a.store.Get(ctx, configurationKey)
	if err == nil {
		o, err = a.store.Update(ctx, configurationKey, o.Version, []byte("v"))
	} else {
		o, err = a.store.Create(ctx, configurationKey, []byte("v"))
	}
	a.acknowledged = append(a.acknowledged, acknowledgement{o.Version, time.Now()})
	return err
}

// confirms reports whether a daemon can confirm its configuration as it does for a
// request with a key.
func (a *accountsFleet) confirms(number int, maxAge time.Duration) bool {
	return a.daemons[number].confirms(maxAge)
}

func (d *daemon) confirms(maxAge time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return d.syncer.Confirm(ctx, maxAge)
}

// watchFor lets d pass, with a request with a key at each daemon every 100 ms, and
// returns an error if a daemon's age says that it knows of a version that it does not hold.
func (a *accountsFleet) watchFor(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, d := range a.daemons {
			go d.confirms(1500 * time.Millisecond)
			age, known := d.syncer.ConfirmedAge()
			held, _ := d.replica.Get(configurationKey)
			for _, w := range a.acknowledged {
				if known && w.at.Before(time.Now().Add(-age)) && held.Version < w.version {
					return errors.Newf("daemon %d claims an age of %v and holds version %d; %d was acknowledged %v ago",
						i, age, held.Version, w.version, time.Since(w.at))
				}
			}
		}
	}
	return nil
}

// runWithAccounts runs a scenario in a fleet with accounts. needed is false if no
// configuration has any.
func runWithAccounts(needed bool, scenario func(*accountsFleet) error) error {
	var err error
	synctest.Test(suiteT, func(*testing.T) {
		a := &accountsFleet{reads: map[int]int{}}
		start := time.Now()
		a.fleet = newFleetWith(func(d *daemon, c *confsync.Config) {
			c.Prefixes = append(c.Prefixes, "configurations/")
			c.Store = readStore{domainStore{d.f.store, d}, a}
			c.ConfigurationKey, c.NeedsConfirmation = configurationKey, func() bool { return needed }
			c.BootTime = func() time.Duration { return time.Since(start) }
		})
		if err = a.write(); err == nil {
			time.Sleep(changeBound)
			err = scenario(a)
		}
		a.killAll()
	})
	return err
}

var _ = Describe("The age of the configuration", func() {
	const target, limit = 1500 * time.Millisecond, 4500 * time.Millisecond
	// Relays are daemons 0 to 5; 32 and 35 are others of the domain fes.
	const other = 35

	// Guards against daemons that refuse requests in a sound fleet, and against reads of
	// the store by daemons that are no relays.
	It("is young at every daemon while only relays read the store", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			before := a.readsOf(0)
			if err := a.watchFor(20 * time.Second); err != nil {
				return err
			}
			for i := range a.daemons {
				if !a.confirms(i, target) {
					return errors.Newf("daemon %d cannot confirm", i)
				}
				if i > 5 && a.readsOf(i) > 0 {
					return errors.Newf("daemon %d made %d reads", i, a.readsOf(i))
				}
			}
			if reads := a.readsOf(0) - before; reads < 18 || reads > 22 {
				return errors.Newf("a relay made %d reads in 20 s", reads)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against cost where no account exists.
	It("costs no read where it is not needed", func() {
		Expect(runWithAccounts(false, func(a *accountsFleet) error {
			a.confirms(other, limit)
			time.Sleep(10 * time.Second)
			if n := a.readsOf(0) + a.readsOf(other); n > 0 {
				return errors.Newf("%d reads", n)
			}
			return nil
		})).To(Succeed())
	})

	// Guards against a host without contact that accepts revoked keys, because a fault
	// lets it take its knowledge for young; and against one that stays out of use.
	DescribeTable("grows while a daemon has no path to the store, and shrinks afterwards",
		func(cut func(*accountsFleet)) {
			Expect(runWithAccounts(true, func(a *accountsFleet) error {
				if err := a.watchFor(3 * time.Second); err != nil {
					return err
				}
				a.refuse(other)
				cut(a)
				cutAt := time.Now()
				if err := a.write(); err != nil {
					return err
				}
				if err := a.watchFor(6 * time.Second); err != nil {
					return err
				}
				if age, _ := a.daemons[other].syncer.ConfirmedAge(); age < time.Since(cutAt) {
					return errors.Newf("age %v, cut off for %v", age, time.Since(cutAt))
				}
				if a.confirms(other, limit) {
					return errors.New("the daemon confirms without a path to the store")
				}
				never := func(int, int) bool { return false }
				a.update(func() { a.blocked, a.replyLost = never, never })
				time.Sleep(2 * time.Second)
				if err := a.write(); err != nil {
					return err
				}
				time.Sleep(2 * time.Second)
				held, _ := a.daemons[other].replica.Get(configurationKey)
				if !a.confirms(other, target) || held.Version != a.acknowledged[2].version {
					return errors.New("the daemon does not confirm when it has a path again")
				}
				return nil
			})).To(Succeed())
		},
		Entry("all messages lost", func(a *accountsFleet) {
			a.update(func() { a.blocked = func(from, to int) bool { return from == other || to == other } })
		}),
		Entry("messages from it lost", func(a *accountsFleet) {
			a.update(func() { a.blocked = func(from, _ int) bool { return from == other } })
		}),
		Entry("replies to it lost", func(a *accountsFleet) {
			a.update(func() { a.replyLost = func(from, _ int) bool { return from == other } })
		}),
	)

	// Guards against a domain that stops because its relays still hear of changes while
	// the store refuses their reads.
	It("comes from another domain while the store refuses the reads of the own relays", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			a.refuse(2, 5, other)
			if err := a.watchFor(10 * time.Second); err != nil {
				return err
			}
			for i := range a.daemons {
				if !a.confirms(i, 2*time.Second) {
					return errors.Newf("daemon %d cannot confirm", i)
				}
			}
			return nil
		})).To(Succeed())
	})

	// Guards against a daemon that stops although it can read the store, and against one
	// that reads it for each request.
	It("comes from the store at most once per second if no relay answers", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			a.update(func() { a.blocked = func(from, _ int) bool { return from == other } })
			time.Sleep(time.Second)
			before := a.readsOf(other)
			if err := a.watchFor(10 * time.Second); err != nil {
				return err
			}
			if reads := a.readsOf(other) - before; reads < 5 || reads > 11 {
				return errors.Newf("%d reads in 10 s", reads)
			}
			if !a.confirms(other, 2*time.Second) {
				return errors.New("the daemon cannot confirm")
			}
			return nil
		})).To(Succeed())
	})

	// Guards against an age that survives a restart, and against waiting for the next
	// interval of a relay.
	It("is known at once after a restart of all daemons", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			a.killAll()
			a.launchAll()
			if _, known := a.daemons[other].syncer.ConfirmedAge(); known {
				return errors.New("the age is known without a read")
			}
			time.Sleep(2 * time.Second)
			for i := range a.daemons {
				if !a.confirms(i, target) {
					return errors.Newf("daemon %d cannot confirm", i)
				}
			}
			return nil
		})).To(Succeed())
	})

	// Guards against knowledge of a lost configuration that counts as current.
	It("counts for the restored configuration when the store has gone back", func() {
		Expect(runWithAccounts(true, func(a *accountsFleet) error {
			copied := a.store.Copy()
			if err := a.write(); err != nil {
				return err
			}
			time.Sleep(changeBound)
			a.store.Restore(copied)
			restored, err := a.store.Get(context.Background(), configurationKey)
			if err != nil {
				return err
			}
			a.acknowledged = []acknowledgement{{restored.Version, time.Now()}}
			if err := a.watchFor(5 * time.Second); err != nil {
				return err
			}
			return a.check(restored)
		})).To(Succeed())
	})
})

// TestListsOfAStartingDaemonConfirm guards against reads by all daemons of a fleet that
// has lost power, and against a stale list that counts as a confirmation.
func TestListsOfAStartingDaemonConfirm(t *testing.T) {
	for _, mode := range []confsync.DirectList{confsync.ListCurrent, confsync.ListStale} {
		synctest.Test(t, func(t *testing.T) {
			store := memstore.New()
			if _, err := store.Create(t.Context(), configurationKey, []byte("v")); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			s, err := confsync.New(confsync.Config{
				Prefixes: []string{"daemons/", "configurations/"}, RosterPrefix: "daemons/", Replica: confsync.NewReplica(), Store: store,
				Transport: noTransport{}, Peers: func() []confsync.Peer { return nil }, Relays: func(string) []confsync.Peer { return nil },
				Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), DirectList: func(int) confsync.DirectList { return mode },
				ConfigurationKey: configurationKey, NeedsConfirmation: func() bool { return true },
				BootTime: func() time.Duration { return time.Since(start) },
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); s.Run(ctx) }()
			time.Sleep(time.Second)
			age, known := s.ConfirmedAge()
			stop()
			<-done
			if known != (mode == confsync.ListCurrent) || age > time.Second {
				t.Errorf("mode %d: age %v, known %t", mode, age, known)
			}
		})
	}
}
