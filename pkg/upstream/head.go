package upstream

import (
	"bytes"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

const (
	// maxHeadBytes bounds the head of an answer with the interim answers before
	// it, and the trailers behind a chunked body. It is several times what HTTP
	// servers usually take (8 to 16 KiB), and heads at each of the 330 connections
	// to an upstream stay below 21 MiB.
	maxHeadBytes = 64 << 10
	// maxLengthDigits bounds a stated content length; all such numbers fit 64 bits.
	maxLengthDigits = 18
)

var (
	errHeadTooLong = errors.Newf("no end of the head within %d bytes", maxHeadBytes)
	errHeadUnread  = errors.New("the head has another end for the HTTP library")
)

// readHead reads the head of the next final answer. Interim answers are passed
// over.
func readHead(nc *netconn.Conn, rs *protocol.Response) error {
	rs.ResetBody()
	for left := maxHeadBytes; ; {
		size, err := awaitHead(nc, left)
		if err != nil {
			return err
		}
		// The library moves what is behind a folded header field in the buffer, so
		// that it must see the head alone.
		alone := &oneHead{nc, size}
		if err := resp.ReadHeader(&rs.Header, alone); err != nil {
			return errors.Wrap(err, "read the head")
		}
		if alone.left != 0 {
			return errHeadUnread
		}
		left -= size
		switch status := rs.StatusCode(); {
		case status == statusSwitching:
			return errors.Newf("an answer of status %d that was not asked for", status)
		case status >= firstFinalStatus:
			return nil
		}
	}
}

const (
	statusSwitching  = 101
	firstFinalStatus = 200
)

// oneHead is the next head on a connection, without what follows it.
type oneHead struct {
	*netconn.Conn
	left int
}

// Len implements network.Reader.
func (r *oneHead) Len() int { return r.left }

// Peek implements network.Reader.
func (r *oneHead) Peek(n int) ([]byte, error) {
	if n > r.left {
		return nil, errHeadUnread
	}
	return r.Conn.Peek(n)
}

// Skip implements network.Reader.
func (r *oneHead) Skip(n int) error {
	r.left -= n
	return r.Conn.Skip(n)
}

// awaitHead waits until a whole head has arrived and returns its size. It fails
// as soon as the bytes so far begin no head.
func awaitHead(nc *netconn.Conn, limit int) (int, error) {
	h := head{limit: limit}
	for n := 1; ; n = nc.Len() + 1 {
		if n > limit {
			return 0, errHeadTooLong
		}
		if _, err := nc.Peek(n); err != nil {
			return 0, err
		}
		all, err := nc.Peek(min(nc.Len(), limit))
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
	limit int
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
	if line[0] == ' ' || line[0] == '\t' {
		return nil // goes on with the value of the line before
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isFieldName(name) {
		return errors.Newf("a line of the head is no header field: %.20q", line)
	}
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
