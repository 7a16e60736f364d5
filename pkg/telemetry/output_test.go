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

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

func (s *blockedWriter) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.buffer.String(), "\n"), "\n")
}

var _ = Describe("Output", func() {
	var (
		w   *blockedWriter
		now time.Time
	)
	clock := func() time.Time { return now }
	BeforeEach(func() {
		w = &blockedWriter{release: make(chan struct{})}
		now = time.Unix(1000, 0)
	})
	closeOutput := func(o *Output) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		o.Close(ctx)
	}

	// Guards against requests that block because the reader of the log has stopped.
	It("does not block its writers while the log is not read", func() {
		o := newOutput(w, 10*maxQueuedLines, clock)
		log := zerolog.New(o)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 3 * maxQueuedLines {
				log.Info().Msg("request: answered")
			}
		}()
		Eventually(done, 10*time.Second).Should(BeClosed())
		close(w.release)
		now = now.Add(dropReportInterval)
		Eventually(func() int { return len(o.lines) }).Should(BeZero())
		log.Info().Msg("request: answered")
		closeOutput(o)
		lines := w.lines()
		var line struct {
			Lines   int    `json:"lines"`
			Message string `json:"message"`
		}
		reports, dropped := 0, 0
		for _, l := range lines {
			Expect(json.Unmarshal([]byte(l), &line)).To(Succeed())
			if line.Message == "log: lines dropped" {
				reports++
				dropped += line.Lines
			}
		}
		Expect(reports).To(BeNumerically(">=", 1))
		Expect(len(lines) - reports + dropped).To(Equal(3*maxQueuedLines + 1))
	})

	// Guards against a log rate that grows with the load, and against warnings and
	// errors that are dropped because of many lines at lower levels.
	It("limits the lines per second and reserves a share for warnings and errors", func() {
		close(w.release)
		o := newOutput(w, 100, clock)
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
		for _, l := range w.lines() {
			var line struct {
				Message string `json:"message"`
			}
			Expect(json.Unmarshal([]byte(l), &line)).To(Succeed())
			count[line.Message]++
		}
		Expect(count).To(Equal(map[string]int{"request: answered": 76, "request: refused": 10, "log: lines dropped": 2}))
	})
})
