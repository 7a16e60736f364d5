package netconn

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLengthDigits limits the digits of a content length, so that it fits into 64 bits.
const maxLengthDigits = 18

// ErrHeadTooLong means that the head of an answer exceeds its size limit.
var ErrHeadTooLong = errors.New("the head does not end within its bound")

// AwaitHead waits until the complete head of an answer (status line and headers) has
// arrived and returns its size. It fails as soon as the received bytes cannot be the start
// of a valid head, or when the head does not end within limit bytes.
func (s *Conn) AwaitHead(limit int) (int, error) {
	var h headScanner
	for n := 1; ; n = s.Len() + 1 {
		if n > limit {
			return 0, ErrHeadTooLong
		}
		if _, err := s.Peek(n); err != nil {
			return 0, err
		}
		received, err := s.Peek(min(s.Len(), limit))
		if err != nil {
			return 0, err
		}
		if complete, err := h.scan(received); complete || err != nil {
			return h.scanned, err
		}
	}
}

// headScanner validates a head incrementally.
type headScanner struct {
	// scanned is the total size of the lines checked so far.
	scanned int
	// contentLength is the value of Content-Length, nil if there is none.
	contentLength []byte
}

// scan checks the complete lines after the scanned ones, and reports whether the head is
// complete.
func (h *headScanner) scan(received []byte) (complete bool, err error) {
	if h.scanned == 0 && !isStatusLinePrefix(received) {
		return false, errors.Newf("the bytes begin no status line: %.20q", received)
	}
	for {
		end := bytes.IndexByte(received[h.scanned:], '\n')
		if end < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(received[h.scanned:h.scanned+end], []byte("\r"))
		first := h.scanned == 0
		h.scanned += end + 1
		if len(line) == 0 {
			return true, nil
		}
		if !first {
			if err := h.checkHeader(line); err != nil {
				return false, err
			}
		}
	}
}

// checkHeader checks a header line and, if it is a Content-Length, its value.
func (h *headScanner) checkHeader(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	if bytes.IndexByte(line, 0) >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return errors.Newf("a header field has a control character: %.20q", line)
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !strings.EqualFold(string(name), "Content-Length") {
		return nil
	}
	value = bytes.TrimSpace(value)
	if !isContentLength(value) || h.contentLength != nil && !bytes.Equal(h.contentLength, value) {
		return errors.Newf("the content length is no number or not the same each time: %.20q", value)
	}
	h.contentLength = bytes.Clone(value)
	return nil
}

// ErrMalformedField marks the errors of CheckField, which quote the line.
var ErrMalformedField = errors.New("a line is no header field")

// CheckField returns an error unless the line, without its line ending, is a header field
// or continues the value of the previous field.
func CheckField(line []byte) error {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isFieldName(name) {
		return errors.Mark(errors.Newf("a line is no header field: %.20q", line), ErrMalformedField)
	}
	return nil
}

// statusLinePattern is the pattern of the start of a status line; each 0 matches any digit, and
// S those that begin a status of 100 to 599. The HTTP library would report 000 as 200, and other
// codes below 200 as interim answers.
const statusLinePattern = "HTTP/1.0 S00"

// isStatusLinePrefix reports whether the bytes begin with a status line or are the start
// of one.
func isStatusLinePrefix(b []byte) bool {
	for i := range min(len(b), len(statusLinePattern)) {
		ok := b[i] == statusLinePattern[i]
		switch statusLinePattern[i] {
		case '0':
			ok = b[i] >= '0' && b[i] <= '9'
		case 'S':
			ok = b[i] >= '1' && b[i] <= '5'
		}
		if !ok {
			return false
		}
	}
	return len(b) <= len(statusLinePattern) || strings.IndexByte(" \r\n", b[len(statusLinePattern)]) >= 0
}

// isFieldName reports whether a name is an HTTP token.
func isFieldName(name []byte) bool {
	for _, c := range name {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isContentLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
