package catalog_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/telemetry"
)

// newLargeFleet returns a daemon's catalog and replica with 300 daemons and 3,000 upstreams
// of three services that rank upstreams as in the users' deployments.
func newLargeFleet(b *testing.B, home bool) (*catalog.Catalog, *confsync.Replica, *blackboard.Board) {
	b.Helper()
	board := blackboard.New("d1", "fes")
	c := catalog.New(board, zerolog.New(io.Discard), telemetry.NewMetrics())
	configuration := &document.Configuration{Version: 1}
	for i := range 3 {
		s := document.New(fmt.Sprint("service-", i))
		s.Detection.Eject = document.EjectNever
		configuration.Services = append(configuration.Services, s)
	}
	value, err := configuration.Encode()
	if err != nil {
		b.Fatal(err)
	}
	replica := confsync.NewReplica()
	replica.OnChange(c.Stage)
	replica.OnBatch(c.Flush)
	replica.Apply(platform.Object{Key: document.ConfigurationsPrefix + "c", Version: 1, Value: value})
	objects := fleetObjects(300, 3000)
	replica.ApplyList(platform.DaemonsPrefix, objects[:300], 10_000)
	replica.ApplyList(platform.MembersPrefix, objects[300:], 10_000)
	homes := []routing.Home{{ID: "d2", Domain: "fes"}, {ID: "d3", Domain: "rabat"}}
	if home {
		homes = append(homes, routing.Home{ID: "d1", Domain: "fes"})
	}
	for _, s := range board.Services() {
		s.SetHomes(time.Now(), homes)
	}
	return c, replica, board
}

// BenchmarkUpstreamChange measures a change of one of 3,000 upstreams at a daemon.
func BenchmarkUpstreamChange(b *testing.B) {
	for _, home := range []bool{false, true} {
		b.Run(map[bool]string{false: "other", true: "home"}[home], func(b *testing.B) {
			_, replica, _ := newLargeFleet(b, home)
			version := uint64(20_000)
			for b.Loop() {
				version++
				state := platform.Live
				if version%2 == 0 {
					state = platform.Leaving
				}
				i := version / 2 % 3000
				replica.Apply(memberObject(platform.Member{
					ID: fmt.Sprint("u", i), Role: platform.RoleUpstream, Service: fmt.Sprint("service-", i%3), Address: "10.0.0.1:80",
					Domain: "fes", Slots: 2, State: state, Incarnation: 7, Version: version,
				}))
			}
		})
	}
}

// BenchmarkDaemonChange measures a change of one of 300 daemons' entries, without the
// membership and placement behind the catalog.
func BenchmarkDaemonChange(b *testing.B) {
	_, replica, _ := newLargeFleet(b, false)
	version := uint64(20_000)
	for b.Loop() {
		version++
		i := version % 300
		o := memberObject(platform.Member{
			ID: fmt.Sprintf("edge-%d.%d", i, version), Host: fmt.Sprint("edge-", i), Role: platform.RoleDaemon, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Domain: "fes", State: platform.Live, Version: version,
		})
		o.Key = platform.DaemonsPrefix + fmt.Sprint("edge-", i)
		replica.Apply(o)
	}
}
