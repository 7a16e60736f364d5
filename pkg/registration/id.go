package registration

import (
	"crypto/rand"
	"encoding/hex"
)

// startIDBytes is the number of random bytes in a daemon id. They distinguish
// successive daemon processes on the same host.
const startIDBytes = 4

// NewID returns a daemon id that is unique for each process: the host's name, a
// dot and random hexadecimal digits.
func NewID(host string) string {
	var b [startIDBytes]byte
	// crypto/rand.Read never returns an error; it aborts the process.
	_, _ = rand.Read(b[:])
	return host + "." + hex.EncodeToString(b[:])
}
