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
	fakeStore
	reads int
}

func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	s.reads++
	err, _ := s.nextError()
	s.mu.Unlock()
	if err != nil {
		return platform.Object{}, err
	}
	return s.fakeStore.Get(ctx, key)
}

// lookupDaemon is a daemon that looks up the entries of other daemons.
type lookupDaemon struct {
	store  countingStore
	lookup registration.Lookup

	mu       sync.Mutex
	knownIDs map[string]string
	found    []string
}

func newLookupDaemon() *lookupDaemon {
	d := &lookupDaemon{knownIDs: map[string]string{}}
	d.store.objects = map[string]platform.Object{}
	d.lookup = registration.Lookup{
		Store: &d.store, Log: zerolog.Nop(),
		LocalID: func(host string) string {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.knownIDs[host]
		},
		Apply: func(o platform.Object) {
			var m platform.Member
			if err := json.Unmarshal(o.Value, &m); err == nil {
				d.setKnownID(m.Host, m.ID)
			}
		},
		OnFound: func(m platform.Member) { d.found = append(d.found, m.ID) },
	}
	return d
}

func (d *lookupDaemon) setKnownID(host, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knownIDs[host] = id
}

func (d *lookupDaemon) writeEntry(host, id string) {
	value, err := json.Marshal(platform.Member{ID: id, Host: host})
	if err != nil {
		panic(err)
	}
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.put(registration.Key(host), value)
}

// runDuring runs the lookup while f runs, with a fake clock.
func (d *lookupDaemon) runDuring(t *testing.T, f func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d.lookup.Provision()
		ctx, cancel := context.WithCancel(t.Context())
		go d.lookup.Run(ctx)
		f()
		cancel()
		synctest.Wait()
	})
}

