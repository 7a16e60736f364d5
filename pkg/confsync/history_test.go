package confsync_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// compactedStore drops its history: open watches hear nothing, then they are cut, and those that follow them get
// ErrHistoryGone once.
type compactedStore struct {
	*memstore.Store
	mu       sync.Mutex
	silentTo time.Time
	gone     bool
}

func (s *compactedStore) compact(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTo, s.gone = time.Now().Add(silence), true
}

func (s *compactedStore) Watch(ctx context.Context, p string, after uint64, _ time.Duration) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	silence, gone := time.Until(s.silentTo), s.gone
	s.gone = gone && silence > 0
	s.mu.Unlock()
	if silence > 0 {
		time.Sleep(silence)
		return nil, after, platform.ErrUnavailable
	}
	if gone {
		return nil, after, platform.ErrHistoryGone
	}
	return s.Store.Watch(ctx, p, after, 100*time.Millisecond)
}

// TestLostHistoryIsFollowedByAListAtOnce guards against delays beyond the silence of a store that drops its history.
func TestLostHistoryIsFollowedByAListAtOnce(t *testing.T) {
	const silence, delay = time.Second, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		self := confsync.Peer{Address: "self", Domain: "tetouan"}
		store, replica := &compactedStore{Store: memstore.New()}, confsync.NewReplica()
		s, err := confsync.New(confsync.Config{
			Self: self, Prefixes: []string{"services/"}, Replica: replica, Store: store, Transport: noTransport{}, Log: zerolog.Nop(),
			Peers: func() []confsync.Peer { return nil }, Relays: func(string) []confsync.Peer { return []confsync.Peer{self} },
			Rand: rand.New(rand.NewPCG(1, 2)),
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		time.Sleep(5 * time.Second)
		store.compact(silence)
		time.Sleep(200 * time.Millisecond) // The open watch ends, and a silent one follows it.
		if _, err := store.Create(t.Context(), "services/a", []byte("v")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(silence - 200*time.Millisecond + delay)
		if _, ok := replica.Get("services/a"); !ok {
			t.Errorf("not held %v after the silence", delay)
		}
		stop()
		<-done
	})
}
