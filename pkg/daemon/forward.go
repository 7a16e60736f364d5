package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/memory"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/proxy"
)

// handleForward answers a forwarded request, for which this daemon is a home.
func (d *Daemon) handleForward(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	release, err := reserveCopies(d.memory, receivedCopies*len(body))
	if err != nil {
		return proxy.RefuseForward()
	}
	defer release()
	reply, err := d.proxy.HandleForward(ctx, body)
	if errors.Is(err, proxy.ErrUnknownService) {
		err = errors.Mark(err, peer.ErrRefused)
	}
	return reply, err
}

// forwarder sends requests to homes over the peer transport.
type forwarder struct {
	node   *peer.Node
	memory *memory.Budget
	// recordReachability records whether a daemon could be reached.
	recordReachability func(id string, reachable bool)
}

// Forward implements proxy.Forwarder.
func (f *forwarder) Forward(ctx context.Context, to proxy.Peer, in *proxy.Incoming, remaining time.Duration) (*proxy.Answer, error) {
	size := forwardBytes(in)
	if size > maxForwardBytes {
		return nil, errors.Mark(peer.ErrTooLarge, proxy.ErrNotSent)
	}
	release, err := reserveCopies(f.memory, sentCopies*size)
	if err != nil {
		return nil, errors.Mark(err, proxy.ErrNotSent)
	}
	defer release()
	body, err := proxy.EncodeForward(in, remaining)
	if err != nil {
		return nil, errors.Mark(err, proxy.ErrNotSent)
	}
	reply, err := f.node.Call(ctx, to.Address, proxy.ForwardKind, body)
	f.recordReachability(to.ID, err == nil)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, errors.Mark(err, proxy.ErrNotSent)
	}
	if err != nil {
		return nil, err
	}
	return proxy.DecodeForwardAnswer(reply)
}

// AnnounceStop implements proxy.Forwarder.
func (f *forwarder) AnnounceStop(ctx context.Context, to proxy.Peer, requestID string, timeLeft time.Duration) error {
	body, err := proxy.EncodeForwardStop(requestID, timeLeft)
	if err != nil {
		return err
	}
	_, err = f.node.Call(ctx, to.Address, proxy.ForwardStopKind, body)
	return err
}
