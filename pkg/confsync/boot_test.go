package confsync_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// formerList answers stale lists as of before a daemon left.
type formerList struct {
	*memstore.Store
	former []platform.Object
}

func (s formerList) ListStale(context.Context, string) ([]platform.Object, uint64, error) {
	return s.former, 1, nil
}

// TestStartDoesNotUseDaemonsOfAStaleList guards against daemons that have left and are
// relays and homes at a daemon that starts, since a stale list still named them.
func TestStartDoesNotUseDaemonsOfAStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roster = "daemons/"
		store := memstore.New()
		if _, err := store.Create(t.Context(), roster+"here", []byte("v")); err != nil {
			t.Fatal(err)
		}
		replica := confsync.NewReplica()
		used := map[string]bool{}
		replica.OnChange(func(o platform.Object) { used[o.Key] = used[o.Key] || !o.Deleted })
		none := func() []confsync.Peer { return nil }
		s, err := confsync.New(confsync.Config{
			Prefixes: []string{roster}, Replica: replica, Transport: noTransport{}, Peers: none, Log: zerolog.Nop(),
			Store:  formerList{store, []platform.Object{{Key: roster + "left", Version: 1, Value: []byte("v")}}},
			Relays: func(string) []confsync.Peer { return nil }, Rand: rand.New(rand.NewPCG(1, 2)), Roster: roster, Alone: 10,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); s.Run(ctx) }()
		time.Sleep(time.Second)
		stop()
		<-ended
		if !s.Ready() || !used[roster+"here"] || used[roster+"left"] {
			t.Fatalf("ready %t, used %v", s.Ready(), used)
		}
	})
}

// staleView answers stale lists with the state of before all writes, under the
// revision that the store has by now.
type staleView struct{ *memstore.Store }

func (s staleView) ListStale(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	_, revision, err := s.List(ctx, prefix)
	return nil, revision, err
}

// TestStartDeletesNothingByAStaleList guards against a daemon that takes another one for
// gone, and makes the others do so, since a list from seconds ago does not name it.
func TestStartDeletesNothingByAStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roster = "daemons/"
		store := memstore.New()
		entry, err := store.Create(t.Context(), roster+"new", []byte("v"))
		if err != nil {
			t.Fatal(err)
		}
		replica := confsync.NewReplica()
		none := func() []confsync.Peer { return nil }
		s, err := confsync.New(confsync.Config{
			Prefixes: []string{roster}, Replica: replica, Transport: noTransport{}, Peers: none, Log: zerolog.Nop(),
			Store: staleView{store}, Relays: func(string) []confsync.Peer { return nil }, Rand: rand.New(rand.NewPCG(1, 2)), Roster: roster,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); s.Run(ctx) }()
		time.Sleep(time.Second)
		replica.Apply(entry) // A relay pushes the entry, or it is read at the platform.
		_, held := replica.Get(entry.Key)
		stop()
		<-ended
		if !held {
			t.Fatalf("the entry at version %d counts as deleted", entry.Version)
		}
	})
}

// failingOnce refuses the second list.
type failingOnce struct {
	*memstore.Store
	lists *int
}

func (s failingOnce) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	*s.lists++
	if *s.lists == 2 {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// TestStartListsAgainAfterARefusedList guards against a daemon that is not ready for ten
// seconds, since one of its lists was refused and its peers refuse its new key.
func TestStartListsAgainAfterARefusedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roster = "daemons/"
		lists := 0
		s, err := confsync.New(confsync.Config{
			Prefixes: []string{"services/", roster}, Replica: confsync.NewReplica(), Transport: noTransport{}, Log: zerolog.Nop(),
			Peers: func() []confsync.Peer { return []confsync.Peer{{Address: "refusing", Domain: "fes"}} },
			Store: failingOnce{memstore.New(), &lists}, Relays: func(string) []confsync.Peer { return nil },
			Rand: rand.New(rand.NewPCG(1, 2)), Roster: roster, Alone: 10,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); s.Run(ctx) }()
		time.Sleep(time.Second)
		ready := s.Ready()
		stop()
		<-ended
		if !ready || lists > 4 {
			t.Fatalf("ready %t after %d lists", ready, lists)
		}
	})
}
