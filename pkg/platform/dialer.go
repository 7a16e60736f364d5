package platform

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"shallotglade/internal/netconn"
)

const (
	// silence is after how long without a packet the platform is asked whether a
	// connection is still there, and unacknowledged how long a call may stay
	// unacknowledged: connections can go silent without a reset, and a watch says
	// nothing for long.
	silence        = time.Second
	unacknowledged = 1500 * time.Millisecond
	// maxReplyBytes bounds a reply, with its head and all framing: eight times the
	// largest value, and eight times the largest page that the users' platform
	// sends. A daemon has 184 MB in all, and a reply takes up to four times its
	// size for a moment.
	maxReplyBytes = 8 * MaxValueBytes
	// maxHeadBytes bounds the head of a reply. The library reads a head from its
	// start again after each read, and keeps many times its size.
	maxHeadBytes = 64 << 10
)

// dialError marks an error from before the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// dialer opens watched connections, and marks the errors of opening them. The
// dialer that it embeds is for TLS.
type dialer struct{ network.Dialer }

func newDialer() network.Dialer { return dialer{standard.NewDialer()} }

// checkedConn reads the head of a reply only once it has arrived, within its bound.
type checkedConn struct {
	*netconn.Conn
	// asked means that a call was sent and no byte of its reply was read.
	asked bool
}

// Flush implements network.Writer.
func (c *checkedConn) Flush() error {
	c.asked = true
	return c.Conn.Flush()
}

// Peek implements network.Reader.
func (c *checkedConn) Peek(n int) ([]byte, error) {
	if c.asked {
		c.asked = false
		if _, err := c.AwaitHead(maxHeadBytes); err != nil {
			return nil, err
		}
	}
	return c.Conn.Peek(n)
}

// DialConnection implements network.Dialer.
func (d dialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	var conn network.Conn
	var err error
	if tlsConfig == nil {
		var plain *netconn.Conn
		plain, err = netconn.Dial(address, netconn.DialConfig{
			Timeout: timeout, Unacknowledged: unacknowledged, Silence: silence, MaxReply: maxReplyBytes,
		})
		conn = &checkedConn{Conn: plain}
	} else {
		conn, err = d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	}
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// onceDialer makes connections on which the hertz client never resends.
type onceDialer struct{ dialer }

func newOnceDialer() network.Dialer { return onceDialer{dialer{standard.NewDialer()}} }

// DialConnection implements network.Dialer.
func (d onceDialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return onceConn{conn}, nil
}

// onceConn hides from the hertz client that the server closed the connection.
//
// The hertz client sends PUT and DELETE again when a pooled connection ends
// before the first byte of the reply, even though the first one may have taken
// effect; the second would then report a conflict with the first. It decides by
// comparing the error with io.EOF and ECONNRESET, or through the interface
// network.ErrorNormalization, which this type leaves out.
type onceConn struct{ network.Conn }

// Peek implements network.Reader.
func (c onceConn) Peek(n int) ([]byte, error) {
	b, err := c.Conn.Peek(n)
	if err != nil {
		return b, &connError{cause: err}
	}
	return b, nil
}

// connError wraps a read error so that it equals no error that hertz looks for.
type connError struct{ cause error }

func (e *connError) Error() string { return "read reply: " + e.cause.Error() }
func (e *connError) Unwrap() error { return e.cause }
