package proxy

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/upstream"
)

// end records what the attempt says about its upstream.
func (x *exchange) end(ctx context.Context, a *blackboard.Attempt, r upstream.Result) {
	x.proxy.Metrics.Attempts.WithLabelValues(x.service.Name, r.Kind.String()).Inc()
	ended := x.service.End(time.Now(), a, r)
	if ended.CheckDial {
		refused := x.dialRefused(ctx, a.Upstream.Address)
		dialed := x.service.Dialed(time.Now(), a.Upstream.ID, refused)
		ended.Share = ended.Share || dialed.Share
	}
	leaving := r.Response != nil && r.Response.Leaving && x.service.MarkLeaving(time.Now(), a.Upstream.ID)
	if leaving {
		x.proxy.Log.Info().Str("service", x.service.Name).Str("upstream", a.Upstream.ID).Msg("health: upstream announced that it leaves")
	}
	if ended.Assess {
		x.proxy.Notifier.Assess(x.service)
	}
	x.share(ctx, r.Kind, ended.Share, leaving || ended.Urgent)
	if r.Response != nil && r.Response.Closing {
		x.proxy.Notifier.Probe(x.service, a.Upstream)
	}
}

// share tells the other homes what cannot wait. After a crash the answer is held
// until they know, so that the caller cannot send the request to a home that has
// not heard of it yet.
func (x *exchange) share(ctx context.Context, kind upstream.Kind, crashed, urgent bool) {
	switch {
	case crashed && kind == upstream.Lost:
		x.proxy.Notifier.ShareNow(ctx, x.service)
	case crashed || urgent:
		x.proxy.Notifier.Share(x.service)
	default:
		x.proxy.Notifier.Changed(x.service)
	}
}

// crashGrace is how long a new connection must stay open to show that the
// process lives. The system ends the connections of a crashed process before its
// listening socket, which takes connections until then; on a loaded host the
// two are tens of milliseconds apart.
const crashGrace = 50 * time.Millisecond

// dialRefused reports whether the upstream's host refuses connections, as it
// does when the process there has crashed.
func (x *exchange) dialRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: x.document.Timeouts.Connect}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		// A listening socket that is just being closed resets new connections.
		return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(crashGrace))
	_, err = c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
