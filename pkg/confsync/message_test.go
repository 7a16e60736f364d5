package confsync_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// directTransport is a transport that delivers all messages to one other Syncer.
type directTransport struct {
	to    *confsync.Syncer
	calls int
	// largest is the size of the largest message.
	largest int
}

func (t *directTransport) Call(ctx context.Context, _, kind string, body []byte) ([]byte, error) {
	if t.to == nil {
		return nil, errNetwork
	}
	reply, err := t.to.Handle(ctx, kind, body)
	t.calls++
	t.largest = max(t.largest, len(body), len(reply))
	return reply, err
}

// newSyncer returns a Syncer with one peer, which the transport reaches, and its replica.
func newSyncer(t *directTransport) (*confsync.Syncer, *confsync.Replica) {
	r := confsync.NewReplica()
	s, err := confsync.New(confsync.Config{
		Self: confsync.Peer{Address: "a", Domain: "fes"}, Prefixes: []string{prefix}, Replica: r,
		Store: memstore.New(), Transport: t, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		Peers:  func() []confsync.Peer { return []confsync.Peer{{Address: "b", Domain: "fes"}} },
		Relays: func(string) []confsync.Peer { return nil },
		Spawn:  func(task func()) bool { task(); return true },
	})
	if err != nil {
		panic(err)
	}
	return s, r
}

var _ = Describe("Messages", func() {
	// Guards against messages larger than the transport and the decoder accept, and
	// against an exchange that ends before both sides hold all objects.
	It("stay within the size limit for large and for many objects", func() {
		transport := &directTransport{}
		s, local := newSyncer(transport)
		other, remote := newSyncer(&directTransport{})
		transport.to = other
		for i := range 3 {
			local.Apply(platform.Object{Key: prefix + strings.Repeat("x", i+1), Version: 5, Value: make([]byte, platform.MaxValueBytes)})
			remote.Apply(platform.Object{Key: prefix + strings.Repeat("y", i+1), Version: 5, Value: make([]byte, platform.MaxValueBytes)})
		}
		for i := range 30_000 {
			r := []*confsync.Replica{local, remote}[i%2]
			key := prefix + strings.Repeat("k", i%400) + string(rune('a'+i%26)) + string(rune(0x4e00+i%15_000))
			r.Apply(platform.Object{Key: key, Version: uint64(i%7 + 1), Value: []byte("v")})
		}
		s.Tick(context.Background())
		Expect(s.Stats().DigestErrors).To(BeZero())
		Expect(local.Digest()).To(Equal(remote.Digest()))
		Expect(transport.largest).To(BeNumerically("<=", confsync.MaxMessageBytes))
		Expect(transport.calls).To(BeNumerically("<", 120))
	})

	// Guards against a daemon that misses two concurrent pushes because each
	// forwarder already had the object from the other push.
	It("are forwarded to the listed daemons even without new objects", func() {
		transport := &directTransport{}
		s, replica := newSyncer(transport)
		transport.to, _ = newSyncer(&directTransport{})
		held := platform.Object{Key: prefix + "a", Version: 7, Value: []byte("v")}
		replica.Apply(held)
		body, err := cbor.Marshal(map[int]any{1: []platform.Object{held}, 3: []string{"b"}})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Handle(context.Background(), confsync.KindObjects, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(transport.calls).To(Equal(1))
	})

	// Guards against a digest that depends on the order of changes.
	It("have a digest that depends only on the stored versions", func() {
		a, b := confsync.NewReplica(), confsync.NewReplica()
		objects := []platform.Object{{Key: "x", Version: 1}, {Key: "y", Version: 3}, {Key: "x", Version: 4, Deleted: true}}
		for _, o := range objects {
			a.Apply(o)
		}
		slices.Reverse(objects)
		for _, o := range objects {
			b.Apply(o)
		}
		Expect(a.Digest()).To(Equal(b.Digest()))
		b.Apply(platform.Object{Key: "y", Version: 5})
		Expect(a.Digest().Differing(b.Digest())).To(HaveLen(1))
	})
})

// FuzzHandle guards against a message that crashes a daemon, adds an invalid object,
// or causes a reply that is too large.
func FuzzHandle(f *testing.F) {
	kinds := confsync.Kinds()
	object := map[int]any{1: prefix + "a", 2: 7, 3: []byte("v")}
	version := map[int]any{1: prefix + "a", 2: 3}
	for _, seed := range []struct {
		kind    string
		message any
	}{
		{confsync.KindObjects, map[int]any{1: []any{object}, 2: 2, 3: []string{"10.0.0.1:7"}}},
		{confsync.KindDigest, map[int]any{1: uint64(9)}},
		{confsync.KindVersions, map[int]any{1: []int{0, 5}, 2: []any{version}}},
		{confsync.KindOffer, map[int]any{1: []any{version}}},
		{confsync.KindCompare, map[int]any{1: []string{"10.0.0.1:7", ""}}},
		{confsync.KindObjects, map[int]any{1: []any{map[int]any{1: "claims/x", 2: 7}}}},
		{confsync.KindObjects, map[int]any{1: []any{map[int]any{1: prefix + "a", 2: 7, 3: []byte("v"), 4: true}}}},
	} {
		body, err := cbor.Marshal(seed.message)
		if err != nil {
			f.Fatal(err)
		}
		kind := uint8(slices.Index(kinds, seed.kind))
		f.Add(kind, body)
		f.Add(kind, body[:len(body)/2])
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		s, r := newSyncer(&directTransport{})
		r.Apply(platform.Object{Key: prefix + "held", Version: 5, Value: []byte("v")})
		before := bytes.Clone(body)
		reply, err := s.Handle(context.Background(), kinds[int(kind)%len(kinds)], body)
		if err != nil && reply != nil || len(reply) > confsync.MaxMessageBytes {
			t.Fatalf("reply of %d bytes, error %v", len(reply), err)
		}
		if !bytes.Equal(before, body) {
			t.Fatal("the body was changed")
		}
		for _, o := range r.All() {
			if !strings.HasPrefix(o.Key, prefix) || o.Version == 0 || o.Deleted && len(o.Value) > 0 {
				t.Fatalf("holds %v", o)
			}
		}
	})
}
