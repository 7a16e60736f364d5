package catalog_test

import (
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/telemetry"
)

// fleetObjects returns the entries of a fleet of daemons in front of upstreams of three
// services.
func fleetObjects(daemons, upstreams int) []platform.Object {
	var out []platform.Object
	for i := range daemons {
		o := memberObject(platform.Member{
			ID: fmt.Sprintf("edge-%d.1", i), Host: fmt.Sprint("edge-", i), Role: platform.RoleDaemon, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Domain: "fes", State: platform.Live, Version: uint64(i + 1),
		})
		o.Key = platform.DaemonsPrefix + fmt.Sprint("edge-", i)
		out = append(out, o)
	}
	for i := range upstreams {
		out = append(out, upstreamObject(fmt.Sprint("u", i), fmt.Sprint("service-", i%3), uint64(daemons+i+1)))
	}
	return out
}

// newReplicated returns a catalog with three services behind a replica.
func newReplicated() (*catalog.Catalog, *confsync.Replica, *blackboard.Board) {
	board := blackboard.New("d1", "fes")
	c := catalog.New(board, zerolog.New(io.Discard), telemetry.NewMetrics())
	for i := range 3 {
		name := fmt.Sprint("service-", i)
		c.Apply(documentObject(name, 1, "service: "+name))
	}
	replica := confsync.NewReplica()
	replica.OnChange(c.Stage)
	replica.OnBatch(c.Flush)
	return c, replica, board
}

var _ = Describe("A list of a large fleet", func() {
	// Guards against a start whose cost grows with the square of the fleet: with a new
	// list of daemons and upstreams for each entry, a small host among 444 was not ready
	// after ten seconds.
	It("is put in force as a whole", func() {
		c, replica, board := newReplicated()
		lists := 0
		c.OnDaemons(func([]platform.Member) { lists++ })
		objects := fleetObjects(444, 990)
		replica.ApplyList(platform.DaemonsPrefix, objects[:444], 2000)
		replica.ApplyList(platform.MembersPrefix, objects[444:], 2000)
		Expect(lists).To(Equal(1))
		for _, s := range board.Services() {
			Expect(s.Upstreams()).To(HaveLen(330))
		}
	})

	It("takes effect before the call returns, also beside other batches", func() {
		_, replica, board := newReplicated()
		done := make(chan int)
		for part := range 3 {
			go func() {
				for i := range 50 {
					name := fmt.Sprintf("p%d-%d", part, i)
					replica.Apply(upstreamObject(name, "service-0", uint64(1000*part+i+1)))
					s, _ := board.Service("service-0")
					found := 0
					for _, u := range s.Upstreams() {
						if u.ID == name {
							found++
						}
					}
					if found != 1 {
						done <- i + 1
						return
					}
				}
				done <- 0
			}()
		}
		for range 3 {
			Expect(<-done).To(BeZero(), "an entry was not in force after its batch")
		}
	})
})

// BenchmarkList measures applying the lists of a starting daemon.
func BenchmarkList(b *testing.B) {
	for _, size := range []struct{ daemons, upstreams int }{{95, 180}, {444, 990}, {1600, 16000}} {
		b.Run(fmt.Sprintf("%d-%d", size.daemons, size.upstreams), func(b *testing.B) {
			objects := fleetObjects(size.daemons, size.upstreams)
			for b.Loop() {
				_, replica, _ := newReplicated()
				replica.ApplyList(platform.DaemonsPrefix, objects[:size.daemons], 1_000_000)
				replica.ApplyList(platform.MembersPrefix, objects[size.daemons:], 1_000_000)
			}
		})
	}
}
