package blackboard_test

import (
	"testing"
	"time"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
)

// TestFirstConfigurationRejectsNoRequests guards against valid requests that get a 404
// while the first configuration is being activated.
func TestFirstConfigurationRejectsNoRequests(t *testing.T) {
	const path, rounds = "/first", 2000
	c := &document.Configuration{
		Version: 1, Services: []*document.Service{document.New("registre")},
		Routes: []document.Rule{{
			Name: "r", Path: path, Timeout: time.Second, Attempts: 1, Backends: []document.Backend{{Service: "registre", Weight: 1}},
		}},
	}
	rejected := 0
	for range rounds {
		board := blackboard.New("d1", "fes")
		started, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			close(started)
			for {
				configured := board.Configured()
				if _, _, ok := board.Route("", "", path); ok {
					return
				}
				if configured {
					rejected++
				}
			}
		}()
		<-started
		board.PutConfiguration(c, 1)
		<-ended
	}
	if rejected > 0 {
		t.Fatalf("%d requests rejected in %d rounds", rejected, rounds)
	}
}
