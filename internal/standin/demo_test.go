package standin

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"shallotglade/pkg/document"
)

// Guards against callers of the demo that exceed the rate limit of their account when a
// step takes longer than planned.
func TestReadsOfDemoStayUnderCallerRates(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example documents: %v", err)
	}
	rate := float64(time.Second) / float64(readPause)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		doc, problems := document.Parse(file, text)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if limit := doc.Limits.CallerRate; limit > 0 && rate >= limit {
			t.Errorf("%s: a caller of the demo sends up to %.1f requests a second, callerRate is %v", file, rate, limit)
		}
	}
}
