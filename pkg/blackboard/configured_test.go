package blackboard_test

import (
	"testing"
	"time"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/document"
)

// TestFirstConfigurationDeniesNothing guards against proper requests that are answered
// with 404 while the first configuration comes into force.
func TestFirstConfigurationDeniesNothing(t *testing.T) {
	const path, rounds = "/first", 2000
	c := &document.Configuration{
		Version: 1, Services: []*document.Service{document.New("registre")},
		Routes: []document.Rule{{
			Name: "r", Path: path, Timeout: time.Second, Attempts: 1, Backends: []document.Backend{{Service: "registre", Weight: 1}},
		}},
	}
	denied := 0
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
					denied++
				}
			}
		}()
		<-started
		board.PutConfiguration(c, 1)
		<-ended
	}
	if denied > 0 {
		t.Fatalf("%d requests denied in %d rounds", denied, rounds)
	}
}
