package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
)

var _ = Describe("Plan of an exit", func() {
	// Guards against a daemon that is killed with requests under way: on a
	// platform that kills after 6 s it waited 3 s for the news and then as long
	// as answers to callers hold.
	It("ends before the grace does, and leaves requests time", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			lapse := time.Duration(rapid.IntRange(0, 600_000).Draw(t, "lapse in ms")) * time.Millisecond
			requests := time.Duration(rapid.IntRange(1, 600_000).Draw(t, "requests in ms")) * time.Millisecond
			grace := time.Duration(rapid.IntRange(1000, 120_000).Draw(t, "grace in ms")) * time.Millisecond
			p := planExit(lapse, requests, grace)
			if p.end >= grace || p.requests > p.end {
				t.Fatalf("the exit does not end within %v: %+v", grace, p)
			}
			if p.announce > grace/2 || p.requests < p.announce {
				t.Fatalf("no time for the requests under way: %+v", p)
			}
		})
	})

	// Guards against a closed port in answers that callers still hold, where
	// nothing bounds the exit.
	It("waits for all answers without a grace", func() {
		p := planExit(15*time.Second, time.Minute, 0)
		if p.announce != 15*time.Second || p.requests != 75*time.Second || p.end != 75*time.Second+closeTimeout {
			GinkgoT().Fatalf("plan %+v", p)
		}
	})
})
