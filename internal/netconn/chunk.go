package netconn

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/httphead"
)

const (
	// maxFramingBytes limits the chunk lines of a body, and separately its trailers. It is
	// several times the usual limit of HTTP servers for a head (8 to 16 KiB).
	maxFramingBytes = 64 << 10
	// maxChunkLineBytes limits the line before a chunk. Most have about 10 bytes.
	maxChunkLineBytes = 4 << 10
	// freeChunkLineBytes is the part of each chunk line that does not count toward
	// maxFramingBytes.
	freeChunkLineBytes = 16
)

// Errors of ReadChunks, besides those of the connection.
var (
	ErrMalformedChunk = errors.New("the chunked encoding is malformed")
	ErrChunkTooLarge  = errors.New("the size of a chunk is out of range")
	ErrLineTooLong    = errors.New("the chunk lines or trailers are too long")
)

// ReadChunks reads a chunked body. readData reads the given number of bytes of the body
// from the connection. The trailers are validated and discarded.
func ReadChunks(nc *Conn, readData func(size int) error) error {
	for lineBudget := maxFramingBytes; ; {
		if first, err := nc.Peek(1); err == nil && !isHexDigit(first[0]) {
			return ErrMalformedChunk
		}
		line, err := readLine(nc, maxChunkLineBytes)
		if err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailers(nc)
		}
		if lineBudget -= max(0, len(line)-freeChunkLineBytes); lineBudget < 0 {
			return ErrLineTooLong
		}
		if err := readData(size); err != nil {
			return err
		}
		if line, err = readLine(nc, len(lineEnd)); err != nil {
			return err
		} else if len(line) > 0 {
			return ErrMalformedChunk
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
		return 0, ErrChunkTooLarge
	}
	if err != nil {
		return 0, ErrMalformedChunk
	}
	return int(size), nil
}

// skipTrailers discards the trailers after the last chunk. The body is complete without
// them, so the connection may end instead.
func skipTrailers(nc *Conn) error {
	for remaining := maxFramingBytes; ; {
		line, err := readLine(nc, remaining)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil || len(line) == 0 {
			return err
		}
		remaining -= len(line) + len(lineEnd)
		if err := httphead.CheckField(line); err != nil {
			return err
		}
	}
}

const lineEnd = "\r\n"

// readLine consumes the next line of at most limit bytes and returns it without its end. Other
// readers may take a bare line feed or carriage return for a part of the line.
func readLine(nc *Conn, limit int) ([]byte, error) {
	for n := 1; ; n = nc.Len() + 1 {
		if n > limit {
			return nil, ErrLineTooLong
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
			line, hasCR := bytes.CutSuffix(buffered[:end], []byte("\r"))
			if !hasCR || bytes.IndexByte(line, '\r') >= 0 {
				return nil, ErrMalformedChunk
			}
			return line, nc.Skip(end + 1)
		}
	}
}
