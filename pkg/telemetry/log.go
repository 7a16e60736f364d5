// Package telemetry holds the logs and metrics of a daemon.
//
// Every log line is a short sentence that starts with the name of the part that
// wrote it, such as "routing: sent to upstream". The prefix is written out in
// each call, so that a line of a log can be searched for in the code.
package telemetry

import (
	"io"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one JSON object a line. level is debug,
// info, warn or error.
func NewLogger(w io.Writer, level, daemon string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("daemon", daemon).Logger()
}

// CaptureHTTP routes the lines of the HTTP library to l at debug level.
func CaptureHTTP(l zerolog.Logger) {
	hlog.SetOutput(httpWriter{l})
	hlog.SetLevel(hlog.LevelWarn)
}

type httpWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w httpWriter) Write(b []byte) (int, error) {
	w.log.Debug().Msg("http: " + strings.TrimSpace(string(b)))
	return len(b), nil
}
