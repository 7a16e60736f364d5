package peer

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"shallotglade/pkg/panics"
)

const (
	// replyTimeout bounds writing a reply and waiting for the peer's confirmation
	// that it has arrived.
	replyTimeout = 10 * time.Second
	// requestTimeout bounds reading a request from an open stream.
	requestTimeout = 30 * time.Second
)

// incoming is an accepted connection. lastStream, activeHandlers, lastUsed and
// goingAway are guarded by Node.mu.
type incoming struct {
	conn *quic.Conn
	from Identity
	// lastStream is the highest stream id accepted for handling, -1 for none.
	lastStream     quic.StreamID
	activeHandlers int
	lastUsed       time.Time
	// goingAway is set when the connection is evicted. Further streams are
	// refused, because goAway reports lastStream to the peer.
	goingAway bool
}

// goAway closes the connection and reports the last accepted stream to the peer.
// The connection must have been removed from Node.incoming.
func (c *incoming) goAway() {
	_ = c.conn.CloseWithError(codeGoAway, goAwayPrefix+strconv.FormatInt(int64(c.lastStream), 10))
}

func (n *Node) acceptLoop() {
	defer n.tasks.Done()
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.serve(conn, func() { n.serveConn(conn) })
	}
}

// serve runs f, which handles bytes of a connection, in a goroutine. If f panics, the connection
// closes.
func (n *Node) serve(conn *quic.Conn, f func()) {
	n.tasks.Add(1)
	panics.Go(panics.Peers, func() {
		defer n.tasks.Done()
		f()
	}, func(err error) {
		n.counters.panics.Add(1)
		_ = conn.CloseWithError(codeRefused, err.Error())
	})
}

// serveConn determines the peer's daemon id and serves its streams and datagrams
// until the connection ends.
func (n *Node) serveConn(conn *quic.Conn) {
	id, err := daemonID(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "no daemon id")
		return
	}
	c := &incoming{conn: conn, from: Identity{ID: id, Addr: conn.RemoteAddr().String()}, lastStream: -1}
	if !n.admit(c) {
		_ = conn.CloseWithError(codeRefused, "too many connections")
		return
	}
	defer n.removeIncoming(c)
	n.counters.accepted.Add(1)
	hello, err := conn.OpenUniStream()
	if err != nil {
		return
	}
	if _, err := hello.Write([]byte{helloByte}); err != nil {
		return
	}
	if err := hello.Close(); err != nil {
		return
	}
	n.serve(conn, func() { n.serveDatagrams(c) })
	n.serve(conn, func() { n.serveMessageStreams(c) })
	n.serveStreams(c)
}

// admit adds the connection to Node.incoming. If there are too many, it closes
// the one that has been idle longest, or returns false if none is idle.
func (n *Node) admit(c *incoming) bool {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return false
	}
	var evicted *incoming
	if len(n.incoming) >= n.config.MaxIncoming {
		for other := range n.incoming {
			if other.activeHandlers == 0 && (evicted == nil || other.lastUsed.Before(evicted.lastUsed)) {
				evicted = other
			}
		}
		if evicted == nil {
			n.mu.Unlock()
			return false
		}
		evicted.goingAway = true
		delete(n.incoming, evicted)
	}
	c.lastUsed = time.Now()
	n.incoming[c] = struct{}{}
	n.mu.Unlock()
	if evicted != nil {
		evicted.goAway()
	}
	return true
}

func (n *Node) removeIncoming(c *incoming) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.incoming, c)
}

func (n *Node) serveStreams(c *incoming) {
	for {
		stream, err := c.conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.serve(c.conn, func() { n.serveStream(c, stream) })
	}
}

// serveStream reads one request, runs its handler and writes the reply.
func (n *Node) serveStream(c *incoming, stream *quic.Stream) {
	refusal := n.beginHandler(c, stream.StreamID())
	defer n.endHandler(c, refusal)
	release := func() {}
	defer func() { release() }()
	answer, ok := n.handleRequest(c, stream, refusal, func(size int) { release = n.hold(size) })
	if !ok {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
		return
	}
	if err := n.writeReply(stream, answer); err != nil {
		n.config.Logger.Debug().Err(err).Str("peer", c.from.ID).Msg("peer: reply not delivered")
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	}
}

// beginHandler counts a handler, or returns the reason for refusing the request.
func (n *Node) beginHandler(c *incoming, id quic.StreamID) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.closing || c.goingAway:
		return "closing"
	case n.activeHandlers >= n.config.MaxHandlers:
		return "overloaded"
	}
	c.lastStream = max(c.lastStream, id)
	c.activeHandlers++
	n.activeHandlers++
	return ""
}

