package registration

import (
	"crypto/rand"
	"encoding/hex"
)

// startBytes is how many random bytes tell one start of a daemon from another
// on the same host.
const startBytes = 4

// NewID returns a daemon id that is new at each start: the host's name, a dot
// and random hexadecimal digits.
func NewID(host string) string {
	var b [startBytes]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(b[:])
	return host + "." + hex.EncodeToString(b[:])
}
