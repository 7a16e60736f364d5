// Package netconn adapts TCP connections to the interface that the codec of the HTTP
// library requires, on top of the Go runtime's network poller.
//
// Only the output buffer comes from the network package of the HTTP library. The client
// connections of that package sometimes report a new connection as closed when many are
// opened and closed; see docs/decisions/request-path.md.
package netconn

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/netpoll"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// directReadBytes is the minimum size of a read that bypasses an empty read buffer.
	directReadBytes = 4096
	// directWriteBytes is the minimum size of a write that bypasses the output buffer, which
	// copies what it holds to write it in one piece.
	directWriteBytes = 64 << 10
)

// MaxPooledFields is the largest number of header fields of a request that may return to the
// pool of the HTTP library, which would keep the memory of all of them.
const MaxPooledFields = 256

// Conn is a TCP connection with buffers for the codec. One reader and one writer may
// use it concurrently.
type Conn struct {
	net.Conn
	// socket is the connection itself, or the one below TLS.
	socket *socket
	in     readBuffer
	out    netpoll.Writer
	raw    syscall.RawConn
	// head reads the head of the current message.
	head headReader
	// readErr is the last read error other than a timeout.
	readErr error
	// writeErr is the error of a write that bypassed the output buffer. The codec ignores
	// errors of WriteBinary, so Flush reports it.
	writeErr error
	// maxReplyBytes is DialConfig.MaxReplyBytes, and replyBytes the bytes counted toward it.
	maxReplyBytes, replyBytes int
}

var (
	_ network.Conn               = (*Conn)(nil)
	_ network.ErrorNormalization = (*Conn)(nil)
)

// DialConfig sets the timeouts and limits of a connection.
type DialConfig struct {
	// Timeout is the limit for establishing the connection.
	Timeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the connection fails (TCP_USER_TIMEOUT); 0 means the system's default.
	UnacknowledgedTimeout time.Duration
	// KeepAliveIdle is the idle time before the first TCP keep-alive probe; 0
	// disables keep-alive. Probes are half of it apart, and the connection fails
	// after two probes without an answer.
	KeepAliveIdle time.Duration
	// MaxReplyBytes limits the bytes received after a flush; 0 means no limit.
	MaxReplyBytes int
	// TLS is nil for connections without TLS. Timeout also limits the handshake.
	TLS *tls.Config
}

// ErrReplyTooLarge means that the bytes received after a flush reached
// DialConfig.MaxReplyBytes.
var ErrReplyTooLarge = errors.New("more bytes arrived than a reply may have")

// keepAliveProbes is the number of unanswered probes after which a connection fails. It
// is 2 because a single probe may get lost.
const keepAliveProbes = 2

// Dial opens a connection to an IP address and port.
func Dial(address string, c DialConfig) (*Conn, error) {
	d := net.Dialer{Timeout: c.Timeout, KeepAlive: -1}
	if c.KeepAliveIdle > 0 {
		d.KeepAlive = 0
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveIdle, Interval: c.KeepAliveIdle / 2, Count: keepAliveProbes}
	}
	if c.UnacknowledgedTimeout > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UnacknowledgedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(controlErr, err)
		}
	}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &socket{Conn: nc}
	var stream net.Conn = s
	if c.TLS != nil {
		if stream, err = handshake(s, c); err != nil {
			nc.Close()
			return nil, err
		}
	}
	wrapped, err := wrap(s, stream)
	if err != nil {
		return nil, err
	}
	wrapped.maxReplyBytes = c.MaxReplyBytes
	return wrapped, nil
}

// handshake returns the connection with TLS on top.
func handshake(s *socket, c DialConfig) (*tls.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	secured := tls.Client(s, c.TLS)
	return secured, secured.HandshakeContext(ctx)
}

// Wrap adds the buffers to an open connection.
func Wrap(nc net.Conn) (*Conn, error) {
	s := &socket{Conn: nc}
	return wrap(s, s)
}

// wrap adds the buffers to a stream over a socket.
func wrap(s *socket, stream net.Conn) (*Conn, error) {
	c := &Conn{Conn: stream, socket: s, out: netpoll.NewWriter(stream)}
	c.in.source = connReader{c}
	// IsReusable looks for bytes or the end of the connection below TLS.
	if nc, ok := s.Conn.(syscall.Conn); ok {
		raw, err := nc.SyscallConn()
		if err != nil {
			s.Close()
			return nil, err
		}
		c.raw = raw
	}
	return c, nil
}

