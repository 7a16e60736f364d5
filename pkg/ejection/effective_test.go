package ejection_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/pkg/ejection"
)

// Guards against a service without ejections whose leaving upstreams get requests, or whose
// new ones get no ramp, because its list is sorted and takes the short way.
func TestExclusionWithoutRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var view ejection.View
		for i := range rapid.IntRange(2, 8).Draw(t, "upstreams") {
			u := ejection.UpstreamView{ID: fmt.Sprint("u", i), Leaving: rapid.Bool().Draw(t, "leaving")}
			if rapid.Bool().Draw(t, "joined") {
				u.Joined = now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second)
			}
			view.Upstreams = append(view.Upstreams, u)
		}
		policy := ejection.DefaultPolicy(1)
		policy.RampDuration = 5 * time.Second
		short := ejection.EffectiveExclusion(view, ejection.Record{}, policy, now)
		reversed := ejection.View{Upstreams: slices.Clone(view.Upstreams)}
		slices.Reverse(reversed.Upstreams)
		long := ejection.EffectiveExclusion(reversed, ejection.Record{}, policy, now)
		if !slices.Equal(short.Usable, long.Usable) {
			t.Fatalf("usable %v, want %v", short.Usable, long.Usable)
		}
		for _, u := range view.Upstreams {
			if a, b := short.Standing(u.ID), long.Standing(u.ID); !reflect.DeepEqual(a, b) {
				t.Fatalf("%s has %v, want %v", u.ID, a, b)
			}
		}
	})
}
