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

// laggingEntries is a store whose stale lists lack the newest entry of an upstream, and which
// refuses its first current list. It counts the lists by price.
type laggingEntries struct {
	*memstore.Store
	newest         string
	current, stale map[string]int
}

func (s laggingEntries) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.current[prefix]++
	if s.current[prefix] == 1 {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s laggingEntries) ListStale(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.stale[prefix]++
	objects, revision, err := s.Store.List(ctx, prefix)
	for i, o := range objects {
		if o.Key == s.newest {
			return append(objects[:i:i], objects[i+1:]...), revision, err
		}
	}
	return objects, revision, err
}

// TestLargeFleetRestartsWithoutPeers guards against a large fleet that waits for one relay of
// each domain after a loss of power, for 30 s with 300 hosts; against a configuration from a
// stale list, which could bring back what operators have changed; and against the deletion of
// an upstream that a stale list lacks.
func TestLargeFleetRestartsWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roster, services = "daemons/", "services/"
		store := memstore.New()
		var newest platform.Object
		for _, key := range []string{services + "s", roster + "d", platform.MembersPrefix + "u1", platform.MembersPrefix + "u2"} {
			var err error
			if newest, err = store.Create(t.Context(), key, []byte("v")); err != nil {
				t.Fatal(err)
			}
		}
		lagging := laggingEntries{store, newest.Key, map[string]int{}, map[string]int{}}
		replica := confsync.NewReplica()
		s, err := confsync.New(confsync.Config{
			Prefixes: []string{services, platform.MembersPrefix, roster}, Replica: replica, Transport: noTransport{}, Log: zerolog.Nop(),
			Peers: func() []confsync.Peer { return []confsync.Peer{{Address: "not-ready", Domain: "fes"}} },
			Store: lagging, Relays: func(string) []confsync.Peer { return nil },
			Rand: rand.New(rand.NewPCG(1, 2)), RosterPrefix: roster, DirectList: func(int) confsync.DirectList { return confsync.ListStaleEntries },
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		time.Sleep(2 * time.Second)
		ready := s.Ready()
		replica.Apply(newest) // as a relay pushes it
		_, held := replica.Get(newest.Key)
		stop()
		<-done
		if !ready || !held || len(replica.Range("")) != 4 {
			t.Fatalf("ready %t, newest entry held %t, objects %v", ready, held, replica.Range(""))
		}
		if lagging.current[platform.MembersPrefix] > 0 || lagging.stale[platform.MembersPrefix] != 1 || lagging.stale[services] > 0 {
			t.Fatalf("current lists %v, stale lists %v", lagging.current, lagging.stale)
		}
	})
}
