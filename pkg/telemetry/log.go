// Package telemetry provides the logs and metrics of a daemon.
//
// Every log message starts with the name of the component that wrote it, such as
// "routing: sent to upstream". Each call spells out the prefix, so that a message
// can be found in the code by a text search.
package telemetry

import (
	"io"
	stdlog "log"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one JSON object per line, with timestamps
// in milliseconds since the Unix epoch.
func NewLogger(w io.Writer, level, daemon string) zerolog.Logger {
	SetLevel(level)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).With().Timestamp().Str("daemon", daemon).Logger()
}

// SetLevel sets the minimum level of all loggers of the process: debug, info, warn
// or error. For any other text it sets info.
func SetLevel(level string) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(parsed)
}

// CaptureStandard redirects the standard logger, which libraries use, to l at debug
// level.
func CaptureStandard(l zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{l, "library: "})
}

// CaptureHTTP redirects the logger of the HTTP library to l at debug level.
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