// TestLookupFindsRestartedDaemon guards against a daemon that keeps the entry of a
// previous process forever, because it refuses the daemons that could send the new one.
func TestLookupFindsRestartedDaemon(t *testing.T) {
	d := newLookupDaemon()
	d.setKnownID("h1", "h1.former")
	d.writeEntry("h1", "h1.now")
	d.runDuring(t, func() {
		d.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if d.knownIDs["h1"] != "h1.now" || len(d.found) != 1 {
		t.Fatalf("known ids %v, found %v", d.knownIDs, d.found)
	}
}

// TestLookupSkipsEntryThatArrivesFromPeers guards against platform reads after every
// start of a daemon, although other daemons send its entry shortly afterwards.
func TestLookupSkipsEntryThatArrivesFromPeers(t *testing.T) {
	d := newLookupDaemon()
	d.writeEntry("h1", "h1.now")
	d.runDuring(t, func() {
		d.lookup.Request("h1.now")
		time.Sleep(150 * time.Millisecond)
		d.setKnownID("h1", "h1.now")
		time.Sleep(time.Second)
	})
	if d.store.reads != 0 {
		t.Fatalf("%d reads", d.store.reads)
	}
}

// TestLookupLimitsReadsForDaemonWithoutEntry guards against one read per handshake
// of a daemon that has not written its entry yet, and against giving up on it
// permanently.
func TestLookupLimitsReadsForDaemonWithoutEntry(t *testing.T) {
	d := newLookupDaemon()
	reads := 0
	d.runDuring(t, func() {
		for range 100 {
			d.lookup.Request("h1.now")
			time.Sleep(50 * time.Millisecond)
		}
		reads = d.store.reads
		d.writeEntry("h1", "h1.now")
		time.Sleep(time.Second)
		d.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if reads < 2 || reads > 5 {
		t.Fatalf("%d reads in 5 s", reads)
	}
	if d.knownIDs["h1"] != "h1.now" {
		t.Fatalf("known ids %v", d.knownIDs)
	}
}

// TestLookupLimitsReadsOfOutdatedEntry guards against one read per handshake if the
// local copy of the entry is newer than the one that is read.
func TestLookupLimitsReadsOfOutdatedEntry(t *testing.T) {
	d := newLookupDaemon()
	d.writeEntry("h1", "h1.now")
	d.lookup.Apply = func(platform.Object) {}
	d.runDuring(t, func() {
		for range 100 {
			d.lookup.Request("h1.now")
			time.Sleep(50 * time.Millisecond)
		}
	})
	if d.store.reads > 5 || len(d.found) > 0 {
		t.Fatalf("%d reads in 5 s, found %v", d.store.reads, d.found)
	}
}

// TestLookupLimitsReadsPerHost guards against a peer that causes one read for each id
// that it puts into a certificate.
func TestLookupLimitsReadsPerHost(t *testing.T) {
	d := newLookupDaemon()
	d.writeEntry("h1", "h1.now")
	d.runDuring(t, func() {
		for i := range 100 {
			d.lookup.Request(fmt.Sprintf("h1.%d", i))
			time.Sleep(50 * time.Millisecond)
		}
	})
	if d.store.reads > 5 {
		t.Fatalf("%d reads in 5 s", d.store.reads)
	}
}

// TestLookupAppliesEntryOfLaterStart guards against discarding an entry because the
// daemon has started again since it was refused.
func TestLookupAppliesEntryOfLaterStart(t *testing.T) {
	d := newLookupDaemon()
	d.setKnownID("h1", "h1.former")
	d.writeEntry("h1", "h1.later")
	d.runDuring(t, func() {
		d.lookup.Request("h1.now")
		time.Sleep(time.Second)
	})
	if d.knownIDs["h1"] != "h1.later" || len(d.found) != 1 {
		t.Fatalf("known ids %v, found %v", d.knownIDs, d.found)
	}
}

// TestLookupRetriesAfterStoreError guards against a daemon that stays unknown because
// one read failed.
func TestLookupRetriesAfterStoreError(t *testing.T) {
	d := newLookupDaemon()
	d.writeEntry("h1", "h1.now")
	d.store.errs = []error{errors.New("unavailable")}
	d.runDuring(t, func() {
		for range 10 {
			d.lookup.Request("h1.now")
			time.Sleep(250 * time.Millisecond)
		}
	})
	if d.knownIDs["h1"] != "h1.now" || d.store.reads != 2 {
		t.Fatalf("known ids %v after %d reads", d.knownIDs, d.store.reads)
	}
}

// TestLookupRetriesWithoutNewRequest guards against a daemon that stays refused
// until it connects again, because the first read of its entry failed or happened
// before the entry was written.
func TestLookupRetriesWithoutNewRequest(t *testing.T) {
	for name, missing := range map[string]bool{"read failed": false, "entry not written yet": true} {
		d := newLookupDaemon()
		if !missing {
			d.writeEntry("h1", "h1.now")
			d.store.errs = []error{platform.ErrUnavailable}
		}
		d.runDuring(t, func() {
			d.lookup.Request("h1.now")
			time.Sleep(500 * time.Millisecond)
			if missing {
				d.writeEntry("h1", "h1.now")
			}
			time.Sleep(1500 * time.Millisecond)
		})
		if d.knownIDs["h1"] != "h1.now" || d.store.reads != 2 {
			t.Errorf("%s: known ids %v after %d reads", name, d.knownIDs, d.store.reads)
		}
	}
}

// TestLookupKeepsRequestWithinRetryInterval guards against a daemon that starts twice
// within a second and stays refused until it connects again.
func TestLookupKeepsRequestWithinRetryInterval(t *testing.T) {
	d := newLookupDaemon()
	d.writeEntry("h1", "h1.first")
	d.runDuring(t, func() {
		d.lookup.Request("h1.first")
		time.Sleep(500 * time.Millisecond)
		d.writeEntry("h1", "h1.second")
		d.lookup.Request("h1.second")
		time.Sleep(1500 * time.Millisecond)
	})
	if d.knownIDs["h1"] != "h1.second" || d.store.reads != 2 {
		t.Fatalf("known ids %v after %d reads", d.knownIDs, d.store.reads)
	}
}

// TestLookupDropsRequestWithoutEntry guards against unlimited reads for an id that a
// peer made up, or for a daemon that has exited.
func TestLookupDropsRequestWithoutEntry(t *testing.T) {
	d := newLookupDaemon()
	d.runDuring(t, func() {
		d.lookup.Request("h1.now")
		time.Sleep(time.Minute)
	})
	if d.store.reads < 2 || d.store.reads > 10 {
		t.Fatalf("%d reads in a minute", d.store.reads)
	}
}

// TestLookupCountsListsAsReads guards against reading the entries of stopping daemons, which a
// list has just shown to be deleted, one by one, while a started daemon waits behind them.
func TestLookupCountsListsAsReads(t *testing.T) {
	d := newLookupDaemon()
	lists := 0
	d.lookup.ApplyList = func(objects []platform.Object, _ uint64) {
		lists++
		for _, o := range objects {
			d.lookup.Apply(o)
		}
	}
	d.runDuring(t, func() {
		for i := range 8 {
			d.lookup.Request(fmt.Sprintf("stopping%d.a", i))
		}
		time.Sleep(300 * time.Millisecond)
		d.writeEntry("started", "started.a")
		d.lookup.Request("started.a")
		time.Sleep(10 * time.Second)
	})
	if d.knownIDs["started"] != "started.a" || d.store.reads+lists > 6 {
		t.Fatalf("known ids %v after %d reads and %d lists", d.knownIDs, d.store.reads, lists)
	}
}
