package upstream

import (
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
)

// maxHeadBytes bounds the head of an answer with the interim answers before it, and
// the trailers behind a chunked body. It is several times what HTTP servers usually
// take (8 to 16 KiB), and heads at each of the 330 connections to an upstream stay
// below 21 MiB.
const maxHeadBytes = 64 << 10

var errHeadUnread = errors.New("the head has another end for the HTTP library")

// readHead reads the head of the next final answer. Interim answers are passed
// over.
func readHead(nc *netconn.Conn, rs *protocol.Response) error {
	rs.ResetBody()
	for left := maxHeadBytes; ; {
		size, err := nc.AwaitHead(left)
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
