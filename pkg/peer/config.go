package peer

import (
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	DefaultMaxConns      = 128
	DefaultMaxIncoming   = 512
	DefaultIdleTimeout   = 30 * time.Second
	DefaultDialTimeout   = time.Second
	DefaultMaxFrameBytes = 8 << 20
	DefaultMaxHandlers   = 2048
	DefaultPeerHandlers  = 256
)

// Config configures a Node. Zero fields take the defaults above.
type Config struct {
	// Listen is the numeric UDP IP:port; port 0 takes a free one.
	Listen string
	// Credentials are the authorities and the key pair of this daemon.
	Credentials Credentials
	// Registered replaces Credentials unless it is nil.
	Registered *Registered
	// MaxConns bounds the outgoing connections. Beyond it the one that has
	// been idle longest is closed; if none is idle, calls to further peers
	// fail with ErrNotSent.
	MaxConns int
	// MaxIncoming bounds the incoming connections in the same way.
	MaxIncoming int
	// IdleTimeout closes an outgoing connection without calls.
	IdleTimeout time.Duration
	// DialTimeout bounds connecting and the handshake.
	DialTimeout time.Duration
	// MaxFrameBytes bounds a request and a reply.
	MaxFrameBytes int
	// MaxHandlers bounds the handlers that run at a time; further requests are
	// refused.
	MaxHandlers int
	// PeerHandlers bounds the concurrent calls over one connection; further
	// calls wait at their sender.
	PeerHandlers int
	// Drop is for tests: a packet from one IP:port to another is dropped when
	// it returns true. It sees both sent and received packets.
	Drop func(from, to string) bool
	// Logger gets failures that no caller sees; the zero value is silent.
	Logger zerolog.Logger
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.MaxIncoming, DefaultMaxIncoming)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&c.MaxHandlers, DefaultMaxHandlers)
	setDefault(&c.PeerHandlers, DefaultPeerHandlers)
}

func (c *Config) load() (*keys, error) {
	if c.Registered != nil {
		return c.Registered.keys(), nil
	}
	return c.Credentials.load()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