func (n *Node) endHandler(c *incoming, refusal string) {
	if refusal != "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c.activeHandlers--
	c.lastUsed = time.Now()
	n.activeHandlers--
	if n.activeHandlers == 0 {
		n.idle.Broadcast()
	}
}

// handleRequest reads a request and returns its reply. It returns false if the
// request did not arrive. hold is called with the size of the request.
func (n *Node) handleRequest(c *incoming, stream *quic.Stream, refusal string, hold func(size int)) (reply, bool) {
	if refusal != "" {
		stream.CancelRead(codeCancelled)
		return n.newRefusal(refusal), true
	}
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return reply{}, false
	}
	frame, err := readFrame(stream, n.config.MaxFrameBytes, hold)
	if errors.Is(err, ErrTooLarge) {
		stream.CancelRead(codeCancelled)
		return n.newRefusal("request too large"), true
	}
	if err != nil {
		return reply{}, false
	}
	r, err := decodeRequest(frame)
	if err != nil {
		return n.newRefusal(err.Error()), true
	}
	n.mu.Lock()
	handler := n.handlers[r.Kind]
	n.mu.Unlock()
	if handler == nil {
		return n.newRefusal("unknown kind " + r.Kind), true
	}
	return n.runHandler(c, stream, handler, r), true
}

func (n *Node) newRefusal(reason string) reply {
	n.counters.refused.Add(1)
	return reply{Status: statusRefused, Error: truncateErrorText(reason)}
}

// runHandler calls the handler. Its context ends with the stream, which the
// caller resets when it cancels the call.
func (n *Node) runHandler(c *incoming, stream *quic.Stream, handler Handler, r request) reply {
	ctx := stream.Context()
	if timeout := r.timeout(); timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	n.counters.served.Add(1)
	var body []byte
	var err error
	if n.contain(c, r.Kind, func() { body, err = handler(ctx, c.from, r.Body) }) {
		return reply{Status: statusFailed, Error: "handler panicked"}
	}
	switch {
	case errors.Is(err, ErrRefused):
		return n.newRefusal(err.Error())
	case err != nil:
		return reply{Status: statusFailed, Error: truncateErrorText(err.Error())}
	case len(body)+frameOverhead > n.config.MaxFrameBytes:
		return reply{Status: statusFailed, Error: fmt.Sprintf("reply of %d bytes is too large", len(body))}
	}
	return reply{Status: statusOK, Body: body}
}

// contain calls the handler of a message and reports whether it panicked.
func (n *Node) contain(c *incoming, kind string, handle func()) (panicked bool) {
	err := panics.Run(panics.Peers, handle)
	if err != nil {
		n.counters.panics.Add(1)
		n.config.Logger.Error().Str("kind", kind).Str("peer", c.from.ID).Err(err).Msg("peer: handler panicked")
	}
	return err != nil
}

func truncateErrorText(s string) string { return s[:min(len(s), maxErrorBytes)] }

// writeReply writes the reply and waits until the caller closes its side of the
// stream to confirm the arrival. Closing the connection earlier would discard
// the reply.
func (n *Node) writeReply(stream *quic.Stream, answer reply) error {
	defer n.hold(len(answer.Body))()
	frame, err := encodeFrame(answer)
	if err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	if _, err := stream.Write(frame); err != nil {
		return err
	}
	if err := stream.Close(); err != nil {
		return err
	}
	if answer.Status == statusRefused {
		return nil
	}
	if _, err := io.Copy(io.Discard, stream); err != nil {
		var reset *quic.StreamError
		if errors.As(err, &reset) {
			return nil // The caller cancelled the call.
		}
		return err
	}
	return nil
}

func (n *Node) serveDatagrams(c *incoming) {
	for {
		data, err := c.conn.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		n.dispatchMessage(c, data)
	}
}

func (n *Node) serveMessageStreams(c *incoming) {
	for {
		stream, err := c.conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
			return
		}
		n.serve(c.conn, func() {
			data, err := io.ReadAll(io.LimitReader(stream, int64(n.config.MaxFrameBytes)))
			if err != nil || len(data) == n.config.MaxFrameBytes {
				stream.CancelRead(codeCancelled)
				return
			}
			n.dispatchMessage(c, data)
		})
	}
}

// dispatchMessage runs the handler of a message. Messages that cannot be decoded
// or have no handler are dropped.
func (n *Node) dispatchMessage(c *incoming, data []byte) {
	r, err := decodeRequest(data)
	if err != nil {
		return
	}
	n.mu.Lock()
	handler := n.messageHandlers[r.Kind]
	dropped := handler == nil || n.closing
	if !dropped {
		c.lastUsed = time.Now()
	}
	n.mu.Unlock()
	if dropped {
		return
	}
	n.counters.messages.Add(1)
	n.contain(c, r.Kind, func() { handler(c.conn.Context(), c.from, r.Body) })
}
