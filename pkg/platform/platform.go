// Package platform defines the interface to the object API and the membership list
// of the operators' platform.
//
// Implementations: Client calls the stand-in over HTTP/JSON. memstore.Store keeps
// all data in memory, injects faults, and serves tests and the stand-in. The adapter
// of a concrete platform implements Store with a Transport.
// Each call counts against the platform's limits, about several hundred writes and
// two thousand reads per second. A waiting Watch or Members counts as one call.
package platform

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that Store calls return; test with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the key already exists (Create) or that its version
	// differs (Update, Delete). The call had no effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")
	// ErrHistoryGone means that a watch cannot continue from its revision, or that the
	// store has been restored from a copy since. The watch must start again from a List.
	ErrHistoryGone = errors.New("platform: history before the revision is gone")
	// ErrReplyTooLarge accompanies ErrUnavailable if a reply exceeds the limit of the
	// transport. The same call would fail again.
	ErrReplyTooLarge = errors.New("platform: reply too large")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Object is one versioned value.
type Object struct {
	// Key is a path such as "services/bons-chantier".
	Key string `json:"key" cbor:"1,keyasint"`
	// Version is taken from one revision counter of the whole store, so a key that
	// is created again has a higher version than its tombstone. It has the store's era
	// above the revision; see VersionOf.
	Version uint64 `json:"version" cbor:"2,keyasint"`
	Value   []byte `json:"value,omitempty" cbor:"3,keyasint,omitempty"`
	// Deleted marks a tombstone; its Value is empty.
	Deleted bool `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
}

// HostName returns the name of the member that stays the same across restarts.
func (m Member) HostName() string { return cmp.Or(m.Host, m.ID) }

// MemberState is the state of a host in the membership list.
type MemberState string

// States of a member.
const (
	Live    MemberState = "live"
	Leaving MemberState = "leaving"
)

// Roles of a member.
const (
	RoleDaemon   = "daemon"
	RoleUpstream = "upstream"
)

// Member is one entry of the membership list.
type Member struct {
	ID string `json:"id"`
	// Host is the host of a daemon whose ID changes at each start; empty if the ID
	// is the name of the host.
	Host string `json:"host,omitempty"`
	// Role is RoleDaemon or RoleUpstream.
	Role string `json:"role"`
	// Service is the service of an upstream; empty for a daemon.
	Service string `json:"service,omitempty"`
	// Address is the IP:port for callers (daemon) or for requests (upstream).
	Address string `json:"address"`
	// PeerAddress is the UDP IP:port for other daemons.
	PeerAddress string `json:"peerAddress,omitempty"`
	Region      string `json:"region,omitempty"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Slots is the number of requests an upstream runs at a time; 0 means unknown.
	Slots int         `json:"slots,omitempty"`
	State MemberState `json:"state"`
	// Incarnation distinguishes process starts with the same ID; 0 means that the ID
	// changes at each start.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// WarmUpMs is the remaining warm-up time of an upstream when the entry was
	// written, in milliseconds; 0 means unknown or none.
	WarmUpMs int64 `json:"warmUpMs,omitempty"`
	// PeerKey is the hash of the public key that a daemon presents to other daemons,
	// in hexadecimal digits; empty if a certificate authority signs the keys.
	PeerKey string `json:"peerKey,omitempty"`
	// Cores is the share of processor cores that a daemon may use, LinkMbps the
	// bandwidth of its host's link in Mbit/s; 0 means unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
	Version  uint64  `json:"version"`
}

// Store is the object API of the platform. All calls may return ErrUnavailable
// or the context's error; writes may return ErrUnknownOutcome.
//
// If the store is restored from a copy, all its objects get higher versions, and those
// that the copy lacks are missing from the next List. Writes with a version from before
// return ErrConflict.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Create stores a new object, or returns ErrConflict if the key exists. With
	// ErrConflict, it returns the existing object if the platform reports it.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces the value if version is current, else it returns ErrConflict.
	Update(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	// Delete replaces the object by a tombstone if version is current, else it
	// returns ErrConflict.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns the objects under prefix, sorted by key and without tombstones,
	// and the store revision at which they were read.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// ListStale is a cheaper List whose objects may be seconds old. The revision that
	// it returns may be newer than the objects.
	ListStale(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits for changes under prefix after the revision, for at most wait. It
	// returns the latest state of each changed object, including tombstones, ordered
	// by version, and the revision from which to continue. It returns ErrHistoryGone
	// if the platform no longer has the changes after the revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Roster is a membership list that the platform provides separately from its objects.
// A platform may instead provide its members as objects under MembersPrefix.
type Roster interface {
	// Members waits until the membership list is newer than the revision, for at most
	// wait, and returns the whole list. If after is 0 it returns immediately. On
	// timeout it returns a nil list and the same revision.
	Members(ctx context.Context, after uint64, wait time.Duration) ([]Member, uint64, error)
}
