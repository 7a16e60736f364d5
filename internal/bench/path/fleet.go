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
	// The slots are ample, so that no request waits for one.
	upstreams = 4
	slots     = 64
	// serviceMs is the fixed service time of the upstreams in milliseconds.
	serviceMs  = 2
	startLimit = 20 * time.Second
)

const text = `service: batch-ledger
homes: {perDomain: 1}
upstreams: {slots: 64, connections: 330}
`

// start starts daemons of one failure domain, of which exactly one is the home.
func (b *bench) start(ctx context.Context, name string, daemons int, logDecisions bool) (*fleettest.Fleet, error) {
	dir := filepath.Join(b.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f := fleettest.New(b.bin, dir)
	f.LogDecisions = logDecisions
	if err := fill(ctx, f, daemons); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func fill(ctx context.Context, f *fleettest.Fleet, daemons int) error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := range upstreams {
		u, err := f.StartUpstream(service, fmt.Sprintf("w%d", i), domain, slots, "--service-time", "0s", "--queue", "1000")
		if err != nil {
			return err
		}
		if err := standin.SetMode(ctx, u.Address, standin.Mode{ExtraLatencyMs: serviceMs}); err != nil {
			return err
		}
	}
	for i := range daemons {
		if _, err := f.StartDaemon(fmt.Sprintf("d%d", i), domain); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(startLimit); err != nil {
		return err
	}
	version, err := f.Apply(ctx, text)
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(ctx, service, version, startLimit)
	return err
}

// split returns the home and a daemon that is not a home, which is nil in a
// fleet of one. Daemons learn of homes a little later than of the document.
func split(ctx context.Context, f *fleettest.Fleet) (home, other *fleettest.Daemon, err error) {
	for start := time.Now(); time.Since(start) < startLimit; time.Sleep(50 * time.Millisecond) {
		home, other = nil, nil
		for _, d := range f.Live() {
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
		if home != nil && (other != nil || len(f.Live()) == 1) {
			return home, other, nil
		}
	}
	return nil, nil, errors.New("the daemons do not agree on one home")
}

// startNaive starts this program as the naive proxy in front of the fleet's
// upstreams.
func startNaive(ctx context.Context, f *fleettest.Fleet) (address string, process *exec.Cmd, err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	address = l.Addr().String()
	l.Close()
	var to []string
	for _, u := range f.Upstreams {
		to = append(to, u.Address)
	}
	process = exec.CommandContext(ctx, self, "-naive", address, "-upstreams", strings.Join(to, ","))
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return "", nil, err
	}
	for start := time.Now(); time.Since(start) < startLimit; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return address, process, nil
		}
	}
	return "", nil, errors.CombineErrors(errors.New("the naive proxy does not listen"), process.Process.Kill())
}
