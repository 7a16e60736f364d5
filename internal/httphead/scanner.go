package httphead

import (
	"bytes"
	"strings"
)

// maxLengthDigits limits the digits of a content length, so that it fits into 64 bits.
const maxLengthDigits = 18

// Scanner checks the head of one message incrementally: its first line and its header fields.
// The zero value is for an answer.
type Scanner struct {
	// Request is true for the head of a request.
	Request bool

	// size is the total size of the lines checked so far.
	size int
	// oldVersion is true for other versions than HTTP/1.1, which have no transfer codings. hosts is
	// the number of Host fields.
	oldVersion bool
	hosts      int
	// targetHost is the host with its port in the target of a request, if that is a URL.
	targetHost []byte
	// contentLength holds the value of Content-Length and lengthDigits its size, 0 if there is none.
	contentLength [maxLengthDigits]byte
	lengthDigits  int
	// chunked is true if there is a Transfer-Encoding field, whose only coding is chunked.
	chunked bool
	// contentCodings holds the values of the Content-Encoding fields of an answer.
	contentCodings []string
	// foldable is true if the previous line is a field whose value may continue on the next.
	foldable bool
}

// Size returns the size of the checked lines, which is that of the head once it is complete.
func (s *Scanner) Size() int { return s.size }

// ContentCoding returns the values of the Content-Encoding fields of an answer as one list, or an
// empty string if there are none.
func (s *Scanner) ContentCoding() string { return strings.Join(s.contentCodings, ", ") }

