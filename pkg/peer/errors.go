package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Errors of Call and Send; test with errors.Is.
var (
	// ErrNotSent means that no handler of the peer ran, or that it returned
	// ErrRefused.
	ErrNotSent = errors.New("peer: request not handled by the peer")
	// ErrNoReply means that a handler of the peer may have run.
	ErrNoReply = errors.New("peer: no complete reply")
	// ErrClosed means that this node is closed. The error is also ErrNotSent.
	ErrClosed = errors.New("peer: node closed")
	// ErrTooLarge means that a request or reply exceeds Config.MaxFrameBytes.
	// For a request the error is also ErrNotSent.
	ErrTooLarge = errors.New("peer: frame too large")
	// ErrTooManyConnections means that all connections are in use. The error is
	// also ErrNotSent.
	ErrTooManyConnections = errors.New("peer: all connections are in use")
	// ErrRefused is returned by handlers, possibly wrapped, to assert that they
	// had no effect. The caller gets ErrNotSent.
	ErrRefused = errors.New("peer: request refused")
)

// RemoteError is an error returned by a handler of the peer.
type RemoteError struct {
	// Kind is the kind of the request.
	Kind string
	// Message is the text of the handler's error, at most maxErrorBytes long.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: handler of %q: %s", e.Kind, e.Message)
}

// refusal is the reason why a peer refused a request. It is a distinct type
// because errors.Is treats errors of equal text and type as the same: a received
// refusal must not match ErrRefused, or a handler that returns it would refuse
// its own request.
type refusal string

// Error implements error.
func (r refusal) Error() string { return string(r) }

// formattable returns err, or only its text if it wraps a quic.TransportError:
// that error's list of causes may contain nil, which panics when formatted with
// %v.
func formattable(err error) error {
	var transport *quic.TransportError
	if errors.As(err, &transport) {
		return errors.Newf("%s", err.Error())
	}
	return err
}

// notSent marks err with ErrNotSent: the request did not run.
func notSent(err error, operation string) error {
	return errors.Mark(errors.Wrapf(formattable(err), "peer: %s", operation), ErrNotSent)
}

// noReply marks err with ErrNoReply: the request may have run.
func noReply(err error, operation string) error {
	return errors.Mark(errors.Wrapf(formattable(err), "peer: %s", operation), ErrNoReply)
}
