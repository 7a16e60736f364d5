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

// recordResult records the result of an attempt as evidence about its upstream's
// health and notifies the health controller.
func (x *exchange) recordResult(ctx context.Context, a *blackboard.Attempt, r upstream.Result) {
	x.proxy.Metrics.Attempts.WithLabelValues(x.service.Name, r.Kind.String()).Inc()
	ended := x.service.End(time.Now(), a, r)
	if ended.CheckDial {
		refused := x.dialRefused(ctx, a.Upstream.Address)
		dialed := x.service.Dialed(time.Now(), a.Upstream.ID, refused)
		ended.ShareReport = ended.ShareReport || dialed.ShareReport
	}
	leaving := r.Response != nil && r.Response.Leaving && x.service.MarkLeaving(time.Now(), a.Upstream.ID, a.Upstream.Incarnation)
	if leaving {
		x.proxy.Log.Info().Str("service", x.service.Name).Str("upstream", a.Upstream.ID).Msg("health: upstream announced that it is leaving")
	}
	if ended.Assess {
		x.proxy.Notifier.Assess(x.service)
	}
	x.shareReport(ctx, r.Kind, ended.ShareReport, leaving || ended.Urgent)
	if r.Response != nil && r.Response.Closing {
		x.proxy.Notifier.Probe(x.service, a.Upstream)
	}
}

// shareReport notifies the other homes of urgent results. After a crash, it delays
// the answer until they have the report, so that the caller cannot resend the
// request to a home that does not know of the crash.
func (x *exchange) shareReport(ctx context.Context, kind upstream.Kind, crashed, urgent bool) {
	switch {
	case crashed && kind == upstream.Lost:
		x.proxy.Notifier.ShareReportNow(ctx, x.service)
	case crashed || urgent:
		x.proxy.Notifier.ShareReport(x.service)
	default:
		x.proxy.Notifier.LoadChanged(x.service)
	}
}

// crashCheckDuration is how long a new connection must stay open to show that the
// process is alive. The operating system closes the connections of a crashed
// process before its listening socket, which accepts connections until then. On a
// loaded host, the two are tens of milliseconds apart.
const crashCheckDuration = 50 * time.Millisecond

// dialRefused reports whether the upstream refuses connections or closes them at
// once, as happens after its process has crashed.
func (x *exchange) dialRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: x.document.Timeouts.Connect}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		// A listening socket that is being closed resets new connections.
		return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(crashCheckDuration))
	_, err = c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
