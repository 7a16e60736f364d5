// Package telemetry holds the logs and metrics of a daemon.
//
// Each part of the daemon logs through its own Logger, whose lines start with
// the name of the part: "routing: sent to upstream". Metrics are registered in
// one Metrics value.
package telemetry

import (
	"io"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
)

// Logger writes the lines of one part.
type Logger struct {
	z      zerolog.Logger
	prefix string
}

// New returns the root logger. level is debug, info, warn or error.
func New(w io.Writer, level, daemon string) Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return Logger{z: zerolog.New(w).Level(parsed).With().Timestamp().Str("daemon", daemon).Logger()}
}

// Discard returns a logger that writes nothing.
func Discard() Logger { return Logger{z: zerolog.Nop()} }

// Part returns the logger of one part, such as "routing".
func (l Logger) Part(name string) Logger {
	return Logger{z: l.z, prefix: name + ": "}
}

// Event is one line being built; Msg or Send ends it.
type Event struct {
	*zerolog.Event
	prefix string
}

// Msg writes the line with a short sentence.
func (e Event) Msg(sentence string) { e.Event.Msg(e.prefix + sentence) }

// Debug starts a line for developers.
func (l Logger) Debug() Event { return Event{l.z.Debug(), l.prefix} }

// Info starts a line for operators.
func (l Logger) Info() Event { return Event{l.z.Info(), l.prefix} }

// Warn starts a line about something that may need an operator.
func (l Logger) Warn() Event { return Event{l.z.Warn(), l.prefix} }

// Error starts a line about something that failed.
func (l Logger) Error() Event { return Event{l.z.Error(), l.prefix} }

// CaptureHertz routes the lines of the HTTP library to l at debug level.
func CaptureHertz(l Logger) {
	hlog.SetOutput(hertzWriter{l.Part("http")})
	hlog.SetSystemLogger(hlog.DefaultLogger())
	hlog.SetLevel(hlog.LevelWarn)
}

type hertzWriter struct{ log Logger }

// Write implements io.Writer.
func (w hertzWriter) Write(b []byte) (int, error) {
	w.log.Debug().Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}
