package membership_test

import (
	"fmt"
	"testing"
	"time"

	"shallotglade/pkg/membership"
	"shallotglade/pkg/platform"
)

// restartedRoster returns the entries of daemons whose hosts have started them n times.
func restartedRoster(daemons, n int) []platform.Member {
	var out []platform.Member
	for i := range daemons {
		out = append(out, platform.Member{
			ID: fmt.Sprintf("edge-%d.%d", i, n), Host: fmt.Sprint("edge-", i), Role: platform.RoleDaemon, State: platform.Live,
			Domain: fmt.Sprint("domain-", i%4), Address: "10.0.0.1:80", PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		})
	}
	return out
}

// BenchmarkRestartedRoster measures the list of daemons after a restart of all of them.
func BenchmarkRestartedRoster(b *testing.B) {
	for _, daemons := range []int{300, 1600} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Now()
			v := membership.NewView(platform.Member{ID: "self.1", Host: "self"}, now, membership.DomainParams())
			for n := 0; b.Loop(); n++ {
				v.SetRoster(now, restartedRoster(daemons, n))
			}
		})
	}
}
