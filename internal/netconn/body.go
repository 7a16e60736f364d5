package netconn

import (
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

const (
	// bodyGrowth is the factor by which a full buffer of a body grows.
	bodyGrowth = 4
	// minBodyBuffer is the size of the first buffer of a body. A larger stated length is not
	// allocated in advance, as the bytes may never arrive.
	minBodyBuffer = 16 << 10
)

// Content lengths that the HTTP library reports for a chunked body and for one that ends with
// the connection.
const (
	chunkedBody  = -1
	UnframedBody = -2
)

var (
	// ErrBodyTooLarge means that a body exceeds its size limit.
	ErrBodyTooLarge = errors.New("the body is too large")
	// ErrNoLength means that a body has no length and its connection did not end cleanly.
	ErrNoLength = errors.New("the body has no length and its connection did not end cleanly")
)

// AnswerBody reads the body of an answer whose head has been read.
type AnswerBody struct {
	Conn *Conn
	// MaxBytes limits the body.
	MaxBytes int
	// Reserve, if set, is called before a buffer of the given size is allocated. The sizes add
	// up to at most 4/3 of MaxBytes.
	Reserve func(size int) error

	// expected is the largest size that the body may still turn out to have.
	expected int
	bytes    []byte
}

// Read reads the body, and returns what has arrived of it also with an error. The connection
// must close after a body without a length, which sets that in the answer.
func (b *AnswerBody) Read(answer *protocol.Response) ([]byte, error) {
	b.expected = b.MaxBytes
	var err error
	switch length := answer.Header.ContentLength(); length {
	case chunkedBody:
		err = ReadChunks(b.Conn, b.readBytes)
	case UnframedBody:
		answer.SetConnectionClose()
		err = b.readToEnd()
	default:
		b.expected = min(length, b.MaxBytes)
		err = b.readBytes(length)
	}
	return b.bytes, err
}

// readBytes reads n more bytes.
func (b *AnswerBody) readBytes(n int) error {
	if n > b.MaxBytes-len(b.bytes) {
		return ErrBodyTooLarge
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

// readToEnd reads until the connection ends. A connection that does not end cleanly is an error.
func (b *AnswerBody) readToEnd() error {
	for len(b.bytes) < b.MaxBytes {
		err := b.readSome(b.MaxBytes)
		if errors.Is(err, io.EOF) {
			if err = b.Conn.EndError(); err == nil {
				return nil
			}
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoLength, err)
		}
	}
	return ErrBodyTooLarge
}

// readSome reads the available bytes until the body has at most end bytes.
func (b *AnswerBody) readSome(end int) error {
	if err := b.ensureCapacity(); err != nil {
		return err
	}
	length := len(b.bytes)
	n, err := b.Conn.Read(b.bytes[length:min(end, cap(b.bytes))])
	b.bytes = b.bytes[:length+n]
	return err
}

// ensureCapacity grows a full buffer. The buffer sizes are the expected size divided by powers
// of bodyGrowth.
func (b *AnswerBody) ensureCapacity() error {
	old := cap(b.bytes)
	if len(b.bytes) < old {
		return nil
	}
	next := b.expected
	for next > minBodyBuffer && next/bodyGrowth > old {
		next /= bodyGrowth
	}
	if b.Reserve != nil {
		if err := b.Reserve(next); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.bytes), next)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}
