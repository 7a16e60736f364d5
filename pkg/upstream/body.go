package upstream

import (
	"github.com/cloudwego/hertz/pkg/protocol"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/memory"
)

// maxBodyBytes is the largest response body: three quarters of half the memory budget of the
// smallest host. A body is buffered completely before any byte is sent to the caller. The
// smaller buffers that it outgrew add up to a third of its size until they are
// garbage-collected.
const maxBodyBytes = memory.DefaultBytes / 2 / 4 * 3

// readBody reads the body of a response whose head has been read.
func (c *conn) readBody(nc *netconn.Conn, rs *protocol.Response, s *reservation) error {
	if rs.MustSkipBody() {
		return nil
	}
	if rs.Header.ContentLength() == netconn.UnframedBody && !c.dialect.AllowUnframed {
		rs.SetConnectionClose()
		return netconn.ErrNoLength
	}
	b := netconn.AnswerBody{Conn: nc, MaxBytes: maxBodyBytes, Reserve: s.grow}
	bytes, err := b.Read(rs)
	rs.SetBodyRaw(bytes)
	return err
}
