package upstream

import (
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
)

const (
	// maxBodyBytes is the largest response body: three quarters of half the memory budget of the
	// smallest host. A body is buffered completely before any byte is sent to the caller. The
	// smaller buffers that it outgrew add up to a third of its size until they are
	// garbage-collected.
	maxBodyBytes = memory.DefaultBytes / 2 / 4 * 3
	// growthFactor is the factor by which a full buffer grows.
	growthFactor = 4
	// initialBufferBytes is the initial size of a body buffer. A larger Content-Length
	// is not allocated in advance, as the bytes may never arrive.
	initialBufferBytes = 16 << 10
)

var errNoLength = errors.New("the response has no length and its connection did not end cleanly")

// Content lengths that the HTTP library reports for a chunked body and for a body
// that ends with the connection.
const (
	chunkedBody  = -1
	unframedBody = -2
)

// body is a response body that is being received.
type body struct {
	nc          *netconn.Conn
	reservation *reservation
	// maxBytes is the largest possible size of the body.
	maxBytes int
	bytes    []byte
}

// readBody reads the body of a response whose head has been read.
func (c *conn) readBody(nc *netconn.Conn, rs *protocol.Response, s *reservation) error {
	if rs.MustSkipBody() {
		return nil
	}
	b := body{nc: nc, reservation: s, maxBytes: maxBodyBytes}
	var err error
	switch length := rs.Header.ContentLength(); length {
	case chunkedBody:
		err = netconn.ReadChunks(nc, b.readBytes)
	case unframedBody:
		rs.SetConnectionClose()
		if !c.dialect.AllowUnframed {
			return errNoLength
		}
		err = b.readToEnd()
	default:
		b.maxBytes = min(length, maxBodyBytes)
		err = b.readBytes(length)
	}
	rs.SetBodyRaw(b.bytes)
	return err
}

// readBytes reads n more bytes of the body.
func (b *body) readBytes(n int) error {
	if n > maxBodyBytes-len(b.bytes) {
		return errBodyTooLarge
	}
	for end := len(b.bytes) + n; len(b.bytes) < end; {
		if err := b.readSome(end); errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
	return nil
}

// readToEnd reads until the connection ends. A connection that does not end cleanly
// is an error.
func (b *body) readToEnd() error {
	for len(b.bytes) < b.maxBytes {
		err := b.readSome(b.maxBytes)
		if errors.Is(err, io.EOF) && b.nc.ClosedByPeer() {
			return nil
		}
		if err != nil {
			return errors.CombineErrors(errNoLength, err)
		}
	}
	return errBodyTooLarge
}

// readSome reads the available bytes until the body has at most end bytes.
func (b *body) readSome(end int) error {
	if err := b.ensureCapacity(); err != nil {
		return err
	}
	length := len(b.bytes)
	n, err := b.nc.Read(b.bytes[length:min(end, cap(b.bytes))])
	b.bytes = b.bytes[:length+n]
	return err
}

// ensureCapacity grows a full buffer. The buffer sizes are maxBytes divided by powers
// of growthFactor, so their sum stays below 4/3 of maxBytes.
func (b *body) ensureCapacity() error {
	old := cap(b.bytes)
	if len(b.bytes) < old {
		return nil
	}
	next := b.maxBytes
	for next > initialBufferBytes && next/growthFactor > old {
		next /= growthFactor
	}
	if err := b.reservation.grow(next); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), next)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}
