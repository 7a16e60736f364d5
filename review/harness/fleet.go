package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits and bounds of the users' pages for the site of the cases.
const (
	MemoryMB = 284
	Grace    = 6 * time.Second
)

// Daemon is one process of the fleet.
type Daemon struct {
	Name, Zone string
	// Frontend, Readiness, Control, Registry and Admin are its addresses.
	Frontend, Readiness, Control, Registry, Admin string

	settings string
	log      *os.File
	process  *exec.Cmd
	exited   chan struct{}
}

// Fleet is a set of daemons with their store.
type Fleet struct {
	Store   *Store
	Daemons []*Daemon

	root, dir string
}

// NewFleet prepares daemons, one for each given zone. root is the root of the project.
func NewFleet(root string, store *Store, zones []string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: store, root: root, dir: dir}
	count := map[string]int{}
	for _, zone := range zones {
		count[zone]++
		d := &Daemon{Name: fmt.Sprintf("edge-%s-%d", zone, count[zone]), Zone: zone}
		for _, address := range []*string{&d.Frontend, &d.Readiness, &d.Control, &d.Registry, &d.Admin} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		f.Daemons = append(f.Daemons, d)
	}
	go f.stopOnSignal()
	return f, nil
}

// stopOnSignal ends all daemons if the case is interrupted.
func (f *Fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	f.Stop()
	os.Exit(Failed)
}

// Ports of listeners are below the usual range of the ports of outgoing connections, which
// could take a port before its process listens.
const lowestPort, highestPort = 12000, 32000

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		pc, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err == nil {
			return address, pc.Close()
		}
	}
	return "", errors.New("no free port")
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) {
	for range 100 {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("no free port")
}

// Start starts all daemons for the first time and waits until they are ready.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d, true); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons {
		if err := d.WaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts one daemon with the command of the deploy file.
func (f *Fleet) StartDaemon(d *Daemon, first bool) error {
	settings, err := f.render(d, first)
	if err != nil {
		return err
	}
	d.settings = filepath.Join(f.dir, d.Name+".conf")
	if err := os.WriteFile(d.settings, settings, 0o600); err != nil {
		return err
	}
	command, err := f.command(d.settings)
	if err != nil {
		return err
	}
	if d.log, err = os.OpenFile(filepath.Join(f.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.process = exec.Command(command[0], command[1:]...)
	d.process.Dir, d.process.Stdout, d.process.Stderr = f.root, d.log, d.log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(p *exec.Cmd, log *os.File, exited chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(exited)
	}(d.process, d.log, d.exited)
	return nil
}

// command returns the command of the deploy file with the path of the settings.
func (f *Fleet) command(settings string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "run = ")
		if !found {
			continue
		}
		words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		for i := range words {
			if words[i] == "/etc/shallotglade/local.conf" {
				words[i] = settings
			}
		}
		words[0] = filepath.Join(f.root, words[0])
		return words, nil
	}
	return nil, errors.New("no run line in deploy/system.toml")
}

// render fills in the settings template of the project as the platform does.
func (f *Fleet) render(d *Daemon, first bool) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.yaml"))
	if err != nil {
		return nil, err
	}
	adminHost, adminPort, err := net.SplitHostPort(d.Admin)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, other := range f.Daemons[:min(3, len(f.Daemons))] {
		seeds = append(seeds, `{address: "`+other.Control+`"}`)
	}
	// A section of a field that the platform does not state is left out.
	template := regexp.MustCompile(`\{\{#\w+\.\w+\}\}.*\{\{/\w+\.\w+\}\}`).ReplaceAllString(string(text), "")
	return []byte(strings.NewReplacer(
		"{{node_name}}", d.Name, "{{bootstrap}}", strconv.FormatBool(first), "{{region}}", "qld-south", "{{zone}}", d.Zone,
		"{{limits.cpu_quota}}", "0.32", "{{limits.bandwidth_mbps}}", "1000.0",
		"{{listen.frontend}}", d.Frontend, "{{listen.registry}}", d.Registry, "{{listen.readiness}}", d.Readiness,
		"{{listen.control_plane}}", d.Control, "{{ip}}", adminHost, "{{internal_ports.0}}", adminPort,
		"{{platform.address}}", f.Store.addr, "{{platform.reads_per_s}}", "2000",
		`{{#seeds}}{address: "{{.}}"}{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		"{{bounds.grace_s}}", "6", "{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_window_s}}", "10", "{{bounds.retry_allowance}}", "58",
	).Replace(template)), nil
}

// WaitReady waits until the readiness check of the daemon succeeds.
func (d *Daemon) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-d.exited:
			return fmt.Errorf("%s has ended at its start", d.Name)
		default:
		}
		resp, err := http.Get("http://" + d.Readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.Name, limit)
}

// Signal sends a signal to the daemon.
func (d *Daemon) Signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

// PID returns the process id of the daemon.
func (d *Daemon) PID() int { return d.process.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Stop ends all daemons. It removes their logs unless REVIEW_KEEP is set.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.process != nil {
			d.Signal(syscall.SIGKILL)
			<-d.exited
		}
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
