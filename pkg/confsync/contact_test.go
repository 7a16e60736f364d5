package confsync

import (
	"testing"
	"time"
)

// TestLostContactIsLoggedOnce guards against a daemon that loses contact with all
// peers and either does not log it or logs it at each comparison.
func TestLostContactIsLoggedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	c := contact{lastAnswer: start}
	for i, step := range []struct {
		answered, lost, regained bool
	}{
		{false, false, false}, {false, true, false}, {false, false, false},
		{true, false, true}, {true, false, false}, {false, false, false}, {true, false, false},
	} {
		now := start.Add(time.Duration(i+1) * time.Second)
		if lost, regained, _, _ := c.record(now, step.answered); lost != step.lost || regained != step.regained {
			t.Fatalf("step %d: lost %t, regained %t", i, lost, regained)
		}
	}
}
