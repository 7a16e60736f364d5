package httpcall

import (
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

// Content lengths that the HTTP library reports for a chunked body and for a body that ends
// with the connection.
const (
	chunkedBody  = -1
	unframedBody = -2
)

// minBufferBytes is the size of the first buffer of a body. A larger stated length is not
// allocated in advance, as the bytes may never arrive.
const minBufferBytes = 16 << 10

// body is the body of an answer that is being received.
type body struct {
	conn     *netconn.Conn
	maxBytes int
	bytes    []byte
}

func (b *body) read(answer *protocol.Response) error {
	switch length := answer.Header.ContentLength(); length {
	case chunkedBody:
		return netconn.ReadChunks(b.conn, b.readBytes)
	case unframedBody:
		answer.SetConnectionClose()
		return b.readToEnd()
	default:
		return b.readBytes(length)
	}
}

// readBytes reads n more bytes.
func (b *body) readBytes(n int) error {
	if n > b.maxBytes-len(b.bytes) {
		return ErrAnswerTooLarge
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

// readToEnd reads until the server closes the connection.
func (b *body) readToEnd() error {
	for len(b.bytes) < b.maxBytes {
		err := b.readSome(b.maxBytes)
		if errors.Is(err, io.EOF) && b.conn.ClosedByPeer() {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ErrAnswerTooLarge
}

// readSome reads the available bytes until the body has at most end bytes.
func (b *body) readSome(end int) error {
	if len(b.bytes) == cap(b.bytes) {
		grown := make([]byte, len(b.bytes), min(max(minBufferBytes, 2*cap(b.bytes)), b.maxBytes))
		copy(grown, b.bytes)
		b.bytes = grown
	}
	length := len(b.bytes)
	n, err := b.conn.Read(b.bytes[length:min(end, cap(b.bytes))])
	b.bytes = b.bytes[:length+n]
	return err
}
