package platform

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"shallotglade/internal/netconn"
)

const (
	// tcpKeepAliveIdle is the time without a packet after which TCP keep-alive probes
	// start, and tcpUserTimeout is how long sent bytes may stay unacknowledged. They
	// detect connections that fail without a reset, which a long poll would not notice.
	tcpKeepAliveIdle = time.Second
	tcpUserTimeout   = 1500 * time.Millisecond
	// maxReplyBytes limits a reply including its head and framing. It is eight times
	// the largest value, and eight times the largest page of the users' platform. The
	// smallest host has 184 MB in total, and a reply briefly takes up to four times its
	// size.
	maxReplyBytes = 8 * MaxValueBytes
	// maxHeadBytes limits the head of a reply. The library parses the head from its
	// start after each read, and allocates many times its size.
	maxHeadBytes = 64 << 10
)

// dialError marks errors that occurred before the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// dialer opens connections that detect failed paths and limit replies, and marks dial
// errors. Connections with TLS are opened by the embedded dialer.
type dialer struct{ network.Dialer }

func newDialer() network.Dialer { return dialer{standard.NewDialer()} }

// checkedConn waits until the whole head of a reply has arrived, and limits its size.
type checkedConn struct {
	*netconn.Conn
	// awaitingHead is true after a call was sent and before its reply is read.
	awaitingHead bool
}

// Flush implements network.Writer.
func (c *checkedConn) Flush() error {
	c.awaitingHead = true
	return c.Conn.Flush()
}

// Peek implements network.Reader.
func (c *checkedConn) Peek(n int) ([]byte, error) {
	if c.awaitingHead {
		c.awaitingHead = false
		if err := c.AwaitAnswerHead(maxHeadBytes); err != nil {
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
			Timeout: timeout, UnacknowledgedTimeout: tcpUserTimeout, KeepAliveIdle: tcpKeepAliveIdle, MaxReplyBytes: maxReplyBytes,
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

// noRetryDialer opens connections on which the hertz client never resends a request.
type noRetryDialer struct{ dialer }

func newNoRetryDialer() network.Dialer { return noRetryDialer{dialer{standard.NewDialer()}} }

// DialConnection implements network.Dialer.
func (d noRetryDialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return noRetryConn{conn}, nil
}

// noRetryConn hides from the hertz client that the server closed the connection.
//
// The hertz client resends PUT and DELETE if a pooled connection ends before the first
// byte of the reply. The first request may have taken effect, and the second would then
// report a conflict with it. The client detects the closed connection by io.EOF,
// ECONNRESET or the interface network.ErrorNormalization, which this type does not
// implement.
type noRetryConn struct{ network.Conn }

// Peek implements network.Reader.
func (c noRetryConn) Peek(n int) ([]byte, error) {
	b, err := c.Conn.Peek(n)
	if err != nil {
		return b, &readError{cause: err}
	}
	return b, nil
}

// readError wraps a read error so that hertz does not recognize it.
type readError struct{ cause error }

func (e *readError) Error() string { return "read reply: " + e.cause.Error() }
func (e *readError) Unwrap() error { return e.cause }
