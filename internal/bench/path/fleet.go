package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/fleettest"
	"shallotglade/internal/standin"
)

const (
	service = "batch-ledger"
	domain  = "tetouan"
	// There are more slots than concurrent requests, so that no request queues.
	upstreamCount    = 4
	slotsPerUpstream = 64
	// serviceTimeMs is the fixed service time of the upstreams.
	serviceTimeMs = 2
	startTimeout  = 20 * time.Second
)

const serviceDocument = `service: batch-ledger
homes: {perDomain: 1}
upstreams: {slots: 64, connections: 330}
`

// startFleet starts daemons in one failure domain. Exactly one of them becomes
// the home of the service.
func (b *bench) startFleet(ctx context.Context, name string, daemons int, logDecisions bool) (*fleettest.Fleet, error) {
	dir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f := fleettest.New(b.binDir, dir)
	f.LogDecisions = logDecisions
	if err := populate(ctx, f, daemons); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func populate(ctx context.Context, f *fleettest.Fleet, daemons int) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := range upstreamCount {
		u, err := f.StartUpstream(service, fmt.Sprintf("w%d", i), domain, slotsPerUpstream, "--service-time", "0s", "--queue", "1000")
		if err != nil {
			return err
		}
		if err := standin.SetMode(ctx, u.Address, standin.Mode{ExtraLatencyMs: serviceTimeMs}); err != nil {
			return err
		}
	}
	for i := range daemons {
		if _, err := f.StartDaemon(fmt.Sprintf("d%d", i), domain); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(startTimeout); err != nil {
		return err
	}
	version, err := f.Apply(ctx, serviceDocument)
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(ctx, service, version, startTimeout)
	return err
}

// findHomeAndOther returns the home and a daemon that is not a home. In a fleet
// of one daemon the latter is nil. It polls, because daemons compute the homes
// only after they have received the document.
func findHomeAndOther(ctx context.Context, f *fleettest.Fleet) (home, other *fleettest.Daemon, err error) {
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(50 * time.Millisecond) {
		home, other = nil, nil
		for _, d := range f.RunningDaemons() {
			client, err := f.Client(d)
			if err != nil {
				return nil, nil, err
			}
			list, err := client.Status(ctx, service, false)
			if err != nil || len(list) == 0 || list[0].Status == nil || len(list[0].Status.Homes) != 1 {
				continue
			}
			if list[0].Status.Home {
				home = d
			} else {
				other = d
			}
		}
		if home != nil && (other != nil || len(f.RunningDaemons()) == 1) {
			return home, other, nil
		}
	}
	return nil, nil, errors.New("daemons did not agree on one home before the timeout")
}

// startNaive starts this program a second time, as the naive proxy in front of
// the fleet's upstreams.
func startNaive(ctx context.Context, f *fleettest.Fleet) (address string, process *exec.Cmd, err error) {
	executable, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	address = l.Addr().String()
	l.Close()
	var upstreamAddresses []string
	for _, u := range f.Upstreams {
		upstreamAddresses = append(upstreamAddresses, u.Address)
	}
	process = exec.CommandContext(ctx, executable, "-naive", address, "-upstreams", strings.Join(upstreamAddresses, ","))
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return "", nil, err
	}
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return address, process, nil
		}
	}
	return "", nil, errors.CombineErrors(errors.New("naive proxy did not listen before the timeout"), process.Process.Kill())
}
