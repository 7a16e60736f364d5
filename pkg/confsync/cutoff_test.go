package confsync_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"shallotglade/pkg/confsync"
)

// TestDaemonsCutOffTogetherGetChanges guards against taking the answers of daemons that are cut off too for contact with
// the platform.
func TestDaemonsCutOffTogetherGetChanges(t *testing.T) {
	every := func(first, step, size int) (group []int) {
		for i := first; i < size; i += step {
			group = append(group, i)
		}
		return group
	}
	for name, c := range map[string]struct {
		group []int
		fleet func() *fleet
	}{
		"two of one domain":                             {[]int{32, 35}, newFleet},
		"three of one domain":                           {[]int{29, 32, 35}, newFleet},
		"all of a domain but its relays":                {every(8, 3, defaultSize), newFleet},
		"half of a domain with one relay":               {every(50, 3, 96), func() *fleet { return newFleetWithStandbys(96, nil) }},
		"half of a domain, partners only of each other": {every(50, 3, 96), func() *fleet { return newFleetWithStandbys(96, nearPeersOnly) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := c.fleet()
				defer f.killAll()
				time.Sleep(changeBound)
				f.update(func() {
					f.blocked = func(from, to int) bool { return slices.Contains(c.group, from) != slices.Contains(c.group, to) }
				})
				time.Sleep(changeBound)
				for _, key := range []string{"services/a", "services/b", "services/c"} {
					o, err := f.store.Create(context.Background(), key, []byte("v"))
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(applyTarget)
					if err := f.check(o); err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// nearPeersOnly makes each daemon prefer comparisons with the next two of its domain.
func nearPeersOnly(d *daemon, c *confsync.Config) {
	c.ConnectedPeers = func() []confsync.Peer {
		size := len(d.f.daemons)
		peers := d.f.peers()
		return []confsync.Peer{peers[(d.number+3)%size], peers[(d.number+6)%size]}
	}
}
