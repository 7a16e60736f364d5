package registration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
)

// countingStore counts the reads of entries.
type countingStore struct {
	store
	reads int
}

func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	s.reads++
	err, _ := s.failing()
	s.mu.Unlock()
	if err != nil {
		return platform.Object{}, err
	}
	return s.store.Get(ctx, key)
}

// asker is a daemon that looks others up.
type asker struct {
	store  countingStore
	lookup registration.Lookup

	mu    sync.Mutex
	held  map[string]string
	found []string
}

func newAsker() *asker {
	a := &asker{held: map[string]string{}}
	a.store.objects = map[string]platform.Object{}
	a.lookup = registration.Lookup{
		Store: &a.store, Log: zerolog.Nop(),
		Held: func(host string) string {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.held[host]
		},
		Apply: func(o platform.Object) {
			var m platform.Member
			if err := json.Unmarshal(o.Value, &m); err == nil {
				a.hold(m.Host, m.ID)
			}
		},
		Found: func(m platform.Member) { a.found = append(a.found, m.ID) },
	}
	return a
}

func (a *asker) hold(host, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[host] = id
}

func (a *asker) enter(host, id string) {
	value, err := json.Marshal(platform.Member{ID: id, Host: host})
	if err != nil {
		panic(err)
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.store.put(registration.Key(host), value)
}

// during runs the lookup while f runs, under a fake clock.
func (a *asker) during(t *testing.T, f func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a.lookup.Provision()
		ctx, cancel := context.WithCancel(t.Context())
		go a.lookup.Run(ctx)
		f()
		cancel()
		synctest.Wait()
	})
}

