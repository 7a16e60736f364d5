package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Errors of Call and Send; test with errors.Is.
var (
	// ErrNotSent means that no handler of the peer ran.
	ErrNotSent = errors.New("peer: request not handled by the peer")
	// ErrNoReply means that a handler of the peer may have run.
	ErrNoReply = errors.New("peer: no complete reply")
	// ErrClosed means that this node is closed; it comes with ErrNotSent.
	ErrClosed = errors.New("peer: node closed")
	// ErrTooLarge means that a request or reply exceeds Config.MaxFrameBytes.
	// It comes with ErrNotSent for a request.
	ErrTooLarge = errors.New("peer: frame too large")
	// ErrTooManyConnections means that all connections are in use; it comes
	// with ErrNotSent.
	ErrTooManyConnections = errors.New("peer: all connections are in use")
	// ErrRefused is for handlers: a handler that returns it (or wraps it)
	// asserts that it had no effect, and the caller gets ErrNotSent.
	ErrRefused = errors.New("peer: request refused")
)

// RemoteError is the error that a handler of the peer returned.
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

// refusal is the reason of a peer that refused a request. It has a type of its
// own because errors of equal text and type count as the same: a refusal that
// arrived must not look like an ErrRefused of this daemon's own handler.
type refusal string

// Error implements error.
func (r refusal) Error() string { return string(r) }

// formattable returns err, or its text alone when it holds an error of the QUIC
// library whose list of causes may contain nil, which formatting with %v cannot take.
func formattable(err error) error {
	var transport *quic.TransportError
	if errors.As(err, &transport) {
		return errors.Newf("%s", err.Error())
	}
	return err
}

// notSent marks err as one after which the request certainly did not run.
func notSent(err error, doing string) error {
	return errors.Mark(errors.Wrapf(formattable(err), "peer: %s", doing), ErrNotSent)
}

// noReply marks err as one after which the request may have run.
func noReply(err error, doing string) error {
	return errors.Mark(errors.Wrapf(formattable(err), "peer: %s", doing), ErrNoReply)
}
