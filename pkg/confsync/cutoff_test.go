package confsync_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"shallotglade/pkg/confsync"
)

// every returns the numbers from first to below size, step apart.
func every(first, step, size int) (numbers []int) {
	for i := first; i < size; i += step {
		numbers = append(numbers, i)
	}
	return numbers
}

// TestDaemonsCutOffTogetherGetChanges guards against taking the answers of daemons that are cut off too for contact with
// the platform.
func TestDaemonsCutOffTogetherGetChanges(t *testing.T) {
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

// restartBound is the time after its start within which the users expect a daemon to be up to date.
const restartBound = 3 * time.Second

// TestFirstDaemonsOfARestartGetAChangeMadeMeanwhile guards against daemons that list the platform right before a change and
// are refused by all that start after it.
func TestFirstDaemonsOfARestartGetAChangeMadeMeanwhile(t *testing.T) {
	first := every(50, 3, 96)
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithStandbys(96, func(d *daemon, c *confsync.Config) {
			nearPeersOnly(d, c)
			c.RosterPrefix, c.DirectList = "services/", func(int) confsync.DirectList { return confsync.ListCurrent }
		})
		defer f.killAll()
		time.Sleep(changeBound)
		f.killAll()
		f.update(func() {
			f.blocked = func(from, to int) bool { return slices.Contains(first, from) != slices.Contains(first, to) }
		})
		start := func(numbers ...int) {
			for _, i := range numbers {
				d := f.launch(i)
				f.update(func() { f.daemons[i] = d })
			}
		}
		start(first...)
		time.Sleep(50 * time.Millisecond)
		o, err := f.store.Create(context.Background(), "services/a", []byte("v"))
		if err != nil {
			t.Fatal(err)
		}
		for i := range f.daemons {
			if !slices.Contains(first, i) {
				start(i)
			}
		}
		time.Sleep(restartBound)
		if err := f.check(o); err != nil {
			t.Error(err)
		}
	})
}
