package netconn

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// socket is a connection below the buffers, and below TLS if that is used. It records how reads
// and writes fail.
//
// The kernel reports the loss of a connection once, to a read or to a write. If a write gets the
// error, the next read finds the end of the stream, as if the peer had closed its side.
type socket struct {
	net.Conn
	// readErr is the last error of a read other than a timeout. Only the reader uses it.
	readErr error
	// writing is held during a write, and guards lossErr.
	writing sync.Mutex
	// lossErr is the first error of a write that reported the loss of the connection.
	lossErr error
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (s *socket) Write(p []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.Conn.Write(p)
	if s.lossErr == nil && isLoss(err) {
		s.lossErr = err
	}
	return n, err
}

// isLoss reports whether an error of a write means that the connection was lost. After EPIPE, the
// reads tell: either the peer had closed its side before, or a read has got the error.
func isLoss(err error) bool {
	return err != nil && !errors.IsAny(err, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed)
}

// lossError returns the error of the write that reported the loss of the connection, or nil. It ends
// a write in progress.
func (s *socket) lossError() error {
	// The write may have got an error that it has not returned yet. Setting the deadline fails only
	// on a closed connection, where no write waits.
	_ = s.SetWriteDeadline(time.Now())
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.lossErr
}
