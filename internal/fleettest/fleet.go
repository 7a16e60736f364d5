package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/internal/standin"
	"shallotglade/internal/testcerts"
	"shallotglade/pkg/admin"
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
)

// AdminKey is the administration key of team "*" at all daemons.
const AdminKey = "test-key-of-all-teams"

// Region is the region of all hosts.
const Region = "maroc-nord"

// Daemon is a daemon process with its failure domain and listen addresses.
type Daemon struct {
	*Process
	Domain, CallerAddress, PeerAddress, AdminAddress string
	// AddressesAddress and ReadinessAddress are empty without Fleet.InfoListeners.
	AddressesAddress, ReadinessAddress string
}

// Upstream is an upstream process with its registration.
type Upstream struct {
	*Process
	Service, Domain, Address string
	Slots                    int
}

// Fleet is a set of processes on loopback.
type Fleet struct {
	// Bin is the directory of the programs, Dir that of settings, keys and logs.
	Bin, Dir string
	// Lifetime is the setting addresses.lifetime: how long callers may cache a list
	// of daemon addresses.
	Lifetime time.Duration
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
	// InfoListeners gives each daemon listeners of their own for address queries and readiness.
	InfoListeners bool
	// DaemonSettings are further lines of the settings of daemons.
	DaemonSettings string

	PlatformURL string
	Platform    *Process
	Daemons     []*Daemon
	Upstreams   []*Upstream

	mu      sync.Mutex
	ca      *testcerts.CA
	http    *http.Client
	started []*Process
}

// New returns a fleet without processes.
func New(bin, dir string) *Fleet {
	return &Fleet{Bin: bin, Dir: dir, Lifetime: time.Second, http: &http.Client{Timeout: 5 * time.Second}}
}

// Close kills all processes and waits for them.
func (f *Fleet) Close() {
	for _, p := range f.started {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.started {
		<-p.done
	}
}

func (f *Fleet) start(id, program string, args ...string) (*Process, error) {
	logFile := filepath.Join(f.Dir, fmt.Sprintf("%s-%d.log", id, len(f.started)))
	p, err := start(id, logFile, filepath.Join(f.Bin, program), args...)
	if err == nil {
		f.started = append(f.started, p)
	}
	return p, err
}

// The ports lie below the system's range for outgoing connections, so that an
// outgoing connection cannot occupy one before the process listens on it.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int32

// portOffset makes test processes on one machine start at different ports. 613 is
// coprime to the size of the range.
var portOffset = os.Getpid() * 613

// freePorts returns n loopback addresses with ports that are free for TCP and UDP.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		attempt := int(nextPort.Add(1))
		if attempt > lastPort-firstPort {
			return nil, errors.New("no free port")
		}
		port := firstPort + (portOffset+attempt)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		u.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// StartPlatform starts the platform stand-in.
func (f *Fleet) StartPlatform() error {
	addresses, err := freePorts(1)
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + addresses[0]
	if f.Platform, err = f.start("platform", "standin", "platform", "--listen", addresses[0]); err != nil {
		return err
	}
	return f.await(10*time.Second, func() bool { return f.SetFaults(memstore.Faults{}) == nil })
}

func (f *Fleet) await(limit time.Duration, condition func() bool) error {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.Newf("condition not met within %v", limit)
}

// putJSON sends a value as JSON to the platform stand-in.
func (f *Fleet) putJSON(path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, f.PlatformURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return f.do(r)
}

func (f *Fleet) do(r *http.Request) error {
	resp, err := f.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Newf("%s %s: status %d", r.Method, r.URL.Path, resp.StatusCode)
	}
	return nil
}

// SetFaults replaces the faults of the platform stand-in.
func (f *Fleet) SetFaults(faults memstore.Faults) error { return f.putJSON("/standin/faults", faults) }

// Counts returns the numbers of calls that the platform stand-in has received.
func (f *Fleet) Counts() (memstore.Counts, error) {
	var c memstore.Counts
	resp, err := f.http.Get(f.PlatformURL + "/standin/counts")
	if err != nil {
		return c, err
	}
	defer resp.Body.Close()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}

