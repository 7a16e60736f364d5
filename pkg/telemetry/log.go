// Package telemetry holds the logs and metrics of a daemon.
//
// Every log line is a short sentence that starts with the name of the part that
// wrote it, such as "routing: sent to upstream". The prefix is written out in
// each call, so that a line of a log can be searched for in the code.
package telemetry

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one JSON object a line, with the time in
// milliseconds since 1970.
func NewLogger(w io.Writer, level, daemon string) zerolog.Logger {
	SetLevel(level)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).With().Timestamp().Str("daemon", daemon).Logger()
}

// SetLevel sets the least level that is written by all loggers of the process:
// debug, info, warn or error, otherwise info.
func SetLevel(level string) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(parsed)
}

// CaptureStandard routes lines of libraries that use the standard logger to l at
// debug level.
func CaptureStandard(l zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{l, "library: "})
}

// CaptureHTTP routes the lines of the HTTP library to l at debug level.
func CaptureHTTP(l zerolog.Logger) {
	hlog.SetOutput(libraryWriter{l, "http: "})
	hlog.SetLevel(hlog.LevelWarn)
}

type libraryWriter struct {
	log    zerolog.Logger
	prefix string
}

// Write implements io.Writer.
func (w libraryWriter) Write(b []byte) (int, error) {
	w.log.Debug().Msg(w.prefix + strings.TrimSpace(string(b)))
	return len(b), nil
}
