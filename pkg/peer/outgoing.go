package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// helloByte is sent by the accepting side after it has verified the dialling
// side. In TLS 1.3 the dialling side finishes its handshake earlier. Without the
// hello it could not distinguish a request that was refused together with the
// connection from a request without reply.
const helloByte = 1

// outgoing is a connection to a peer address. conn and err are set before ready
// is closed; the fields after err are guarded by Node.mu.
type outgoing struct {
	address string
	ready   chan struct{}
	conn    *quic.Conn
	err     error

	activeCalls int
	lastUsed    time.Time
	// retired is set when the connection has been removed from Node.outgoing to
	// be replaced. The last call closes it.
	retired bool
}

func (c *outgoing) close(reason string) {
	<-c.ready
	if c.conn != nil {
		// The error only states that the connection is already closed.
		_ = c.conn.CloseWithError(codeIdle, reason)
	}
}

// acquire returns an established connection to the address and counts a call on
// it. The caller must call release.
func (n *Node) acquire(ctx context.Context, address string) (*outgoing, error) {
	c, evicted, err := n.reserve(address)
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		evicted.close("replaced")
	}
	select {
	case <-c.ready:
	case <-ctx.Done():
		n.release(c)
		return nil, ctx.Err()
	}
	if c.err != nil {
		n.release(c)
		return nil, c.err
	}
	return c, nil
}

// reserve returns the connection to the address and starts to dial if there is
// none. If evicted is not nil, it was removed to stay within Config.MaxConns and
// the caller must close it.
func (n *Node) reserve(address string) (c, evicted *outgoing, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, nil, ErrClosed
	}
	c = n.outgoing[address]
	if c != nil && c.broken() {
		delete(n.outgoing, address)
		c = nil
	}
	if c == nil {
		if len(n.outgoing) >= n.config.MaxConns {
			if evicted = n.longestIdle(); evicted == nil {
				return nil, nil, ErrTooManyConnections
			}
			delete(n.outgoing, evicted.address)
		}
		c = &outgoing{address: address, ready: make(chan struct{})}
		n.outgoing[address] = c
		n.tasks.Add(1)
		go n.dial(c)
	}
	c.activeCalls++
	n.activeCalls++
	c.lastUsed = time.Now()
	return c, evicted, nil
}

// dialled reports whether the dial has finished.
func (c *outgoing) dialled() bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// broken reports whether the dial failed or the connection has ended.
func (c *outgoing) broken() bool {
	return c.dialled() && (c.err != nil || c.conn.Context().Err() != nil)
}

func (n *Node) longestIdle() *outgoing {
	var oldest *outgoing
	for _, c := range n.outgoing {
		if c.activeCalls == 0 && c.dialled() && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
			oldest = c
		}
	}
	return oldest
}

func (n *Node) release(c *outgoing) {
	n.mu.Lock()
	c.activeCalls--
	n.activeCalls--
	c.lastUsed = time.Now()
	if c.activeCalls == 0 && c.broken() {
		n.removeOutgoing(c)
	}
	if n.activeCalls == 0 {
		n.idle.Broadcast()
	}
	closeNow := c.retired && c.activeCalls == 0
	n.mu.Unlock()
	if closeNow {
		c.close("silent")
	}
}

// removeOutgoing removes the connection from Node.outgoing, so that the next call
// dials. The caller holds the lock.
func (n *Node) removeOutgoing(c *outgoing) {
	if n.outgoing[c.address] == c {
		delete(n.outgoing, c.address)
	}
}

// retire removes a connection in use from Node.outgoing; its last call closes it.
func (n *Node) retire(c *outgoing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removeOutgoing(c)
	c.retired = true
}

// RenewConnection makes the next call to the address open a new connection. Use it
// when another process now listens there: the previous process may have exited without
// sending a packet, and its connection would count as open for up to
// quicIdleTimeout. Calls in progress keep the old connection.
func (n *Node) RenewConnection(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.outgoing[address]
	if c == nil || n.closed {
		return
	}
	n.removeOutgoing(c)
	c.retired = true
	if c.activeCalls == 0 {
		n.tasks.Add(1)
		go func() {
			defer n.tasks.Done()
			c.close("renewed")
		}()
	}
}

// removeIdle removes and returns the connections unused since the given time.
func (n *Node) removeIdle(since time.Time) []*outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	var idle []*outgoing
	for address, c := range n.outgoing {
		if c.activeCalls == 0 && c.dialled() && c.lastUsed.Before(since) {
			idle = append(idle, c)
			delete(n.outgoing, address)
		}
	}
	return idle
}

// dial connects and waits for the peer's hello. It does not depend on the
// context of the call that started it, because other calls wait for it too.
func (n *Node) dial(c *outgoing) {
	defer n.tasks.Done()
	defer close(c.ready)
	n.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(n.ctx, n.config.DialTimeout)
	defer cancel()
	c.conn, c.err = n.connect(ctx, c.address)
	if c.err != nil {
		n.counters.dialErrors.Add(1)
	}
}

func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := n.transport.Dial(ctx, remote, n.tls.Load().client, n.quic)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	if err := awaitHello(ctx, conn); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "hello of %s", address),
			conn.CloseWithError(codeRefused, "no hello"))
	}
	return conn, nil
}

func awaitHello(ctx context.Context, conn *quic.Conn) error {
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	var hello [1]byte
	if _, err := stream.Read(hello[:]); hello[0] != helloByte {
		return errors.CombineErrors(errors.New("unexpected hello"), err)
	}
	return nil
}
