package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"shallotglade/internal/netconn"
	"shallotglade/pkg/dialect"
)

const (
	// unacknowledged is how long an upstream's host may leave sent bytes
	// unacknowledged: some ten round trips with their resends between failure
	// domains. A path that drops everything is found without waiting for the
	// request's time limit.
	unacknowledged = 2 * time.Second
	// silence is after how long without a packet a connection is checked. It is
	// longer than most requests take, so that only long ones cost such checks.
	silence = 2 * time.Second
	// maxStrayAnswers is how many answers to earlier requests are skipped on
	// one connection before the answer to the present one.
	maxStrayAnswers = 2
	// inlineBody is up to which size a request is written before its answer is
	// read. Larger ones are written meanwhile, since an upstream may answer
	// before it has read the body.
	inlineBody = 1 << 10
)

var (
	// errNotSent marks errors of attempts whose request certainly did not leave.
	errNotSent = errors.New("the request was not sent")
	// errStray marks answers that belong to another request.
	errStray = errors.New("the answer belongs to another request")
	// errCut marks answers that ended early.
	errCut = errors.New("the answer was cut short")
)

// conn is a single connection, which carries one request at a time.
type conn struct {
	dialect *dialect.Dialect
	target  Target
	// used means that a request was answered on it before.
	used bool
	// idleSince is when the last answer on it ended.
	idleSince time.Time
	// idleUntil is when the connection is to be closed if it is not used; the
	// upstream may have stated an earlier time than the pool's.
	idleUntil time.Time

	mu       sync.Mutex
	open     *netconn.Conn
	canceled bool
}

// close ends the connection; an exchange on it fails.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.open != nil {
		c.open.Close()
	}
}

// reusable reports whether the connection is open with nothing unread on it.
// Unread bytes can only be an answer to an earlier request.
func (c *conn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.canceled && c.open != nil && c.open.Quiet()
}

// dial opens the connection unless it is open. Errors are marked errNotSent.
func (c *conn) dial() (*netconn.Conn, error) {
	c.mu.Lock()
	nc, canceled := c.open, c.canceled
	c.mu.Unlock()
	if canceled {
		return nil, errors.Mark(context.Canceled, errNotSent)
	}
	if nc != nil {
		return nc, nil
	}
	nc, err := netconn.Dial(c.target.Address, netconn.DialConfig{
		Timeout: c.target.ConnectTimeout, Unacknowledged: unacknowledged, Silence: silence,
	})
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		nc.Close()
		return nil, errors.Mark(context.Canceled, errNotSent)
	}
	c.open = nc
	return nc, nil
}

// exchange sends the request and reads the answer to the request id. whole means
// that the connection can carry another request.
func (c *conn) exchange(rq *protocol.Request, rs *protocol.Response, id string, s *share) (whole bool, err error) {
	nc, err := c.dial()
	if err != nil {
		return false, err
	}
	var writeErr error
	written := make(chan struct{})
	write := func() {
		writeErr = c.write(nc, rq)
		close(written)
	}
	if rq.Header.ContentLength() <= inlineBody {
		write()
	} else {
		go write()
	}
	if err := c.read(nc, rs, id, s); err != nil {
		// Closing ends a write that still waits for the upstream to read.
		c.close()
		<-written
		return false, err
	}
	select {
	case <-written:
		return writeErr == nil && !rs.ConnectionClose() && nc.Len() == 0, nil
	default:
		// The upstream answered before it had read the request. What follows on
		// this connection would be taken for the rest of the body.
		c.close()
		<-written
		return false, nil
	}
}

func (c *conn) write(nc *netconn.Conn, rq *protocol.Request) error {
	if err := req.Write(rq, nc); err != nil {
		return err
	}
	return nc.Flush()
}

// read reads the answer to the present request. Answers to earlier requests,
// which can only come first on a connection that was used, are skipped.
func (c *conn) read(nc *netconn.Conn, rs *protocol.Response, id string, s *share) error {
	for stray := 0; ; stray++ {
		if err := c.readOne(nc, rs, s); err != nil {
			return err
		}
		got := string(rs.Header.Peek(c.dialect.RequestID))
		switch {
		case id == "" || got == id:
			return nil
		case got == "" && (!c.used || !c.dialect.Echoes):
			return nil
		case !c.used || stray == maxStrayAnswers:
			return errors.Mark(errors.Newf("the answer belongs to request %q", got), errStray)
		}
	}
}

func (c *conn) readOne(nc *netconn.Conn, rs *protocol.Response, s *share) error {
	if err := readHead(nc, rs); err != nil {
		return err
	}
	if err := c.readBody(nc, rs, s); err != nil {
		if s.ended() {
			err = errCrowded
		}
		return errors.Mark(err, errCut)
	}
	return nc.Release()
}
