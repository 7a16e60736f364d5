// Package netconn gives TCP connections the form that the HTTP library's codec
// wants, on the Go runtime's poller.
//
// The output buffer is that of the library's own network package. Its client
// connections now and then report a new connection as closed when many are
// opened and closed; see docs/decisions/request-path.md.
package netconn

import (
	"bytes"
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

// directRead is the size from which a read bypasses an empty buffer.
const directRead = 4096

// Conn is a TCP connection with buffers for the codec. Reads and writes may go
// on at the same time, but only one of each.
type Conn struct {
	net.Conn
	in  input
	out netpoll.Writer
	raw syscall.RawConn
	// end is the error that ended reading.
	end error
	// maxReply is DialConfig.MaxReply, and received what counts toward it.
	maxReply, received int
}

var (
	_ network.Conn               = (*Conn)(nil)
	_ network.ErrorNormalization = (*Conn)(nil)
)

// DialConfig says how a connection is opened and watched.
type DialConfig struct {
	// Timeout bounds opening the connection.
	Timeout time.Duration
	// Unacknowledged is how long sent bytes may stay unacknowledged before the
	// connection fails; 0 leaves it to the system.
	Unacknowledged time.Duration
	// Silence is after how long without a packet the peer is asked whether the
	// connection is still there; 0 means never. The connection fails after two
	// questions without an answer, half a Silence apart.
	Silence time.Duration
	// MaxReply is the most bytes that may arrive after a flush; 0 means no bound.
	MaxReply int
}

// ErrTooMuch means that more bytes arrived than DialConfig.MaxReply.
var ErrTooMuch = errors.New("more bytes arrived than a reply may have")

// silenceProbes is how many unanswered questions end a connection: one may get
// lost.
const silenceProbes = 2

// Dial opens a connection to an IP number and port.
func Dial(address string, c DialConfig) (*Conn, error) {
	d := net.Dialer{Timeout: c.Timeout, KeepAlive: -1}
	if c.Silence > 0 {
		d.KeepAlive = 0
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.Silence, Interval: c.Silence / 2, Count: silenceProbes}
	}
	if c.Unacknowledged > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.Unacknowledged.Milliseconds()))
			})
			return errors.CombineErrors(controlErr, err)
		}
	}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped, err := Wrap(nc)
	if err != nil {
		return nil, err
	}
	wrapped.maxReply = c.MaxReply
	return wrapped, nil
}

// Wrap gives an open connection the buffers.
func Wrap(nc net.Conn) (*Conn, error) {
	c := &Conn{Conn: nc, out: netpoll.NewWriter(nc)}
	c.in.from = received{c}
	if s, ok := nc.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err != nil {
			nc.Close()
			return nil, err
		}
		c.raw = raw
	}
	return c, nil
}

// CleanEnd reports whether reading ended because the peer closed its side in
// order, and not by a reset or a time-out.
func (s *Conn) CleanEnd() bool { return s.end == io.EOF } //nolint:errorlint // set as is by received

// Quiet reports whether the connection is open with nothing unread on it. It
// asks the system, so that what arrived a moment ago is seen. Only the owner of
// an idle connection may call it, as it would swallow a byte of an answer.
func (s *Conn) Quiet() bool {
	if s.in.Len() > 0 || s.raw == nil {
		return false
	}
	quiet := false
	err := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// received reads from a connection, notes how it ended, and takes a reset for
// its end: what matters to the codec is how much of the answer arrived before.
type received struct{ conn *Conn }

// Read implements io.Reader.
func (r received) Read(p []byte) (int, error) {
	if r.conn.maxReply > 0 && r.conn.received >= r.conn.maxReply {
		return 0, ErrTooMuch
	}
	n, err := r.conn.Conn.Read(p)
	if r.conn.maxReply > 0 {
		r.conn.received += n
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.conn.end = err
	}
	if errors.Is(err, syscall.ECONNRESET) {
		err = io.EOF
	}
	return n, err
}

// Read implements io.Reader.
func (s *Conn) Read(p []byte) (int, error) {
	if s.in.Len() == 0 && len(p) >= directRead {
		return received{s}.Read(p)
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
func (s *Conn) WriteBinary(b []byte) (int, error) { return s.out.WriteBinary(b) }

// Flush implements network.Writer.
func (s *Conn) Flush() error {
	if s.out.MallocLen() == 0 {
		return nil
	}
	if s.maxReply > 0 {
		s.received = 0
	}
	return s.out.Flush()
}

// SetReadTimeout implements network.Conn; 0 means no limit.
func (s *Conn) SetReadTimeout(t time.Duration) error { return s.SetReadDeadline(deadline(t)) }

// SetWriteTimeout implements network.Conn; 0 means no limit.
func (s *Conn) SetWriteTimeout(t time.Duration) error { return s.SetWriteDeadline(deadline(t)) }

func deadline(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// ToHertzError implements network.ErrorNormalization. After a write to a
// connection that the upstream has closed, the library reads what it sent before.
func (s *Conn) ToHertzError(err error) error {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN) {
		return hertzerrors.ErrConnectionClosed
	}
	return err
}
