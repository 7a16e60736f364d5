package confsync_test

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// earlierBuild is a transport to daemons that refuse the fields of this build.
type earlierBuild struct {
	confsync.Transport
	refused int
}

func (e *earlierBuild) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	var fields map[int]any
	Expect(cbor.Unmarshal(body, &fields)).To(Succeed())
	for field := range fields {
		if kind == confsync.KindObjects && field > 3 || kind == confsync.KindVersions && field > 2 {
			e.refused++
			return nil, errors.New("confsync: invalid message: unknown field")
		}
	}
	return e.Transport.Call(ctx, to, kind, body)
}

// countedPushes counts the messages with objects.
type countedPushes struct {
	confsync.Transport
	count *atomic.Int64
}

func (c countedPushes) Call(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	if kind == confsync.KindObjects {
		c.count.Add(1)
	}
	return c.Transport.Call(ctx, to, kind, body)
}

func entryKey(i int) string { return fmt.Sprintf("%si-%04d-1", platform.MembersPrefix, i) }

func entryValue(i, state int) []byte {
	return fmt.Appendf(nil, `{"id":"i-%04d-1","role":"upstream","service":"s","address":"10.0.0.1:%d","domain":"fes","incarnation":%d}`, i, i, state)
}

// entrySyncer is a Syncer of entries with one peer, and its replica.
type entrySyncer struct {
	syncer  *confsync.Syncer
	replica *confsync.Replica
}

func newEntrySyncer(t confsync.Transport) entrySyncer {
	r := confsync.NewReplica()
	s, err := confsync.New(confsync.Config{
		Self: confsync.Peer{Address: "a", Domain: "fes"}, Prefixes: []string{platform.MembersPrefix}, Replica: r,
		Store: memstore.New(), Transport: t, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		Peers:  func() []confsync.Peer { return []confsync.Peer{{Address: "b", Domain: "fes"}} },
		Relays: func(string) []confsync.Peer { return nil },
		Spawn:  func(task func()) bool { task(); return true },
	})
	Expect(err).NotTo(HaveOccurred())
	return entrySyncer{s, r}
}

var _ = Describe("Entries of upstreams", func() {
	reduceTraffic := false
	runFleet := func(scenario func(f *fleet, pushes *atomic.Int64) error) error {
		var err error
		synctest.Test(suiteT, func(*testing.T) {
			var pushes atomic.Int64
			f := newFleetWith(func(d *daemon, c *confsync.Config) {
				c.ReduceTraffic = reduceTraffic
				c.Prefixes, c.Transport = []string{platform.MembersPrefix}, countedPushes{d, &pushes}
			})
			time.Sleep(changeBound)
			err = scenario(f, &pushes)
			f.killAll()
		})
		return err
	}
	put := func(f *fleet, i, state int) platform.Object {
		o, err := f.store.Get(context.Background(), entryKey(i))
		if err != nil {
			o, err = f.store.Create(context.Background(), entryKey(i), entryValue(i, state))
		} else {
			o, err = f.store.Update(context.Background(), entryKey(i), o.Version, entryValue(i, state))
		}
		Expect(err).NotTo(HaveOccurred())
		return o
	}

	// Guards against objects that are lost in compressed messages on their way through
	// forwarders, offers and comparisons.
	DescribeTable("reach all daemons in bulk", func(reduced bool) {
		reduceTraffic = reduced
		defer func() { reduceTraffic = false }()
		Expect(runFleet(func(f *fleet, _ *atomic.Int64) error {
			var last platform.Object
			for i := range 500 {
				last = put(f, i, 1)
			}
			time.Sleep(2 * time.Second)
			f.replace(34)
			time.Sleep(2 * time.Second)
			for _, d := range f.daemons {
				if n := len(d.replica.Range(platform.MembersPrefix)); n != 500 {
					return errors.Newf("daemon %d holds %d entries", d.number, n)
				}
			}
			return f.check(last)
		})).To(Succeed())
	}, Entry("in pushes", false), Entry("in offers", true))

	// Guards against daemons of an earlier build that no longer hear of upstreams while the
	// fleet is replaced.
	It("reach a daemon that refuses compressed lists", func() {
		transport := &directTransport{}
		old := &earlierBuild{Transport: transport}
		local, remote := newEntrySyncer(old), newEntrySyncer(&directTransport{})
		transport.to = remote.syncer
		for i := range 500 {
			local.replica.Apply(platform.Object{Key: entryKey(i), Version: uint64(i + 1), Value: entryValue(i, 1)})
			remote.replica.Apply(platform.Object{Key: entryKey(i + 250), Version: uint64(i + 251), Value: entryValue(i+250, 1)})
		}
		local.syncer.Tick(context.Background())
		Expect(remote.replica.All()).To(HaveLen(750))
		Expect(remote.replica.Digest()).To(Equal(local.replica.Digest()))
		Expect(old.refused).To(Equal(1), "it is asked only once")
	})

	// Guards against heartbeats that cost every daemon a message, a decoding and a list for
	// each upstream, and against a change that gets lost among them.
	It("cause no messages when they are written again unchanged", func() {
		Expect(runFleet(func(f *fleet, pushes *atomic.Int64) error {
			for i := range 60 {
				put(f, i, 1)
			}
			time.Sleep(3 * time.Second)
			changes := 0
			f.daemons[8].replica.OnChange(func(platform.Object) { changes++ })
			before := pushes.Load()
			for range 3 {
				for i := range 60 {
					put(f, i, 1)
				}
				time.Sleep(2 * time.Second)
			}
			if sent := pushes.Load() - before; sent != 0 || changes != 0 {
				return errors.Newf("%d pushes and %d changes", sent, changes)
			}
			changed := put(f, 7, 2)
			time.Sleep(2 * time.Second)
			return f.check(changed)
		})).To(Succeed())
	})

	// Guards against a delayed message that brings an upstream's earlier state back after the
	// one before it was written again.
	It("do not return to content from before a rewrite", func() {
		r, other := confsync.NewReplica(), confsync.NewReplica()
		o := func(version uint64, state int) platform.Object {
			return platform.Object{Key: entryKey(1), Version: version, Value: entryValue(1, state)}
		}
		Expect(r.Apply(o(5, 1))).To(BeTrue())
		Expect(r.Apply(o(9, 1))).To(BeFalse())
		Expect(r.Apply(o(7, 2))).To(BeFalse())
		Expect(other.Apply(o(5, 1))).To(BeTrue())
		Expect(r.Digest()).To(Equal(other.Digest()))
		Expect(other.Apply(o(7, 2))).To(BeTrue())
		Expect(r.Digest()).NotTo(Equal(other.Digest()))
		Expect(r.Apply(platform.Object{Key: entryKey(1), Version: 10, Deleted: true})).To(BeTrue())
		Expect(r.Apply(o(11, 1))).To(BeTrue())
	})

	// Guards against a few compressed bytes that make a daemon allocate gigabytes.
	It("are refused if they expand beyond a message", func() {
		var packed bytes.Buffer
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		Expect(err).NotTo(HaveOccurred())
		_, _ = w.Write(make([]byte, 2*confsync.MaxMessageBytes))
		Expect(w.Close()).To(Succeed())
		body, err := cbor.Marshal(map[int]any{4: packed.Bytes()})
		Expect(err).NotTo(HaveOccurred())
		syncer, _ := newSyncer(&directTransport{})
		_, err = syncer.Handle(context.Background(), confsync.KindObjects, body)
		Expect(err).To(MatchError(ContainSubstring("invalid message")))
	})
})
