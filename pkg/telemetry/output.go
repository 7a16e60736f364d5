package telemetry

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines is the capacity of the queue of unwritten lines: the output
	// of a daemon in a few seconds at the maximum rate.
	maxQueuedLines = 8192
	// outputBufferBytes is the maximum size of one write.
	outputBufferBytes = 64 << 10
	// problemShare is the share of the rate that is reserved for warnings and
	// errors, so that lines about successful requests cannot displace them.
	problemShare = 0.25
	// dropReportInterval is the minimum time between two lines that report the
	// number of dropped lines.
	dropReportInterval = time.Second
)

// Output is a log output that never blocks its writers and limits the lines per
// second. Lines that exceed the rate or the queue are dropped, and a log line
// reports their number. It is safe for concurrent use.
type Output struct {
	w     io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu               sync.Mutex
	closed           bool
	routine, problem tokenBucket
	dropped          int
	reportedAt       time.Time
}

// tokenBucket limits the rate of lines; its capacity is the tokens of one second.
type tokenBucket struct {
	perSecond, tokens float64
	refilledAt        time.Time
}

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.perSecond, b.tokens+b.perSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewOutput returns an output that writes at most perSecond lines per second to w,
// and starts its writer goroutine.
func NewOutput(w io.Writer, perSecond int) *Output { return newOutput(w, perSecond, time.Now) }

func newOutput(w io.Writer, perSecond int, now func() time.Time) *Output {
	problemRate := problemShare * float64(perSecond)
	o := &Output{
		w: w, now: now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		routine: tokenBucket{perSecond: float64(perSecond) - problemRate, tokens: float64(perSecond) - problemRate, refilledAt: now()},
		problem: tokenBucket{perSecond: problemRate, tokens: problemRate, refilledAt: now()},
	}
	go o.run()
	return o
}

// Write implements io.Writer for a line without a level.
func (o *Output) Write(line []byte) (int, error) { return o.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It never blocks and reports success
// also for a dropped line.
func (o *Output) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	allow := o.routine.allow
	if level >= zerolog.WarnLevel && level != zerolog.NoLevel {
		allow = o.problem.allow
	}
	if o.closed || !allow(now) {
		o.dropped++
	} else {
		o.enqueue(append([]byte(nil), line...))
	}
	o.reportDropped(now)
	return len(line), nil
}

// enqueue queues or drops a line. The caller must hold the lock.
func (o *Output) enqueue(line []byte) {
	select {
	case o.lines <- line:
	default:
		o.dropped++
	}
}

// reportDropped logs the number of dropped lines. The caller must hold the lock.
func (o *Output) reportDropped(now time.Time) {
	if o.dropped == 0 || o.closed || now.Sub(o.reportedAt) < dropReportInterval {
		return
	}
	var line lineBuffer
	l := zerolog.New(&line)
	l.Warn().Time("time", now).Int("lines", o.dropped).Msg("log: lines dropped")
	select {
	case o.lines <- line:
		o.dropped, o.reportedAt = 0, now
	default:
	}
}

type lineBuffer []byte

// Write implements io.Writer.
func (b *lineBuffer) Write(line []byte) (int, error) {
	*b = append(*b, line...)
	return len(line), nil
}

func (o *Output) run() {
	defer close(o.done)
	w := bufio.NewWriterSize(o.w, outputBufferBytes)
	for line := range o.lines {
		// Write errors are ignored, because there is no other place to log them.
		_, _ = w.Write(line)
		if len(o.lines) == 0 {
			_ = w.Flush()
		}
	}
	_ = w.Flush()
}

// Close writes the queued lines, until ctx ends. Later lines are dropped.
func (o *Output) Close(ctx context.Context) {
	o.mu.Lock()
	if !o.closed {
		o.closed = true
		close(o.lines)
	}
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
