package registration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"shallotglade/pkg/platform"
)

// List implements platform.Store.
func (s *fakeStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.objects)), s.revision, nil
}

// TestLookupListsManyEntries guards against a fleet that takes half a minute to connect after a
// loss of power: all keys are new, and the entries were read one by one, four a second.
func TestLookupListsManyEntries(t *testing.T) {
	const daemons = 60
	d := newLookupDaemon()
	lists := 0
	d.lookup.ApplyList = func(objects []platform.Object, _ uint64) {
		lists++
		for _, o := range objects {
			var m platform.Member
			if err := json.Unmarshal(o.Value, &m); err == nil {
				d.setKnownID(m.Host, m.ID)
			}
		}
	}
	for i := range daemons {
		d.setKnownID(fmt.Sprint("h", i), fmt.Sprintf("h%d.former", i))
		d.writeEntry(fmt.Sprint("h", i), fmt.Sprintf("h%d.now", i))
	}
	d.runDuring(t, func() {
		for i := range daemons - 1 {
			d.lookup.Request(fmt.Sprintf("h%d.now", i))
		}
		d.lookup.Request("unregistered.now")
		time.Sleep(5 * time.Second)
	})
	for i := range daemons {
		if id := d.knownIDs[fmt.Sprint("h", i)]; id != fmt.Sprintf("h%d.now", i) {
			t.Fatalf("daemon %d is known as %s", i, id)
		}
	}
	if lists != 1 || d.store.reads > 3 || len(d.found) == 0 || len(d.found) > 5 {
		t.Fatalf("%d lists, %d single reads, found %v", lists, d.store.reads, d.found)
	}
}
