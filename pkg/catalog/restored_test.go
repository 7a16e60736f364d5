package catalog_test

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/telemetry"
)

// TestRestoredStoreReplacesWhatIsInForce guards against a daemon that keeps documents,
// configurations and records which the store has lost, because the revisions of the
// restored ones are lower, and against one that keeps upstreams that have vanished.
func TestRestoredStoreReplacesWhatIsInForce(t *testing.T) {
	ctx, store, replica := context.Background(), memstore.New(), confsync.NewReplica()
	board := blackboard.New("d1", "fes")
	c := catalog.New(board, zerolog.Nop(), telemetry.NewMetrics())
	replica.OnChange(c.Stage)
	replica.OnBatch(c.Flush)
	put := func(o platform.Object) {
		t.Helper()
		_, err := store.Create(ctx, o.Key, o.Value)
		if current, getErr := store.Get(ctx, o.Key); err != nil && getErr == nil {
			_, err = store.Update(ctx, o.Key, current.Version, o.Value)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	put(recordObject("s", 1, "u1"))
	put(documentObject("s", 1, "service: s\nfloor: {share: 50%}\nhomes: {perDomain: 2}"))
	put(upstreamObject("u1", "s", 1))
	put(upstreamObject("u2", "s", 1))
	copied := store.Copy()
	put(documentObject("s", 1, "service: s\nfloor: {share: 50%}\nhomes: {perDomain: 3}"))
	put(documentObject("lost", 1, "service: lost"))
	put(recordObject("s", 1, "u2"))
	put(upstreamObject("u3", "s", 1))
	apply := func() {
		t.Helper()
		objects, revision, err := store.List(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		replica.ApplyList("", objects, revision)
	}
	apply()
	before, _ := replica.Get(document.ServicesPrefix + "s")
	store.Restore(copied)
	apply()
	after, _ := replica.Get(document.ServicesPrefix + "s")
	_, revisionBefore := platform.SplitVersion(before.Version)
	if _, revision := platform.SplitVersion(after.Version); revision >= revisionBefore || after.Version <= before.Version {
		t.Fatalf("version %d after %d", after.Version, before.Version)
	}
	s, _ := board.Service("s")
	if n := s.Document().Homes.PerDomain; n != 2 {
		t.Errorf("the document that was lost is in force, with %d homes", n)
	}
	if got := standings(board, "s"); len(got) != 2 || got["u1"] != "ejected" || got["u2"] != "normal" {
		t.Errorf("upstreams %v", got)
	}
	if _, found := board.Service("lost"); found {
		t.Error("a service that vanished is in force")
	}
}

// TestRestoredStoreReplacesTheConfiguration guards against the same for a whole
// configuration.
func TestRestoredStoreReplacesTheConfiguration(t *testing.T) {
	board := blackboard.New("d1", "fes")
	c := catalog.New(board, zerolog.Nop(), telemetry.NewMetrics())
	configure := func(era, revision uint64, services ...string) {
		configuration := document.Configuration{Version: revision}
		for _, name := range services {
			configuration.Services = append(configuration.Services, document.New(name))
		}
		value, err := configuration.Encode()
		if err != nil {
			t.Fatal(err)
		}
		version, err := platform.VersionOf(era, revision)
		if err != nil {
			t.Fatal(err)
		}
		c.Apply(platform.Object{Key: document.ConfigurationsPrefix + "main", Version: version, Value: value})
	}
	configure(0, 9, "new")
	configure(1, 4, "old")
	configure(0, 10, "late")
	for name, want := range map[string]bool{"old": true, "new": false, "late": false} {
		if _, found := board.Service(name); found != want {
			t.Errorf("service %s in force: %t", name, found)
		}
	}
}