// Register adds a member to the platform's membership list, or replaces it.
func (f *Fleet) Register(m platform.Member) error {
	m.Region = Region
	return f.putJSON("/v1/members/"+url.PathEscape(m.ID), m)
}

// Unregister removes a member from the membership list.
func (f *Fleet) Unregister(id string) error {
	r, err := http.NewRequest(http.MethodDelete, f.PlatformURL+"/v1/members/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	return f.do(r)
}

// StartUpstream starts an upstream, waits until it answers, and registers it.
func (f *Fleet) StartUpstream(service, id, domain string, slots int, flags ...string) (*Upstream, error) {
	addresses, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	args := append([]string{"upstream", "--name", id, "--listen", addresses[0], "--slots", strconv.Itoa(slots)}, flags...)
	p, err := f.start(id, "standin", args...)
	if err != nil {
		return nil, err
	}
	u := &Upstream{Process: p, Service: service, Domain: domain, Address: addresses[0], Slots: slots}
	f.Upstreams = append(f.Upstreams, u)
	if err := f.await(10*time.Second, func() bool {
		_, err := standin.Executions(context.Background(), u.Address)
		return err == nil
	}); err != nil {
		return nil, err
	}
	return u, f.Register(platform.Member{
		ID: id, Role: platform.RoleUpstream, Service: service, Address: u.Address, Domain: domain, Slots: slots, State: platform.Live,
	})
}

const daemonSettings = `region: %s
domain: %s
listen: {callers: %q, peers: %q, admin: %q, addresses: %q, readiness: %q}
platform: {addresses: [%q]}
peers: {ca: %s, certificate: %s, key: %s, seeds: [%s]}
admin: {keys: [{team: "*", key: %s}]}
addresses: {lifetime: %v}
log: {decisions: %v}
`

// writeCertificates issues a certificate for a daemon and returns the files of the CA,
// the certificate and the key.
func (f *Fleet) writeCertificates(id string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ca == nil {
		ca, err := testcerts.NewCA("test")
		if err != nil {
			return nil, err
		}
		// Written only once, because a daemon that is starting may be reading it.
		if err := os.WriteFile(filepath.Join(f.Dir, "ca.pem"), []byte(ca.PEM()), 0o600); err != nil {
			return nil, err
		}
		f.ca = ca
	}
	cert, key, err := f.ca.Issue(id)
	if err != nil {
		return nil, err
	}
	files := []string{filepath.Join(f.Dir, "ca.pem"), filepath.Join(f.Dir, id+".pem"), filepath.Join(f.Dir, id+"-key.pem")}
	err = errors.CombineErrors(os.WriteFile(files[1], []byte(cert), 0o600), os.WriteFile(files[2], []byte(key), 0o600))
	return files, err
}

// StartDaemon registers and starts a daemon. It does not wait until the daemon is
// ready; see AwaitReady.
func (f *Fleet) StartDaemon(id, domain string) (*Daemon, error) {
	certFiles, err := f.writeCertificates(id)
	if err != nil {
		return nil, err
	}
	addresses, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	if !f.InfoListeners {
		addresses[3], addresses[4] = "", ""
	}
	text := fmt.Sprintf(daemonSettings, Region, domain, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], f.PlatformURL, certFiles[0], certFiles[1], certFiles[2], f.seedSettings(), AdminKey, f.Lifetime, f.LogDecisions) + f.DaemonSettings
	file := filepath.Join(f.Dir, id+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d := &Daemon{Domain: domain, CallerAddress: addresses[0], PeerAddress: addresses[1], AdminAddress: addresses[2], AddressesAddress: addresses[3], ReadinessAddress: addresses[4]}
	if err := f.Register(platform.Member{ID: id, Role: platform.RoleDaemon, Address: d.CallerAddress, PeerAddress: d.PeerAddress, Domain: domain, State: platform.Live}); err != nil {
		return nil, err
	}
	if d.Process, err = f.start(id, "shallotgladed", "--config", file); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	return d, nil
}

// RestartDaemon restarts a daemon that has exited, with the same settings and
// addresses. It does not wait until the daemon is ready; see AwaitReady.
func (f *Fleet) RestartDaemon(d *Daemon) error {
	p, err := f.start(d.ID, "shallotgladed", "--config", filepath.Join(f.Dir, d.ID+".yaml"))
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// seedSettings returns the entries of the setting peers.seeds: up to two running
// daemons of each domain.
func (f *Fleet) seedSettings() string {
	count := map[string]int{}
	var out []string
	for _, d := range f.RunningDaemons() {
		if count[d.Domain]++; count[d.Domain] <= 2 {
			out = append(out, fmt.Sprintf("{address: %q, domain: %s}", d.PeerAddress, d.Domain))
		}
	}
	return strings.Join(out, ", ")
}

// RunningDaemons returns the daemons that have not exited.
func (f *Fleet) RunningDaemons() []*Daemon {
	var out []*Daemon
	for _, d := range f.Daemons {
		if !d.Exited() {
			out = append(out, d)
		}
	}
	return out
}

// AwaitReady waits until the given daemons are ready; without any, it waits for all
// running daemons. The limit applies to each daemon.
func (f *Fleet) AwaitReady(limit time.Duration, daemons ...*Daemon) error {
	if len(daemons) == 0 {
		daemons = f.RunningDaemons()
	}
	for _, d := range daemons {
		if err := f.await(limit, func() bool { return f.isReady(d) }); err != nil {
			return errors.Wrapf(err, "wait for daemon %s to be ready", d.ID)
		}
	}
	return nil
}

func (f *Fleet) isReady(d *Daemon) bool {
	resp, err := f.http.Get("http://" + d.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// Client returns an administration client of the given daemons, or of all running
// daemons.
func (f *Fleet) Client(daemons ...*Daemon) (*admin.Client, error) {
	if len(daemons) == 0 {
		daemons = f.RunningDaemons()
	}
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.AdminAddress)
	}
	return admin.NewClient(addresses, AdminKey)
}

// Apply creates a service from the text of its document and returns its version.
func (f *Fleet) Apply(ctx context.Context, text string) (uint64, error) {
	parsed, problems := document.Parse("test", []byte(text))
	if err := problems.Err(); err != nil {
		return 0, err
	}
	client, err := f.Client()
	if err != nil {
		return 0, err
	}
	s, err := client.Put(ctx, parsed.Service, 0, []byte(text))
	return s.Version, err
}

// AwaitInForce waits until every running daemon uses at least the given version of a
// document, and returns how long that took. The limit applies to each daemon.
func (f *Fleet) AwaitInForce(ctx context.Context, service string, version uint64, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, d := range f.RunningDaemons() {
		client, err := f.Client(d)
		if err != nil {
			return 0, err
		}
		if err := f.await(limit, func() bool {
			list, err := client.Status(ctx, service, false)
			return err == nil && len(list) == 1 && list[0].Status != nil && list[0].Status.Version >= version
		}); err != nil {
			return 0, errors.Wrapf(err, "wait for version %d to be in force at %s", version, d.ID)
		}
	}
	return time.Since(start), nil
}

// NewCallers returns n callers of one account that are spread over the domains and
// know all running daemons.
func (f *Fleet) NewCallers(name string, n int) []*standin.Caller {
	var seeds []string
	for _, d := range f.RunningDaemons() {
		seeds = append(seeds, d.CallerAddress)
	}
	callers := make([]*standin.Caller, n)
	for i := range callers {
		callers[i] = standin.NewCaller(name, f.Daemons[i%len(f.Daemons)].Domain, seeds)
	}
	return callers
}

// Runs returns how often each key ran, summed over the running upstreams of a service.
func (f *Fleet) Runs(ctx context.Context, service string) (map[string]int, error) {
	var addresses []string
	for _, u := range f.Upstreams {
		if u.Service == service && !u.Exited() {
			addresses = append(addresses, u.Address)
		}
	}
	return standin.RunsByKey(ctx, addresses)
}
