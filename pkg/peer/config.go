package peer

import (
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	DefaultMaxConns          = 128
	DefaultMaxIncoming       = 512
	DefaultIdleTimeout       = 30 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultMaxFrameBytes     = 8 << 20
	DefaultMaxHandlers       = 2048
	DefaultMaxStreamsPerConn = 256
)

// Config configures a Node. Zero fields are set to the defaults above.
type Config struct {
	// Listen is the numeric UDP IP:port; port 0 selects a free port.
	Listen string
	// Credentials are the CA certificates and the key pair of this daemon.
	Credentials Credentials
	// RegisteredKeys, if not nil, is used instead of Credentials.
	RegisteredKeys *RegisteredKeys
	// MaxConns is the maximum number of outgoing connections. Beyond it the one
	// that has been idle longest is closed; if none is idle, calls to further
	// peers fail with ErrNotSent.
	MaxConns int
	// MaxIncoming is the maximum number of incoming connections. Beyond it the
	// one that has been idle longest is closed; if none is idle, the new one is
	// refused.
	MaxIncoming int
	// IdleTimeout is how long an outgoing connection without calls stays open.
	IdleTimeout time.Duration
	// DialTimeout bounds the dial including the handshake.
	DialTimeout time.Duration
	// MaxFrameBytes is the maximum size of a request or reply.
	MaxFrameBytes int
	// MaxHandlers is the maximum number of concurrent handlers; further requests
	// are refused.
	MaxHandlers int
	// MaxStreamsPerConn is the maximum number of concurrent calls over one
	// connection; further calls wait at the sender.
	MaxStreamsPerConn int
	// Hold, if set, counts the memory of a frame of minHeldBytes or more until release is called.
	Hold func(bytes int) (release func())
	// Drop is for tests: a packet from one IP:port to another is dropped when
	// it returns true. It is called for both sent and received packets.
	Drop func(from, to string) bool
	// Logger logs failures that are not returned to a caller. The zero value
	// discards them.
	Logger zerolog.Logger
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.MaxIncoming, DefaultMaxIncoming)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&c.MaxHandlers, DefaultMaxHandlers)
	setDefault(&c.MaxStreamsPerConn, DefaultMaxStreamsPerConn)
}

func (c *Config) loadTLS() (*tlsConfigs, error) {
	if c.RegisteredKeys != nil {
		return c.RegisteredKeys.tlsConfigs(), nil
	}
	return c.Credentials.loadTLS()
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
