package upstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

const (
	// maxBodyBytes is the largest response body. A body is buffered completely before
	// any byte is sent to the caller. The smaller buffers that it outgrew add up to a
	// third of its size until they are garbage-collected.
	maxBodyBytes = maxBufferedBytes / 4 * 3
	// growthFactor is the factor by which a full buffer grows.
	growthFactor = 4
	// initialBufferBytes is the initial size of a body buffer. A larger Content-Length
	// is not allocated in advance, as the bytes may never arrive.
	initialBufferBytes = 16 << 10
	// maxChunkLineBytes limits the line before a chunk. Most have about 10 bytes.
	maxChunkLineBytes = 4 << 10
	// freeChunkLineBytes is the part of each chunk line that does not count toward
	// maxHeadBytes.
	freeChunkLineBytes = 16
)

var (
	errNoLength       = errors.New("the response has no length and its connection did not end cleanly")
	errMalformedChunk = errors.New("the chunked encoding of the response is malformed")
	errLineTooLong    = errors.New("the chunk lines or trailers of the response are too long")
)

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
		err = b.readChunked()
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

// readChunked reads a chunked body. It validates and discards the trailers.
func (b *body) readChunked() error {
	for lineBudget := maxHeadBytes; ; {
		if first, err := b.nc.Peek(1); err == nil && !isHexDigit(first[0]) {
			return errMalformedChunk
		}
		line, err := readLine(b.nc, maxChunkLineBytes)
		if err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailers(b.nc)
		}
		if lineBudget -= max(0, len(line)-freeChunkLineBytes); lineBudget < 0 {
			return errLineTooLong
		}
		if err := b.readBytes(size); err != nil {
			return err
		}
		if line, err = readLine(b.nc, len(lineEnd)); err != nil {
			return err
		} else if len(line) > 0 {
			return errMalformedChunk
		}
	}
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// chunkSize parses the line before a chunk.
func chunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if errors.Is(err, strconv.ErrRange) {
		return 0, errBodyTooLarge
	}
	if err != nil {
		return 0, errMalformedChunk
	}
	return int(size), nil
}

// skipTrailers discards the trailers after the last chunk. The body is complete without
// them, so the connection may end instead.
func skipTrailers(nc *netconn.Conn) error {
	for remaining := maxHeadBytes; ; {
		line, err := readLine(nc, remaining)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil || len(line) == 0 {
			return err
		}
		remaining -= len(line) + len(lineEnd)
		if err := netconn.CheckField(line); err != nil {
			return err
		}
	}
}

const lineEnd = "\r\n"

// readLine consumes the next line of at most limit bytes and returns it without its end.
func readLine(nc *netconn.Conn, limit int) ([]byte, error) {
	for n := 1; ; n = nc.Len() + 1 {
		if n > limit {
			return nil, errLineTooLong
		}
		if _, err := nc.Peek(n); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		buffered, err := nc.Peek(min(nc.Len(), limit))
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			return bytes.TrimSuffix(buffered[:end], []byte("\r")), nc.Skip(end + 1)
		}
	}
}