// TestLookupFindsADaemonThatStartedAgain guards against a daemon that holds the
// entry of a former start for good, since it refuses whoever could bring a newer one.
func TestLookupFindsADaemonThatStartedAgain(t *testing.T) {
	a := newAsker()
	a.hold("h1", "h1.former")
	a.enter("h1", "h1.now")
	a.during(t, func() {
		a.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if a.held["h1"] != "h1.now" || len(a.found) != 1 {
		t.Fatalf("held %v, found %v", a.held, a.found)
	}
}

// TestLookupLeavesEntriesThatArriveAnyway guards against reads at the platform after
// every start of a daemon, whose entry other daemons bring a moment later.
func TestLookupLeavesEntriesThatArriveAnyway(t *testing.T) {
	a := newAsker()
	a.enter("h1", "h1.now")
	a.during(t, func() {
		a.lookup.Request("h1.now")
		time.Sleep(150 * time.Millisecond)
		a.hold("h1", "h1.now")
		time.Sleep(time.Second)
	})
	if a.store.reads != 0 {
		t.Fatalf("%d reads", a.store.reads)
	}
}

// TestLookupIsBoundedForADaemonWithoutEntry guards against a read for each handshake
// of a daemon that has not entered itself, and against giving it up for good.
func TestLookupIsBoundedForADaemonWithoutEntry(t *testing.T) {
	a := newAsker()
	reads := 0
	a.during(t, func() {
		for range 100 {
			a.lookup.Request("h1.now")
			time.Sleep(50 * time.Millisecond)
		}
		reads = a.store.reads
		a.enter("h1", "h1.now")
		time.Sleep(time.Second)
		a.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if reads < 2 || reads > 5 {
		t.Fatalf("%d reads in 5 s", reads)
	}
	if a.held["h1"] != "h1.now" {
		t.Fatalf("held %v", a.held)
	}
}

// TestLookupIsBoundedForAnEntryThatIsNotTaken guards against a read for each handshake
// where a newer state of the entry is held than the one that is read.
func TestLookupIsBoundedForAnEntryThatIsNotTaken(t *testing.T) {
	a := newAsker()
	a.enter("h1", "h1.now")
	a.lookup.Apply = func(platform.Object) {}
	a.during(t, func() {
		for range 100 {
			a.lookup.Request("h1.now")
			time.Sleep(50 * time.Millisecond)
		}
	})
	if a.store.reads > 5 || len(a.found) > 0 {
		t.Fatalf("%d reads in 5 s, found %v", a.store.reads, a.found)
	}
}

// TestLookupIsBoundedForIDsOfOneHost guards against a peer that makes this daemon read
// once for each id that it puts in a certificate.
func TestLookupIsBoundedForIDsOfOneHost(t *testing.T) {
	a := newAsker()
	a.enter("h1", "h1.now")
	a.during(t, func() {
		for i := range 100 {
			a.lookup.Request(fmt.Sprintf("h1.%d", i))
			time.Sleep(50 * time.Millisecond)
		}
	})
	if a.store.reads > 5 {
		t.Fatalf("%d reads in 5 s", a.store.reads)
	}
}

// TestLookupTakesALaterStart guards against an entry that is thrown away because the
// daemon has started once more since it was refused.
func TestLookupTakesALaterStart(t *testing.T) {
	a := newAsker()
	a.hold("h1", "h1.former")
	a.enter("h1", "h1.later")
	a.during(t, func() {
		a.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if a.held["h1"] != "h1.later" || len(a.found) != 1 {
		t.Fatalf("held %v, found %v", a.held, a.found)
	}
}

// TestLookupReadsAgainAfterTheStoreFailed guards against a daemon that stays unknown
// because one read failed.
func TestLookupReadsAgainAfterTheStoreFailed(t *testing.T) {
	a := newAsker()
	a.enter("h1", "h1.now")
	a.store.fail = []error{errors.New("away")}
	a.during(t, func() {
		for range 10 {
			a.lookup.Request("h1.now")
			time.Sleep(250 * time.Millisecond)
		}
	})
	if a.held["h1"] != "h1.now" || a.store.reads != 2 {
		t.Fatalf("held %v after %d reads", a.held, a.store.reads)
	}
}

// TestLookupReadsAgainByItself guards against a daemon that refuses another one until
// it happens to be called again: the first read failed, or came before the entry.
func TestLookupReadsAgainByItself(t *testing.T) {
	for name, missing := range map[string]bool{"read failed": false, "not entered yet": true} {
		a := newAsker()
		if !missing {
			a.enter("h1", "h1.now")
			a.store.fail = []error{platform.ErrUnavailable}
		}
		a.during(t, func() {
			a.lookup.Request("h1.now")
			time.Sleep(500 * time.Millisecond)
			if missing {
				a.enter("h1", "h1.now")
			}
			time.Sleep(1500 * time.Millisecond)
		})
		if a.held["h1"] != "h1.now" || a.store.reads != 2 {
			t.Errorf("%s: held %v after %d reads", name, a.held, a.store.reads)
		}
	}
}

// TestLookupKeepsARequestThatComesTooSoon guards against a daemon that starts twice
// within a second and stays refused until it happens to call again.
func TestLookupKeepsARequestThatComesTooSoon(t *testing.T) {
	a := newAsker()
	a.enter("h1", "h1.first")
	a.during(t, func() {
		a.lookup.Request("h1.first")
		time.Sleep(500 * time.Millisecond)
		a.enter("h1", "h1.second")
		a.lookup.Request("h1.second")
		time.Sleep(1500 * time.Millisecond)
	})
	if a.held["h1"] != "h1.second" || a.store.reads != 2 {
		t.Fatalf("held %v after %d reads", a.held, a.store.reads)
	}
}

// TestLookupGivesUpAnIDWithoutEntry guards against reads without end for an id that a
// peer made up, or for a daemon that has ended.
func TestLookupGivesUpAnIDWithoutEntry(t *testing.T) {
	a := newAsker()
	a.during(t, func() {
		a.lookup.Request("h1.now")
		time.Sleep(time.Minute)
	})
	if a.store.reads < 2 || a.store.reads > 10 {
		t.Fatalf("%d reads in a minute", a.store.reads)
	}
}
