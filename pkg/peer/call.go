package peer

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// Call sends a request to the peer at addr (numeric IP:port) and returns the
// reply of its handler. The remaining time of ctx is sent along; when ctx ends,
// the stream is reset and the handler's context ends. See the package comment
// for the errors.
func (n *Node) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err, "call")
	}
	frame, err := n.encodeRequest(ctx, kind, body)
	if err != nil {
		return nil, notSent(err, "call")
	}
	c, err := n.acquire(ctx, addr)
	if err != nil {
		return nil, notSent(err, "connect to "+addr)
	}
	defer n.release(c)
	n.counters.calls.Add(1)
	packetsBefore := c.conn.ConnectionStats().PacketsReceived
	answer, err := n.exchange(ctx, c.conn, frame)
	if err != nil {
		if ctx.Err() != nil && c.conn.ConnectionStats().PacketsReceived == packetsBefore {
			// Without this, calls to a killed peer would use the old connection
			// until quicIdleTimeout and fail with ErrNoReply; a new dial fails
			// with ErrNotSent.
			n.retire(c)
		}
		return nil, err
	}
	switch answer.Status {
	case statusOK:
		return answer.Body, nil
	case statusRefused:
		return nil, notSent(refusal(answer.Error), "refused by "+addr)
	default:
		return nil, &RemoteError{Kind: kind, Message: answer.Error}
	}
}

func (n *Node) encodeRequest(ctx context.Context, kind string, body []byte) ([]byte, error) {
	if len(body)+frameOverhead > n.config.MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "request of %d bytes", len(body))
	}
	if kind == "" || len(kind) > maxKindBytes {
		return nil, errors.Newf("kind of %d bytes", len(kind))
	}
	r := request{Kind: kind, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		r.TimeoutMicros = uint64(max(time.Until(deadline).Microseconds(), 1))
	}
	return encodeFrame(r)
}

func (n *Node) exchange(ctx context.Context, conn *quic.Conn, frame []byte) (reply, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return reply{}, notSent(err, "open a stream")
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(codeCancelled)
		stream.CancelRead(codeCancelled)
	})
	defer stop()
	if written, err := stream.Write(frame); written < len(frame) {
		stream.CancelWrite(codeCancelled)
		stream.CancelRead(codeCancelled)
		// A handler runs only when its whole frame has arrived.
		return reply{}, notSent(callError(ctx, err), "write the request")
	}
	answer, err := n.readReply(stream)
	if err != nil {
		stream.CancelWrite(codeCancelled)
		stream.CancelRead(codeCancelled)
		if streamNotAccepted(err, stream.StreamID()) {
			return reply{}, notSent(err, "peer closed the connection")
		}
		return reply{}, noReply(callError(ctx, err), "read the reply")
	}
	// Closing the stream confirms to the peer that the reply has arrived.
	_ = stream.Close()
	return answer, nil
}

func (n *Node) readReply(stream *quic.Stream) (reply, error) {
	release := func() {}
	defer func() { release() }()
	frame, err := readFrame(stream, n.config.MaxFrameBytes, func(size int) { release = n.hold(size) })
	if err != nil {
		return reply{}, err
	}
	return decodeReply(frame)
}

// callError returns the cause of the context's end if it has ended, because the
// stream error is then only a consequence. Otherwise it returns err.
func callError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if err == nil {
		return errors.New("write ended early")
	}
	return err
}

// goAwayPrefix precedes the id of the last accepted stream in the reason text of
// codeGoAway.
const goAwayPrefix = "last="

// streamNotAccepted reports whether the peer closed the connection and declared
// that it had not accepted the stream.
func streamNotAccepted(err error, id quic.StreamID) bool {
	var closed *quic.ApplicationError
	if !errors.As(err, &closed) || !closed.Remote || closed.ErrorCode != codeGoAway {
		return false
	}
	text, ok := strings.CutPrefix(closed.ErrorMessage, goAwayPrefix)
	if !ok {
		return false
	}
	last, err := strconv.ParseInt(text, 10, 64)
	return err == nil && int64(id) > last
}

// Send sends a message without delivery guarantee, as a datagram, or over a
// unidirectional stream if it is too large for one (at most
// Config.MaxFrameBytes). A nil error does not mean that the message arrived;
// ErrNotSent means that it did not.
func (n *Node) Send(ctx context.Context, addr, kind string, body []byte) error {
	if len(body)+frameOverhead > n.config.MaxFrameBytes {
		return notSent(errors.Wrapf(ErrTooLarge, "message of %d bytes", len(body)), "send")
	}
	data, err := cbor.Marshal(request{Kind: kind, Body: body})
	if err != nil {
		return notSent(err, "send")
	}
	c, err := n.acquire(ctx, addr)
	if err != nil {
		return notSent(err, "connect to "+addr)
	}
	defer n.release(c)
	err = c.conn.SendDatagram(data)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		err = sendOverStream(ctx, c.conn, data)
	}
	if err != nil {
		return notSent(err, "send")
	}
	return nil
}

func sendOverStream(ctx context.Context, conn *quic.Conn, data []byte) error {
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(codeCancelled) })
	defer stop()
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}
