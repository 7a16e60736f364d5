package ingress

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// progressBytes is how many bytes a caller must send or read to make progress while a request
	// arrives or an answer is written, so that single bytes do not count. With
	// memory.StalledAfter it is 32 kbit/s.
	progressBytes = 4 << 10
	// writeBytes is the largest write to a connection. The progress is known after each.
	writeBytes = 64 << 10
)

// processStart is the origin of the times in transport, which are monotonic.
var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// transport is a connection that records the progress of its peer. One reader and one
// writer may use it concurrently.
type transport struct {
	net.Conn
	// lastRead and lastWrite are the times of the latest progress.
	lastRead, lastWrite atomic.Int64
	// readBytes are the bytes read since lastRead. Only the reader uses it.
	readBytes int
	// received are all bytes read from the connection.
	received atomic.Int64
}

// Read implements net.Conn.
func (t *transport) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.received.Add(int64(n))
	if t.readBytes += n; t.readBytes >= progressBytes {
		t.markRead()
	}
	return n, err
}

// markRead records progress of the reader, which calls it.
func (t *transport) markRead() {
	t.readBytes = 0
	t.lastRead.Store(sinceStart())
}

// arrived returns how many bytes have arrived on the connection, including those that the
// reader has not read yet.
func (t *transport) arrived() int64 {
	for {
		received := t.received.Load()
		unread := t.unread()
		if t.received.Load() == received {
			return received + unread
		}
	}
}

// unread returns how many bytes wait in the socket, or 0 if that is unknown.
func (t *transport) unread() int64 {
	s, ok := t.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if controlErr != nil || err != nil {
		return 0 // The connection is closed.
	}
	return int64(n)
}

// Write implements net.Conn.
func (t *transport) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		n, err := t.Conn.Write(part)
		written += n
		t.lastWrite.Store(sinceStart())
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// closeWrite ends the outgoing direction if the connection has two.
func (t *transport) closeWrite() {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		// It fails only if the connection is closed already.
		_ = c.CloseWrite()
	}
}
