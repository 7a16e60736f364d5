package httphead

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLengthDigits limits the digits of a content length, so that it fits into 64 bits.
const maxLengthDigits = 18

// Scanner checks the head of an answer (status line and header fields) incrementally.
type Scanner struct {
	// size is the total size of the lines checked so far.
	size int
	// contentLength is the value of Content-Length, nil if there is none.
	contentLength []byte
	// framing is true if the previous line is a field whose value must not continue on the next.
	framing bool
}

// Size returns the size of the checked lines, which is that of the head once it is complete.
func (s *Scanner) Size() int { return s.size }

// Scan checks the lines of the head that have become complete. received begins with the first
// byte of the head. Scan reports whether the head is complete, and returns an error as soon as
// the bytes cannot be the start of a valid head.
func (s *Scanner) Scan(received []byte) (complete bool, err error) {
	if s.size == 0 && !isStatusLinePrefix(received) {
		return false, errors.Newf("the bytes begin no status line: %.20q", received)
	}
	for {
		end := bytes.IndexByte(received[s.size:], '\n')
		if end < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(received[s.size:s.size+end], []byte("\r"))
		first := s.size == 0
		s.size += end + 1
		if len(line) == 0 {
			return true, nil
		}
		if !first {
			if err := s.checkLine(line); err != nil {
				return false, err
			}
		}
	}
}

// checkLine checks a header line, and its value if the HTTP library acts on the field.
func (s *Scanner) checkLine(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	if bytes.IndexByte(line, 0) >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return errors.Newf("a header field has a control character: %.20q", line)
	}
	if isFolded(line) {
		if s.framing {
			return errors.Newf("a field that describes the body is continued on the next line: %.20q", line)
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	return s.checkField(name, bytes.Trim(value, " \t"))
}

// checkField checks the value of a field that describes the body.
func (s *Scanner) checkField(name, value []byte) error {
	s.framing = true
	switch {
	case isName(name, "Content-Length"):
		if !isContentLength(value) || s.contentLength != nil && !bytes.Equal(s.contentLength, value) {
			return errors.Newf("the content length is no number or not the same each time: %.20q", value)
		}
		s.contentLength = bytes.Clone(value)
	case isName(name, "Trailer"):
		if !isNameList(value) {
			return errors.Newf("the Trailer field is no list of field names: %.20q", value)
		}
	default:
		s.framing = isName(name, "Transfer-Encoding")
	}
	return nil
}

// ErrMalformedField marks the errors of CheckField, which quote the line.
var ErrMalformedField = errors.New("a line is no header field")

// CheckField returns an error unless the line, without its line ending, is a header field
// or continues the value of the previous field.
func CheckField(line []byte) error {
	if isFolded(line) {
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return errors.Mark(errors.Newf("a line is no header field: %.20q", line), ErrMalformedField)
	}
	return nil
}

// isFolded reports whether a line continues the value of the previous field.
func isFolded(line []byte) bool { return len(line) > 0 && (line[0] == ' ' || line[0] == '\t') }

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

// isName reports whether a field name is the given one, in any case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// isNameList reports whether a value is a list of field names. The HTTP library panics on an
// empty element of the Trailer field.
func isNameList(value []byte) bool {
	if len(value) == 0 {
		return true
	}
	for element := range bytes.SplitSeq(value, []byte(",")) {
		if !isToken(bytes.Trim(element, " \t")) {
			return false
		}
	}
	return true
}

// isToken reports whether the bytes are an HTTP token.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes holds the bytes that a token may have.
var tokenBytes = func() (table [256]bool) {
	for c := range table {
		b := byte(c)
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		table[c] = alphanumeric || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return table
}()

func isContentLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