// EndError returns why reading has ended, or nil if the peer ended the stream. It may end a write in
// progress, so the connection must not be used for another message.
func (s *Conn) EndError() error {
	_, secured := s.Conn.(*tls.Conn)
	switch {
	case s.readErr != io.EOF: //nolint:errorlint // connReader stores it unwrapped
		return s.readErr
	case !secured:
		return s.socket.lossError()
	case s.socket.readErr != nil:
		return errNoCloseNotify
	default:
		return nil
	}
}

// errNoCloseNotify means that a connection with TLS ended without a closure alert.
var errNoCloseNotify = errors.New("the connection ended without a closure alert of TLS")

// IsReusable reports whether the connection is open and has no unread bytes. It reads
// from the socket, so that it detects bytes that have just arrived. The read would
// consume a byte of a pending answer, so only the owner of an idle connection may call IsReusable.
func (s *Conn) IsReusable() bool {
	if s.in.Len() > 0 || s.raw == nil {
		return false
	}
	idle := false
	err := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// connReader reads from the wrapped connection, records its read error and enforces the
// limit of reply bytes. It reports a reset as io.EOF, because the codec only needs to know
// how much of the answer arrived before.
type connReader struct{ conn *Conn }

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	if r.conn.maxReplyBytes > 0 && r.conn.replyBytes >= r.conn.maxReplyBytes {
		return 0, ErrReplyTooLarge
	}
	n, err := r.conn.Conn.Read(p)
	if r.conn.maxReplyBytes > 0 {
		r.conn.replyBytes += n
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.conn.readErr = err
	}
	if errors.Is(err, syscall.ECONNRESET) {
		err = io.EOF
	}
	return n, err
}

// Read implements io.Reader.
func (s *Conn) Read(p []byte) (int, error) {
	if s.in.Len() == 0 && len(p) >= directReadBytes {
		return connReader{s}.Read(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := s.in.Peek(1); err != nil {
		return 0, err
	}
	part, err := s.in.Peek(min(len(p), s.in.Len()))
	if err != nil {
		return 0, err
	}
	n := copy(p, part)
	if err := s.in.Skip(n); err != nil {
		return n, err
	}
	return n, s.in.Release()
}

// Peek implements network.Reader.
func (s *Conn) Peek(n int) ([]byte, error) { return s.in.Peek(n) }

// Skip implements network.Reader.
func (s *Conn) Skip(n int) error { return s.in.Skip(n) }

// Release implements network.Reader.
func (s *Conn) Release() error { return s.in.Release() }

// Len implements network.Reader.
func (s *Conn) Len() int { return s.in.Len() }

// ReadByte implements network.Reader.
func (s *Conn) ReadByte() (byte, error) {
	b, err := s.in.Peek(1)
	if err != nil {
		return 0, err
	}
	first := b[0]
	return first, s.in.Skip(1)
}

// ReadBinary implements network.Reader.
func (s *Conn) ReadBinary(n int) ([]byte, error) {
	b, err := s.in.Peek(n)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(b), s.in.Skip(n)
}

// Malloc implements network.Writer.
func (s *Conn) Malloc(n int) ([]byte, error) { return s.out.Malloc(n) }

// WriteBinary implements network.Writer.
func (s *Conn) WriteBinary(b []byte) (int, error) {
	if len(b) < directWriteBytes {
		return s.out.WriteBinary(b)
	}
	if err := s.Flush(); err != nil {
		s.writeErr = err
		return 0, err
	}
	n, err := s.Write(b)
	s.writeErr = err
	return n, err
}

// Flush implements network.Writer.
func (s *Conn) Flush() error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if s.out.MallocLen() == 0 {
		return nil
	}
	if s.maxReplyBytes > 0 {
		s.replyBytes = 0
	}
	return s.out.Flush()
}

// SetReadTimeout implements network.Conn; 0 means no timeout.
func (s *Conn) SetReadTimeout(t time.Duration) error { return s.SetReadDeadline(deadline(t)) }

// SetWriteTimeout implements network.Conn; 0 means no timeout.
func (s *Conn) SetWriteTimeout(t time.Duration) error { return s.SetWriteDeadline(deadline(t)) }

func deadline(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// ToHertzError implements network.ErrorNormalization. For ErrConnectionClosed on a write,
// the library still reads the answer that the upstream sent before it closed the connection.
func (s *Conn) ToHertzError(err error) error {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN) {
		return hertzerrors.ErrConnectionClosed
	}
	return err
}