// Scan checks the lines of the head that have become complete. received begins with the first
// byte of the head. Scan reports whether the head is complete, and returns an *Error as soon as
// the bytes cannot be the start of a valid head.
func (s *Scanner) Scan(received []byte) (complete bool, err error) {
	if s.size == 0 {
		if err := s.checkStart(received); err != nil {
			return false, err
		}
	}
	for {
		end := bytes.IndexByte(received[s.size:], '\n')
		if end < 0 {
			return false, nil
		}
		line, hasCR := bytes.CutSuffix(received[s.size:s.size+end], []byte("\r"))
		if s.Request && !hasCR {
			return false, errLineEnd
		}
		first := s.size == 0
		s.size += end + 1
		switch {
		case first && s.Request:
			err = s.checkRequestLine(line)
		case first:
			err = s.checkStatusLine(line)
		case !first && len(line) == 0:
			return true, s.checkComplete()
		case !first:
			err = s.checkLine(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// checkStart checks the start of the first line, which may be incomplete.
func (s *Scanner) checkStart(received []byte) error {
	switch {
	case s.Request && !isMethodPrefix(received):
		return errRequestLine
	case !s.Request && !isStatusLinePrefix(received):
		return errStatusLine
	}
	return nil
}

// checkLine checks a header line, and its value if the HTTP library acts on the field.
func (s *Scanner) checkLine(line []byte) error {
	if isFolded(line) {
		switch {
		case !s.foldable:
			return errFolded
		case bytes.IndexByte(line, ':') >= 0:
			// Some readers, such as the HTTP library, take such a line for another field.
			return errFieldOrFold
		}
		return s.checkValue(line)
	}
	colon := 0
	for colon < len(line) && tokenBytes[line[colon]] {
		colon++
	}
	if colon == 0 || colon == len(line) || line[colon] != ':' {
		return ErrMalformedField
	}
	name, value := line[:colon], line[colon+1:]
	if err := s.checkValue(value); err != nil {
		return err
	}
	// The HTTP library leaves tabs around a value.
	return s.checkField(name, bytes.Trim(value, " "))
}

// checkValue checks the value of any field, or a part of it.
func (s *Scanner) checkValue(value []byte) error {
	switch {
	case hasControlByte(value):
		return errControlByte
	case !s.Request && hasStatusLine(value):
		return errJoinedHeads
	}
	return nil
}

// checkField checks the value of a field that names the destination or describes the body.
func (s *Scanner) checkField(name, value []byte) error {
	s.foldable = false
	switch len(name) {
	case len("Host"):
		if isName(name, "Host") {
			return s.checkHost(value)
		}
	case len("Trailer"):
		if isName(name, "Trailer") {
			return checkTrailer(value)
		}
	case len("Content-Length"):
		if isName(name, "Content-Length") {
			return s.checkContentLength(value)
		}
	case len("Content-Encoding"):
		if !s.Request && isName(name, "Content-Encoding") {
			s.addContentCoding(string(bytes.Trim(value, " \t")))
			return nil
		}
	case len("Transfer-Encoding"):
		if isName(name, "Transfer-Encoding") {
			return s.checkTransferEncoding(value)
		}
	}
	s.foldable = !s.Request
	return nil
}

// checkHost rejects a Host field that contradicts the target: whoever reads the request later may
// go by the other one.
func (s *Scanner) checkHost(value []byte) error {
	s.hosts++
	switch {
	case !s.Request:
		return nil
	case s.hosts > 1 || !isHost(value):
		return errHost
	case s.targetHost != nil && !bytes.EqualFold(withoutPort(s.targetHost), withoutPort(value)):
		return errOtherHost
	}
	return nil
}

// withoutPort returns a host without its port. An IPv6 address is in brackets.
func withoutPort(host []byte) []byte {
	if i := bytes.LastIndexByte(host, ':'); i > bytes.LastIndexByte(host, ']') {
		return host[:i]
	}
	return host
}

// checkComplete checks a head of which all lines have been checked.
func (s *Scanner) checkComplete() error {
	switch {
	case s.chunked && s.lengthDigits > 0:
		return errTwoLengths
	case s.chunked && s.oldVersion:
		return errTransferCoding
	case s.Request && s.hosts == 0 && !s.oldVersion:
		return errNoHost
	}
	return nil
}

func (s *Scanner) checkContentLength(value []byte) error {
	if !isContentLength(value) || s.lengthDigits > 0 && !bytes.Equal(s.contentLength[:s.lengthDigits], value) {
		return errContentLength
	}
	s.lengthDigits = copy(s.contentLength[:], value)
	return nil
}

// addContentCoding records the value of a field unless it is empty or repeats the previous one.
func (s *Scanner) addContentCoding(value string) {
	if n := len(s.contentCodings); value != "" && (n == 0 || s.contentCodings[n-1] != value) {
		s.contentCodings = append(s.contentCodings, value)
	}
}

// checkTransferEncoding accepts one field with the coding chunked. The HTTP library takes every
// coding but identity for chunked.
func (s *Scanner) checkTransferEncoding(value []byte) error {
	if s.chunked {
		return errTransferCoding
	}
	s.chunked = true
	if isName(value, "chunked") {
		return nil
	}
	last := value[bytes.LastIndexByte(value, ',')+1:]
	if isName(bytes.Trim(last, " \t"), "chunked") {
		return errUnknownCoding
	}
	return errTransferCoding
}

// CheckField returns ErrMalformedField unless the line, without its line ending, is a header
// field or continues the value of the previous field.
func CheckField(line []byte) error {
	if isFolded(line) {
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return ErrMalformedField
	}
	return nil
}

// isFolded reports whether a line continues the value of the previous field.
func isFolded(line []byte) bool { return len(line) > 0 && (line[0] == ' ' || line[0] == '\t') }

// isName reports whether a name is the given one, in any case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && name[0]|0x20 == want[0]|0x20 && strings.EqualFold(string(name), want)
}

// checkTrailer accepts a list of field names. The HTTP library panics on an empty element.
func checkTrailer(value []byte) error {
	if len(value) == 0 {
		return nil
	}
	for element := range bytes.SplitSeq(value, []byte(",")) {
		if !isToken(bytes.Trim(element, " ")) {
			return errTrailer
		}
	}
	return nil
}

func isContentLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
