package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"shallotglade/internal/testkit"
)

func TestTelemetry(t *testing.T) { testkit.RunSpecs(t, "telemetry") }

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

func (s *stuck) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.buffer.String(), "\n"), "\n")
}

var _ = Describe("Output", func() {
	var (
		to  *stuck
		now time.Time
	)
	clock := func() time.Time { return now }
	BeforeEach(func() {
		to = &stuck{release: make(chan struct{})}
		now = time.Unix(1000, 0)
	})
	closeOutput := func(o *Output) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		o.Close(ctx)
	}

	// Guards against requests that wait for a log whose reader has stopped.
	It("does not block its writers while nobody reads", func() {
		o := newOutput(to, 10*queuedLines, clock)
		log := zerolog.New(o)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 3 * queuedLines {
				log.Info().Msg("request: answered")
			}
		}()
		Eventually(done, 10*time.Second).Should(BeClosed())
		close(to.release)
		now = now.Add(dropNotice)
		Eventually(func() int { return len(o.lines) }).Should(BeZero())
		log.Info().Msg("request: answered")
		closeOutput(o)
		lines := to.lines()
		var last struct {
			Lines   int    `json:"lines"`
			Message string `json:"message"`
		}
		notices, dropped := 0, 0
		for _, l := range lines {
			Expect(json.Unmarshal([]byte(l), &last)).To(Succeed())
			if last.Message == "log: lines dropped" {
				notices++
				dropped += last.Lines
			}
		}
		Expect(notices).To(BeNumerically(">=", 1))
		Expect(len(lines) - notices + dropped).To(Equal(3*queuedLines + 1))
	})

	// Guards against a log that grows with the load, and against failures whose
	// lines are lost among those of a flood.
	It("bounds the lines per second and keeps a part for problems", func() {
		close(to.release)
		o := newOutput(to, 100, clock)
		log := zerolog.New(o)
		for range 1000 {
			log.Info().Msg("request: answered")
		}
		for range 10 {
			log.Warn().Msg("request: refused")
		}
		now = now.Add(time.Second)
		log.Info().Msg("request: answered")
		closeOutput(o)
		count := map[string]int{}
		for _, l := range to.lines() {
			var line struct {
				Message string `json:"message"`
			}
			Expect(json.Unmarshal([]byte(l), &line)).To(Succeed())
			count[line.Message]++
		}
		Expect(count).To(Equal(map[string]int{"request: answered": 76, "request: refused": 10, "log: lines dropped": 2}))
	})
})
