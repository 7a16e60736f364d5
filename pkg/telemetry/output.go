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
	// queuedLines is how many lines may wait to be written: what a daemon writes
	// in some seconds at the greatest rate.
	queuedLines = 8192
	// outputBuffer is how many bytes are written at a time at most.
	outputBuffer = 64 << 10
	// problemPart is the part of the rate that lines about problems, warnings
	// and errors, have to themselves, so that the lines about requests that went
	// well never crowd them out.
	problemPart = 0.25
	// dropNotice is the time between two lines that say how many were dropped.
	dropNotice = time.Second
)

// Output is a log output that never blocks its writers and bounds the lines per
// second. Lines beyond the rate or the queue are dropped; a line says how many.
// It is safe for concurrent use.
type Output struct {
	to    io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu               sync.Mutex
	closed           bool
	routine, problem allowance
	dropped          int
	noticed          time.Time
}

// allowance is a token bucket of lines that holds one second's worth.
type allowance struct {
	perSecond, left float64
	at              time.Time
}

func (a *allowance) take(now time.Time) bool {
	a.left = min(a.perSecond, a.left+a.perSecond*now.Sub(a.at).Seconds())
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// NewOutput returns an output to a writer with a rate in lines per second, and
// starts to write.
func NewOutput(to io.Writer, perSecond int) *Output { return newOutput(to, perSecond, time.Now) }

func newOutput(to io.Writer, perSecond int, now func() time.Time) *Output {
	problems := problemPart * float64(perSecond)
	o := &Output{
		to: to, now: now, lines: make(chan []byte, queuedLines), done: make(chan struct{}),
		routine: allowance{perSecond: float64(perSecond) - problems, left: float64(perSecond) - problems, at: now()},
		problem: allowance{perSecond: problems, left: problems, at: now()},
	}
	go o.run()
	return o
}

// Write implements io.Writer for a line without a level.
func (o *Output) Write(line []byte) (int, error) { return o.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It never blocks.
func (o *Output) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	allowed := o.routine.take
	if level >= zerolog.WarnLevel && level != zerolog.NoLevel {
		allowed = o.problem.take
	}
	if o.closed || !allowed(now) {
		o.dropped++
	} else {
		o.queue(append([]byte(nil), line...))
	}
	o.notice(now)
	return len(line), nil
}

// queue is called with the lock held.
func (o *Output) queue(line []byte) {
	select {
	case o.lines <- line:
	default:
		o.dropped++
	}
}

// notice says how many lines were dropped; called with the lock held.
func (o *Output) notice(now time.Time) {
	if o.dropped == 0 || o.closed || now.Sub(o.noticed) < dropNotice {
		return
	}
	var line lineBuffer
	l := zerolog.New(&line)
	l.Warn().Time("time", now).Int("lines", o.dropped).Msg("log: lines dropped")
	select {
	case o.lines <- line:
		o.dropped, o.noticed = 0, now
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
	w := bufio.NewWriterSize(o.to, outputBuffer)
	for line := range o.lines {
		// Nobody is left to be told of an output that fails.
		_, _ = w.Write(line)
		if len(o.lines) == 0 {
			_ = w.Flush()
		}
	}
	_ = w.Flush()
}

// Close writes what waits, until ctx ends. Later lines are dropped.
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
