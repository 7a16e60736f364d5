package daemon

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/peer"
)

// Status implements admin.Fleet.
func (d *Daemon) Status(ctx context.Context, service string, all bool) []admin.DaemonStatus {
	out := []admin.DaemonStatus{d.ownStatus(service)}
	if !all {
		return out
	}
	homes := d.roster.others(service)
	answers := make([]admin.DaemonStatus, len(homes))
	var wg sync.WaitGroup
	for i, h := range homes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = d.askStatus(ctx, h.PeerAddress, service)
			answers[i].Daemon, answers[i].Domain = h.ID, h.Domain
		}()
	}
	wg.Wait()
	if out[0].Status != nil && !out[0].Status.Home {
		return answers
	}
	return append(out, answers...)
}

func (d *Daemon) ownStatus(service string) admin.DaemonStatus {
	s := admin.DaemonStatus{Daemon: d.board.Self(), Domain: d.board.Domain()}
	if svc, ok := d.board.Service(service); ok {
		status := svc.Status()
		s.Status = &status
	} else {
		s.Error = "the service is not known here"
	}
	return s
}

func (d *Daemon) askStatus(ctx context.Context, address, service string) admin.DaemonStatus {
	var s admin.DaemonStatus
	reply, err := d.node.Call(ctx, address, kindStatus, []byte(service))
	if err == nil {
		err = json.Unmarshal(reply, &s)
	}
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

// handleStatus answers another daemon's question.
func (d *Daemon) handleStatus(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	b, err := json.Marshal(d.ownStatus(string(body)))
	return b, errors.Wrap(err, "encode status")
}
