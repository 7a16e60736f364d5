package daemon

import (
	"testing"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/settings"
)

// TestDirectList guards against restarts that exceed the platform's limit on reads, and against
// large fleets whose daemons wait for each other.
func TestDirectList(t *testing.T) {
	for _, c := range []struct {
		daemons int
		first   bool
		want    confsync.DirectList
	}{
		{100, true, confsync.FromPeers}, {300, true, confsync.ListStale},
		{100, false, confsync.ListCurrent}, {300, false, confsync.ListStaleEntries}, {1600, false, confsync.FromPeers},
	} {
		d := &Daemon{settings: &settings.Settings{FirstStart: c.first}, adapter: Adapter{SelfRegistration: true}}
		d.settings.Platform.ReadsPerSecond = 2000
		if got := d.directList(c.daemons); got != c.want {
			t.Errorf("%d daemons, first start %t: %d, want %d", c.daemons, c.first, got, c.want)
		}
	}
}

// TestNoPeersBeforeTheRoster guards against starting daemons that all dial the seeds of their
// settings ten times a second, in handshakes that cannot succeed: no daemon knows a key yet.
func TestNoPeersBeforeTheRoster(t *testing.T) {
	d := &Daemon{adapter: Adapter{SelfRegistration: true}, settings: &settings.Settings{Peers: settings.Peers{
		Trust: settings.TrustRegistered, Seeds: []settings.Seed{{Address: "10.0.0.1:7400", Domain: "fes"}},
	}}}
	r := &roster{d: d}
	if peers := r.syncPeers(); len(peers) > 0 {
		t.Fatalf("peers %v before the list of daemons is known", peers)
	}
	d.rosterLoaded.Store(true)
	if peers := r.syncPeers(); len(peers) != 1 {
		t.Fatalf("peers %v, want the seed", peers)
	}
}
