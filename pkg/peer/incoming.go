package peer

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// replyTimeout bounds writing a reply to a slow peer and waiting for the
	// sign that it has arrived.
	replyTimeout = 10 * time.Second
	// requestTimeout bounds the arrival of a request whose stream is open.
	requestTimeout = 30 * time.Second
)

// incoming is an accepted connection. last, users, lastUsed and gone are
// guarded by the node's lock.
type incoming struct {
	conn *quic.Conn
	from Identity
	// last is the highest stream accepted for handling, -1 for none.
	last     quic.StreamID
	users    int
	lastUsed time.Time
	// gone refuses further streams: last has been told to the peer.
	gone bool
}

// goAway closes the connection and tells the peer which streams were accepted.
// The connection must be detached from the node's table.
func (c *incoming) goAway() {
	_ = c.conn.CloseWithError(codeGoAway, goAwayPrefix+strconv.FormatInt(int64(c.last), 10))
}

func (n *Node) accept() {
	defer n.tasks.Done()
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.tasks.Add(1)
		go n.serve(conn)
	}
}

// serve verifies the peer's name and takes its streams and datagrams until the
// connection ends.
func (n *Node) serve(conn *quic.Conn) {
	defer n.tasks.Done()
	id, err := daemonID(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "no daemon id")
		return
	}
	c := &incoming{conn: conn, from: Identity{ID: id, Addr: conn.RemoteAddr().String()}, last: -1}
	if !n.admit(c) {
		_ = conn.CloseWithError(codeRefused, "too many connections")
		return
	}
	defer n.drop(c)
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
	n.tasks.Add(2)
	go n.serveDatagrams(c)
	go n.serveMessageStreams(c)
	n.serveStreams(c)
}

// admit enters the connection into the table and closes the one that has been
// idle longest if there are too many.
func (n *Node) admit(c *incoming) bool {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return false
	}
	var evicted *incoming
	if len(n.incoming) >= n.config.MaxIncoming {
		for other := range n.incoming {
			if other.users == 0 && (evicted == nil || other.lastUsed.Before(evicted.lastUsed)) {
				evicted = other
			}
		}
		if evicted == nil {
			n.mu.Unlock()
			return false
		}
		evicted.gone = true
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

func (n *Node) drop(c *incoming) {
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
		n.tasks.Add(1)
		go n.serveStream(c, stream)
	}
}

// serveStream reads one request, runs its handler and writes the reply.
func (n *Node) serveStream(c *incoming, stream *quic.Stream) {
	defer n.tasks.Done()
	refusal := n.begin(c, stream.StreamID())
	defer n.end(c, refusal)
	answer, ok := n.answer(c, stream, refusal)
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

// begin counts a handler, or returns why the request is refused.
func (n *Node) begin(c *incoming, id quic.StreamID) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.closing || c.gone:
		return "closing"
	case n.running >= n.config.MaxHandlers:
		return "overloaded"
	}
	c.last = max(c.last, id)
	c.users++
	n.running++
	return ""
}

func (n *Node) end(c *incoming, refusal string) {
	if refusal != "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c.users--
	c.lastUsed = time.Now()
	n.running--
	if n.running == 0 {
		n.idle.Broadcast()
	}
}

// answer reads the request and returns the reply to it; it returns false when
// the request did not arrive.
func (n *Node) answer(c *incoming, stream *quic.Stream, refusal string) (reply, bool) {
	if refusal != "" {
		stream.CancelRead(codeCancelled)
		return n.refuse(refusal), true
	}
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return reply{}, false
	}
	frame, err := readFrame(stream, n.config.MaxFrameBytes)
	if errors.Is(err, ErrTooLarge) {
		stream.CancelRead(codeCancelled)
		return n.refuse("request too large"), true
	}
	if err != nil {
		return reply{}, false
	}
	r, err := decodeRequest(frame)
	if err != nil {
		return n.refuse(err.Error()), true
	}
	n.mu.Lock()
	handler := n.handlers[r.Kind]
	n.mu.Unlock()
	if handler == nil {
		return n.refuse("unknown kind " + r.Kind), true
	}
	return n.run(c, stream, handler, r), true
}

func (n *Node) refuse(reason string) reply {
	n.counters.refused.Add(1)
	return reply{Status: statusRefused, Error: limitText(reason)}
}

// run calls the handler. The context ends with the stream, which the caller
// resets when it gives up.
func (n *Node) run(c *incoming, stream *quic.Stream, handler Handler, r request) (answer reply) {
	ctx := stream.Context()
	if timeout := r.timeout(); timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	defer func() {
		if p := recover(); p != nil {
			n.counters.panics.Add(1)
			n.config.Logger.Error().Str("kind", r.Kind).Str("peer", c.from.ID).
				Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("peer: handler panicked")
			answer = reply{Status: statusFailed, Error: "handler panicked"}
		}
	}()
	n.counters.served.Add(1)
	body, err := handler(ctx, c.from, r.Body)
	switch {
	case errors.Is(err, ErrRefused):
		return n.refuse(err.Error())
	case err != nil:
		return reply{Status: statusFailed, Error: limitText(err.Error())}
	case len(body)+frameOverhead > n.config.MaxFrameBytes:
		return reply{Status: statusFailed, Error: fmt.Sprintf("reply of %d bytes is too large", len(body))}
	}
	return reply{Status: statusOK, Body: body}
}

func limitText(s string) string { return s[:min(len(s), maxErrorBytes)] }

// writeReply writes the reply and waits until the caller has ended its side of
// the stream, the sign that the reply has arrived: closing the connection
// earlier would discard it.
func (n *Node) writeReply(stream *quic.Stream, answer reply) error {
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
			return nil // The caller has given up.
		}
		return err
	}
	return nil
}

func (n *Node) serveDatagrams(c *incoming) {
	defer n.tasks.Done()
	for {
		data, err := c.conn.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		n.deliver(c, data)
	}
}

func (n *Node) serveMessageStreams(c *incoming) {
	defer n.tasks.Done()
	for {
		stream, err := c.conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
			return
		}
		n.tasks.Add(1)
		go func() {
			defer n.tasks.Done()
			data, err := io.ReadAll(io.LimitReader(stream, int64(n.config.MaxFrameBytes)))
			if err != nil || len(data) == n.config.MaxFrameBytes {
				stream.CancelRead(codeCancelled)
				return
			}
			n.deliver(c, data)
		}()
	}
}

// deliver runs the handler of a message. Messages that do not decode or have
// no handler are dropped, as lost ones are.
func (n *Node) deliver(c *incoming, data []byte) {
	r, err := decodeRequest(data)
	if err != nil {
		return
	}
	n.mu.Lock()
	handler := n.messages[r.Kind]
	dropped := handler == nil || n.closing
	if !dropped {
		c.lastUsed = time.Now()
	}
	n.mu.Unlock()
	if dropped {
		return
	}
	n.counters.messages.Add(1)
	defer func() {
		if p := recover(); p != nil {
			n.counters.panics.Add(1)
			n.config.Logger.Error().Str("kind", r.Kind).Str("peer", c.from.ID).
				Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("peer: message handler panicked")
		}
	}()
	handler(c.conn.Context(), c.from, r.Body)
}
