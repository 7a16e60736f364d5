package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"shallotglade/pkg/ingress"
	"shallotglade/pkg/proxy"
)

// infoServerLimits limits the connections for address queries and readiness
// checks. These requests have no body.
var infoServerLimits = ingress.Limits{
	Connections: 2000, MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, RequestArrival: 3 * time.Second, Idle: 15 * time.Second,
}

// infoConnectionParts makes each of these listeners take a quarter of the connections that callers
// may open on a host of known memory. Their requests are answered at once.
const infoConnectionParts = 4

// provisionInfoServers opens the listeners for address queries and readiness
// checks that the settings configure.
func (d *Daemon) provisionInfoServers() error {
	for _, l := range []struct {
		address string
		handler ingress.Handler
	}{
		{d.settings.Listen.Addresses, d.answerAddresses},
		{d.settings.Listen.Readiness, d.answerReadiness},
	} {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen for address queries or readiness checks on %s", l.address)
		}
		server := ingress.New(ln, func() ingress.Limits { return infoServerLimits }, l.handler, d.log)
		server.DiscardBody = func(*ingress.Request) bool { return true }
		d.infoServers = append(d.infoServers, server)
	}
	return nil
}

func (d *Daemon) answerAddresses(_ context.Context, r *ingress.Request, resp *protocol.Response) {
	if string(r.Path()) != d.adapter.Dialect.Addresses.Path {
		resp.SetStatusCode(404)
		return
	}
	proxy.AnswerAddresses(d.adapter.Dialect, d.resolveAddresses, r, resp)
}

func (d *Daemon) answerReadiness(_ context.Context, r *ingress.Request, resp *protocol.Response) {
	switch {
	case string(r.Path()) != d.adapter.Dialect.ReadyPath:
		resp.SetStatusCode(404)
	case !d.Ready():
		resp.SetStatusCode(503)
	default:
		resp.SetStatusCode(200)
	}
}
