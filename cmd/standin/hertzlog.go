package main

import (
	"strings"

	"github.com/rs/zerolog"
)

// hertzLog writes the lines of the hertz logger at debug level.
type hertzLog struct{ log zerolog.Logger }

// Write implements io.Writer; p is one line.
func (h hertzLog) Write(p []byte) (int, error) {
	h.log.Debug().Msg("hertz: " + strings.TrimSpace(string(p)))
	return len(p), nil
}
