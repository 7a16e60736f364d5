package account

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// MaxNameBytes is the maximum length of the name of an account.
	MaxNameBytes = 128
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256
	// maxRate limits the rate and the burst of an allowance. Sums over many windows stay
	// exact in a float64.
	maxRate = 1e9
)

// Digest identifies a key without containing it. It consists of the first 16 bytes of the
// SHA-256 hash of the key. Its text has 32 hexadecimal digits.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest {
	hash := sha256.Sum256(key)
	return Digest(hash[:len(Digest{})])
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// errDigest does not quote the text, which may be a key instead of a digest.
var errDigest = errors.Newf("account: the digest of a key must have %d hexadecimal digits", hex.EncodedLen(len(Digest{})))

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	var out Digest
	if len(text) != hex.EncodedLen(len(out)) {
		return errDigest
	}
	if _, err := hex.Decode(out[:], text); err != nil {
		return errDigest
	}
	*d = out
	return nil
}

// Account is a client account.
type Account struct {
	// Name has 1 to MaxNameBytes visible ASCII characters, because upstreams get it as the
	// value of a header.
	Name string `json:"name"`
	// Keys are the digests of the keys of the account. An account without keys has no
	// requests.
	Keys []Digest `json:"keys"`
	// Priority orders accounts under overload, 0 is the highest; nil means that the
	// priority of the route counts.
	Priority *int `json:"priority,omitempty"`
	// Rate (requests per second over the whole fleet) and Burst (requests) are the
	// allowance; Rate 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Weight returns the share of the account in a fair queue: the rate of its allowance, or 1
// if it has no allowance.
func (a *Account) Weight() float64 {
	if a.Rate > 0 {
		return a.Rate
	}
	return 1
}

// PriorityOr returns the priority of the account, or that of the route if the account has
// none.
func (a *Account) PriorityOr(route int) int {
	if a.Priority != nil {
		return *a.Priority
	}
	return route
}

// Check returns an error that names the account if a field is out of range.
func (a *Account) Check() error {
	switch {
	case !ValidName(a.Name):
		return errors.Newf("account %.64q: the name must have 1 to %d visible ASCII characters", a.Name, MaxNameBytes)
	case a.Priority != nil && (*a.Priority < 0 || *a.Priority > math.MaxInt32):
		return errors.Newf("account %q: the priority must be a whole number that is not negative", a.Name)
	case !(a.Rate >= 0 && a.Rate <= maxRate):
		return errors.Newf("account %q: the rate must be 0 to %g requests per second", a.Name, maxRate)
	case !(a.Burst >= 0 && a.Burst <= maxRate):
		return errors.Newf("account %q: the burst must be 0 to %g requests", a.Name, maxRate)
	}
	return nil
}

// ValidName reports whether name can be the name of an account.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] < '!' || name[i] > '~' {
			return false
		}
	}
	return true
}
