package netconn

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLengthDigits bounds a stated content length; all such numbers fit 64 bits.
const maxLengthDigits = 18

// ErrHeadTooLong means that the head of an answer does not end within its bound.
var ErrHeadTooLong = errors.New("the head does not end within its bound")

// AwaitHead waits until the whole head of an answer has arrived and returns its
// size. It fails as soon as the bytes so far begin no head, and when the head does
// not end within limit bytes.
func (s *Conn) AwaitHead(limit int) (int, error) {
	var h head
	for n := 1; ; n = s.Len() + 1 {
		if n > limit {
			return 0, ErrHeadTooLong
		}
		if _, err := s.Peek(n); err != nil {
			return 0, err
		}
		all, err := s.Peek(min(s.Len(), limit))
		if err != nil {
			return 0, err
		}
		if whole, err := h.scan(all); whole || err != nil {
			return h.scanned, err
		}
	}
}

// head checks a head while it arrives.
type head struct {
	// scanned is the size of the lines that were checked.
	scanned int
	// length is the stated content length, nil without one.
	length []byte
}

// scan checks the lines that are new, and reports whether the head is whole.
func (h *head) scan(all []byte) (whole bool, err error) {
	if h.scanned == 0 && !beginsStatusLine(all) {
		return false, errors.Newf("the bytes begin no status line: %.20q", all)
	}
	for {
		end := bytes.IndexByte(all[h.scanned:], '\n')
		if end < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(all[h.scanned:h.scanned+end], []byte("\r"))
		first := h.scanned == 0
		h.scanned += end + 1
		if len(line) == 0 {
			return true, nil
		}
		if !first {
			if err := h.field(line); err != nil {
				return false, err
			}
		}
	}
}

// field checks a header line.
func (h *head) field(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !strings.EqualFold(string(name), "Content-Length") {
		return nil
	}
	value = bytes.TrimSpace(value)
	if !isLength(value) || h.length != nil && !bytes.Equal(h.length, value) {
		return errors.Newf("the content length is no number or not the same each time: %.20q", value)
	}
	h.length = bytes.Clone(value)
	return nil
}

// CheckField checks whether a line, without its end, is a header field or goes on
// with the value of the field before.
func CheckField(line []byte) error {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isFieldName(name) {
		return errors.Newf("a line is no header field: %.20q", line)
	}
	return nil
}

// statusLine is the form of the start of a status line; each 0 stands for a digit.
const statusLine = "HTTP/1.0 000"

// beginsStatusLine reports whether the bytes are the start of a status line, or
// may become one.
func beginsStatusLine(b []byte) bool {
	for i := range min(len(b), len(statusLine)) {
		if statusLine[i] == '0' {
			if b[i] < '0' || b[i] > '9' {
				return false
			}
		} else if b[i] != statusLine[i] {
			return false
		}
	}
	return len(b) <= len(statusLine) || strings.IndexByte(" \r\n", b[len(statusLine)]) >= 0
}

// isFieldName reports whether a name is a token of the protocol.
func isFieldName(name []byte) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
