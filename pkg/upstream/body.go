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
	// maxAnswerBytes is the largest body of an answer, which is held whole before a
	// byte of it goes to the caller. The smaller buffers that it outgrew stay until
	// they are collected and are together a third as large.
	maxAnswerBytes = answerMemory / 4 * 3
	// growth is the factor by which a full buffer grows.
	growth = 4
	// firstPiece is the memory that is set aside before a byte of a body has
	// arrived, in bytes. A stated length says nothing about what will come.
	firstPiece = 16 << 10
	// maxChunkLine bounds the line before a chunk, in bytes; most have ten.
	maxChunkLine = 4 << 10
	// usualChunkLine is what the lines of a chunk may take without being counted
	// toward maxHeadBytes, in bytes.
	usualChunkLine = 16
)

var (
	errNoLength = errors.New("the answer has no length and its connection gives no clean end")
	errChunk    = errors.New("the chunks of the answer are malformed")
	errTooLong  = errors.New("a line of the answer is too long")
)

// The content lengths that the HTTP library gives a chunked body and one that
// ends with its connection.
const (
	chunkedBody  = -1
	unframedBody = -2
)

// body is a body that is arriving.
type body struct {
	nc    *netconn.Conn
	share *share
	// limit is the largest size that it can have.
	limit int
	bytes []byte
}

// readBody reads the body of an answer whose head was read.
func (c *conn) readBody(nc *netconn.Conn, rs *protocol.Response, s *share) error {
	if rs.MustSkipBody() {
		return nil
	}
	b := body{nc: nc, share: s, limit: maxAnswerBytes}
	var err error
	switch length := rs.Header.ContentLength(); length {
	case chunkedBody:
		err = b.readChunked()
	case unframedBody:
		rs.SetConnectionClose()
		if !c.dialect.Unframed {
			return errNoLength
		}
		err = b.readToEnd()
	default:
		b.limit = min(length, maxAnswerBytes)
		err = b.readMore(length)
	}
	rs.SetBodyRaw(b.bytes)
	return err
}

// readMore reads n bytes of the body.
func (b *body) readMore(n int) error {
	if n > maxAnswerBytes-len(b.bytes) {
		return errTooLarge
	}
	for to := len(b.bytes) + n; len(b.bytes) < to; {
		if err := b.read(to); errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
	return nil
}

// readToEnd reads until the connection ends, which must be in order.
func (b *body) readToEnd() error {
	for len(b.bytes) < b.limit {
		err := b.read(b.limit)
		if errors.Is(err, io.EOF) && b.nc.CleanEnd() {
			return nil
		}
		if err != nil {
			return errors.CombineErrors(errNoLength, err)
		}
	}
	return errTooLarge
}

// read reads what there is of the body, up to a size of it.
func (b *body) read(to int) error {
	if err := b.makeRoom(); err != nil {
		return err
	}
	have := len(b.bytes)
	n, err := b.nc.Read(b.bytes[have:min(to, cap(b.bytes))])
	b.bytes = b.bytes[:have+n]
	return err
}

// makeRoom lets a full buffer grow. Its sizes are the limit divided by powers of
// growth, so that all of them together stay below 4/3 of the limit.
func (b *body) makeRoom() error {
	old := cap(b.bytes)
	if len(b.bytes) < old {
		return nil
	}
	next := b.limit
	for next > firstPiece && next/growth > old {
		next /= growth
	}
	if err := b.share.take(next); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), next)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// readChunked reads a chunked body. Its trailers are checked and dropped.
func (b *body) readChunked() error {
	for spare := maxHeadBytes; ; {
		if first, err := b.nc.Peek(1); err == nil && !isHexDigit(first[0]) {
			return errChunk
		}
		line, err := readLine(b.nc, maxChunkLine)
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
		if spare -= max(0, len(line)-usualChunkLine); spare < 0 {
			return errTooLong
		}
		if err := b.readMore(size); err != nil {
			return err
		}
		if line, err = readLine(b.nc, len(lineEnd)); err != nil {
			return err
		} else if len(line) > 0 {
			return errChunk
		}
	}
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// chunkSize reads the line before a chunk.
func chunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if errors.Is(err, strconv.ErrRange) {
		return 0, errTooLarge
	}
	if err != nil {
		return 0, errChunk
	}
	return int(size), nil
}

// skipTrailers reads the trailers behind the last chunk. The body is whole without
// them, so that the connection may end in their place.
func skipTrailers(nc *netconn.Conn) error {
	for left := maxHeadBytes; ; {
		line, err := readLine(nc, left)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil || len(line) == 0 {
			return err
		}
		left -= len(line) + len(lineEnd)
		if err := netconn.CheckField(line); err != nil {
			return err
		}
	}
}

const lineEnd = "\r\n"

// readLine takes the next line of at most limit bytes, without its end.
func readLine(nc *netconn.Conn, limit int) ([]byte, error) {
	for n := 1; ; n = nc.Len() + 1 {
		if n > limit {
			return nil, errTooLong
		}
		if _, err := nc.Peek(n); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		all, err := nc.Peek(min(nc.Len(), limit))
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(all, '\n'); end >= 0 {
			return bytes.TrimSuffix(all[:end], []byte("\r")), nc.Skip(end + 1)
		}
	}
}
