package confsync

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestLostContactIsReportedOnce guards against a daemon that no peer accepts and
// whose log does not say so, or says so at each comparison.
func TestLostContactIsReportedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	c := contact{succeeded: start}
	failure := errors.New("refused")
	for i, step := range []struct {
		err            error
		lost, regained bool
	}{
		{failure, false, false}, {failure, true, false}, {failure, false, false},
		{nil, false, true}, {nil, false, false}, {failure, false, false}, {nil, false, false},
	} {
		now := start.Add(time.Duration(i+1) * time.Second)
		if lost, regained, _, _ := c.note(now, step.err); lost != step.lost || regained != step.regained {
			t.Fatalf("step %d: lost %t, regained %t", i, lost, regained)
		}
	}
}
