package daemon

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/peer"
)

// Status implements admin.Fleet.
func (d *Daemon) Status(ctx context.Context, service string, all bool) []admin.DaemonStatus {
	out := []admin.DaemonStatus{d.localStatus(service)}
	if !all {
		return out
	}
	homes := d.roster.otherHomes(service)
	answers := make([]admin.DaemonStatus, len(homes))
	var wg sync.WaitGroup
	for i, h := range homes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := panics.Run(panics.Peers, func() { answers[i] = d.fetchStatus(ctx, h.PeerAddress, service) }); err != nil {
				answers[i] = admin.DaemonStatus{Error: err.Error()}
			}
			answers[i].Daemon, answers[i].Domain = h.ID, h.Domain
		}()
	}
	wg.Wait()
	if out[0].Status != nil && !out[0].Status.Home {
		return answers
	}
	return append(out, answers...)
}

func (d *Daemon) localStatus(service string) admin.DaemonStatus {
	daemonStatus := admin.DaemonStatus{Daemon: d.board.Self(), Domain: d.board.Domain()}
	if svc, ok := d.board.Service(service); ok {
		status := svc.Status()
		daemonStatus.Status = &status
	} else {
		daemonStatus.Error = "the service is not known here"
	}
	return daemonStatus
}

func (d *Daemon) fetchStatus(ctx context.Context, address, service string) admin.DaemonStatus {
	var daemonStatus admin.DaemonStatus
	reply, err := d.node.Call(ctx, address, kindStatus, []byte(service))
	if err == nil {
		err = json.Unmarshal(reply, &daemonStatus)
	}
	if err != nil {
		daemonStatus.Error = err.Error()
	}
	return daemonStatus
}

// handleStatus answers a status request from another daemon.
func (d *Daemon) handleStatus(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	reply, err := json.Marshal(d.localStatus(string(body)))
	return reply, errors.Wrap(err, "encode status")
}
