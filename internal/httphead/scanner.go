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
	// version1 is true for HTTP/1.0. hosts is the number of Host fields.
	version1 bool
	hosts    int
	// contentLength holds the value of Content-Length and lengthDigits its size, 0 if there is none.
	contentLength [maxLengthDigits]byte
	lengthDigits  int
	// chunked is true if there is a Transfer-Encoding field, whose only coding is chunked.
	chunked bool
	// framing is true if the previous line is a field whose value must not continue on the next.
	framing bool
}

// Size returns the size of the checked lines, which is that of the head once it is complete.
func (s *Scanner) Size() int { return s.size }

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
			err = checkStatusLine(line)
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
	if err := CheckField(line); err != nil {
		return err
	}
	if hasControlByte(line) {
		return errControlByte
	}
	if !s.Request && hasStatusLine(line) {
		return errJoinedHeads
	}
	if isFolded(line) {
		if s.framing || s.Request {
			return errFolded
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	return s.checkField(name, bytes.Trim(value, " \t"))
}

// checkField checks the value of a field that names the destination or describes the body.
func (s *Scanner) checkField(name, value []byte) error {
	s.framing = true
	switch {
	case isName(name, "Host"):
		if s.hosts++; s.hosts > 1 || !isHost(value) {
			return errHost
		}
	case isName(name, "Content-Length"):
		return s.checkContentLength(value)
	case isName(name, "Trailer"):
		if !isNameList(value) {
			return errTrailer
		}
	case isName(name, "Transfer-Encoding"):
		return s.checkTransferEncoding(value)
	default:
		s.framing = false
	}
	return nil
}

// checkComplete checks a head of which all lines have been checked.
func (s *Scanner) checkComplete() error {
	switch {
	case s.chunked && s.lengthDigits > 0:
		return errTwoLengths
	case s.chunked && s.version1:
		return errTransferCoding
	case s.Request && s.hosts == 0 && !s.version1:
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

func isContentLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
