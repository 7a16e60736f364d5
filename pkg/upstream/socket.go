package upstream

import (
	"io"
	"net"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/netpoll"
	"github.com/cockroachdb/errors"
)

// directRead is the size from which a read bypasses an empty buffer.
const directRead = 4096

// socket is a TCP connection in the form that the HTTP library wants, with the
// buffers of its network library but on the Go runtime's poller. The network
// library's own client connections now and then report a new connection as
// closed when many are opened and closed; see docs/decisions/request-path.md.
type socket struct {
	net.Conn
	in  netpoll.Reader
	out netpoll.Writer
	raw syscall.RawConn
}

var (
	_ network.Conn               = (*socket)(nil)
	_ network.ErrorNormalization = (*socket)(nil)
)

// dialSocket opens a connection to an IP number and port.
func dialSocket(address string, timeout time.Duration) (*socket, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	return &socket{Conn: c, in: netpoll.NewReader(received{c}), out: netpoll.NewWriter(c), raw: raw}, nil
}

// quiet reports whether the connection is open with nothing unread on it. It
// asks the system, so that what arrived a moment ago is seen. Only the owner of
// an idle connection may call it, as it would swallow a byte of an answer.
func (s *socket) quiet() bool {
	if s.in.Len() > 0 {
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

// received reads from a connection and takes a reset for its end: what matters
// is how much of the answer arrived before.
type received struct{ net.Conn }

// Read implements io.Reader.
func (r received) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if errors.Is(err, syscall.ECONNRESET) {
		err = io.EOF
	}
	return n, err
}

func normalized(err error) error {
	if errors.Is(err, netpoll.ErrEOF) {
		return io.EOF
	}
	return err
}

// Read implements io.Reader.
func (s *socket) Read(p []byte) (int, error) {
	if s.in.Len() == 0 && len(p) >= directRead {
		return received{s.Conn}.Read(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := s.in.Peek(1); err != nil {
		return 0, normalized(err)
	}
	part, err := s.in.Next(min(len(p), s.in.Len()))
	if err != nil {
		return 0, err
	}
	n := copy(p, part)
	return n, s.in.Release()
}

// Peek implements network.Reader.
func (s *socket) Peek(n int) ([]byte, error) {
	b, err := s.in.Peek(n)
	return b, normalized(err)
}

// Skip implements network.Reader.
func (s *socket) Skip(n int) error { return normalized(s.in.Skip(n)) }

// Release implements network.Reader.
func (s *socket) Release() error { return s.in.Release() }

// Len implements network.Reader.
func (s *socket) Len() int { return s.in.Len() }

// ReadByte implements network.Reader.
func (s *socket) ReadByte() (byte, error) {
	b, err := s.in.ReadByte()
	return b, normalized(err)
}

// ReadBinary implements network.Reader.
func (s *socket) ReadBinary(n int) ([]byte, error) {
	b, err := s.in.ReadBinary(n)
	return b, normalized(err)
}

// Malloc implements network.Writer.
func (s *socket) Malloc(n int) ([]byte, error) { return s.out.Malloc(n) }

// WriteBinary implements network.Writer.
func (s *socket) WriteBinary(b []byte) (int, error) { return s.out.WriteBinary(b) }

// Flush implements network.Writer.
func (s *socket) Flush() error {
	if s.out.MallocLen() == 0 {
		return nil
	}
	return s.out.Flush()
}

// SetReadTimeout implements network.Conn; 0 means no limit.
func (s *socket) SetReadTimeout(t time.Duration) error { return s.SetReadDeadline(deadline(t)) }

// SetWriteTimeout implements network.Conn; 0 means no limit.
func (s *socket) SetWriteTimeout(t time.Duration) error { return s.SetWriteDeadline(deadline(t)) }

func deadline(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// ToHertzError implements network.ErrorNormalization. After a write to a
// connection that the upstream has closed, the library reads what it sent before.
func (s *socket) ToHertzError(err error) error {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN) {
		return hertzerrors.ErrConnectionClosed
	}
	return err
}
