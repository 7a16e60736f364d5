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
