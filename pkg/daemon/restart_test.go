package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"shallotglade/pkg/catalog"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/document"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/registration"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
)

// propagationTarget is the time within which an accepted change must be in force on
// all daemons, on the users' platform.
const propagationTarget = 2 * time.Second

// targetMinUptime is the undisturbed uptime from which propagationTarget applies to a daemon.
const targetMinUptime = 3 * time.Second

const (
	restartDomain    = "fes"
	firstPath        = "/first"
	secondPath       = "/second"
	configurationKey = document.ConfigurationsPrefix + "fleet"
)

const restartSettings = `host: %s
region: maroc-nord
domain: fes
listen: {callers: "127.0.0.1:0", peers: %q, admin: "127.0.0.1:0"}
platform: {adapter: memory, addresses: ["http://127.0.0.1:9"]}
peers: {trust: registered}
drain: {grace: 300ms}
`

// restartedFleet is a fleet that was killed as a whole. The platform still stores
// the registration entries of the previous processes.
type restartedFleet struct {
	g     *WithT
	store *memstore.Store
	// sockets reserve the addresses of hosts whose daemons have not restarted yet.
	sockets map[string]net.PacketConn
	log     *gbytes.Buffer
	// unregistered is the host whose writes the platform refuses, if any.
	unregistered string
}

// readOnlyStore is a platform that refuses to create objects, so a daemon cannot register.
type readOnlyStore struct{ platform.Store }

// Create implements platform.Store.
func (readOnlyStore) Create(context.Context, string, []byte) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

// newRestartedFleet returns a fleet with the given hosts in one failure domain and
// one host in each of two other domains. With three domains, each has one relay.
func newRestartedFleet(t *testing.T, hosts []string) *restartedFleet {
	telemetry.CaptureHTTP(zerolog.Nop())
	f := &restartedFleet{g: NewWithT(t), store: memstore.New(), sockets: map[string]net.PacketConn{}, log: gbytes.NewBuffer()}
	domains := map[string]string{"rabat-1": "rabat", "tetouan-1": "tetouan"}
	for _, host := range hosts {
		domains[host] = restartDomain
	}
	for host, domain := range domains {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		f.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = socket.Close() })
		f.sockets[host] = socket
		address := socket.LocalAddr().String()
		value, err := json.Marshal(platform.Member{
			ID: registration.NewID(host), Host: host, Role: platform.RoleDaemon, Address: address, PeerAddress: address,
			Domain: domain, State: platform.Live, PeerKey: strings.Repeat("0", 64),
		})
		f.g.Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Create(t.Context(), registration.Key(host), value)
		f.g.Expect(err).NotTo(HaveOccurred())
	}
	f.configure(t.Context(), firstPath)
	return f
}

// configure stores a configuration with one route for each path.
func (f *restartedFleet) configure(ctx context.Context, paths ...string) {
	c := document.Configuration{Version: uint64(len(paths)), Services: []*document.Service{document.New("registre-steles")}}
	for _, path := range paths {
		c.Routes = append(c.Routes, document.Rule{
			Name: path, Path: path, Timeout: time.Second, Attempts: 1, Backends: []document.Backend{{Service: "registre-steles", Weight: 1}},
		})
	}
	value, err := c.Encode()
	f.g.Expect(err).NotTo(HaveOccurred())
	previous, err := f.store.Get(ctx, configurationKey)
	if err == nil {
		_, err = f.store.Update(ctx, configurationKey, previous.Version, value)
	} else {
		_, err = f.store.Create(ctx, configurationKey, value)
	}
	f.g.Expect(err).NotTo(HaveOccurred())
}

func (f *restartedFleet) adapter(s *settings.Settings, _ *platform.Transport, _ zerolog.Logger) Adapter {
	a := Adapter{
		Store: f.store, Prefixes: catalog.ConfigurationPrefixes(), Dialect: dialect.Native(), SelfRegistration: true, CrossDomainExpensive: true,
	}
	if s.Host == f.unregistered {
		a.Store = readOnlyStore{f.store}
	}
	return a
}

// start restarts the daemon of a host at its previous address and waits until it
// serves callers.
func (f *restartedFleet) start(t *testing.T, host string) *Daemon {
	d := f.launch(t, host)
	f.g.Eventually(d.Ready, 5*time.Second, 10*time.Millisecond).Should(BeTrue(), f.logged)
	f.g.Expect(hasRoute(d, firstPath)).To(BeTrue(), f.logged)
	return d
}

// launch starts the daemon of a host at the address reserved by its socket.
func (f *restartedFleet) launch(t *testing.T, host string) *Daemon {
	address := f.sockets[host].LocalAddr().String()
	s, err := settings.Parse("test", fmt.Appendf(nil, restartSettings, host, address))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(f.sockets[host].Close()).To(Succeed())
	log := zerolog.New(f.log).With().Str("at", host).Logger()
	d, err := New(s, map[string]AdapterFactory{"memory": f.adapter}, log)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		// Calls to unreachable hosts may exceed the short grace period.
		t.Logf("daemon of %s stopped: %v", host, <-runResult)
	})
	return d
}

func (f *restartedFleet) logged() string { return string(f.log.Contents()) }

// hasRoute reports whether a route for the path is in force at the daemon.
func hasRoute(d *Daemon, path string) bool {
	_, _, ok := d.board.Route("", "", path)
	return ok
}

// splitRelay returns the host that is the relay of the domain, and the other hosts.
func splitRelay(hosts []string) (relay string, others []string) {
	var placed []placement.Host
	for _, host := range hosts {
		placed = append(placed, placement.Host{ID: host, Domain: restartDomain})
	}
	relay = placement.Relays(restartDomain, placed, 1)[0].ID
	for _, host := range hosts {
		if host != relay {
			others = append(others, host)
		}
	}
	return relay, others
}

// Guards against a late change at a daemon that rejects the relay, because the relay restarted later and registered a
// new key.
func TestChangePushedByRelayThatRestartedLater(t *testing.T) {
	hosts := []string{"fes-1", "fes-2"}
	relay, others := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	earlier := f.start(t, others[0])
	later := f.start(t, relay)
	f.configure(t.Context(), firstPath, secondPath)
	f.g.Eventually(hasRoute, propagationTarget, 10*time.Millisecond).WithArguments(later, secondPath).Should(BeTrue(), f.logged)
	f.g.Eventually(hasRoute, propagationTarget, 10*time.Millisecond).WithArguments(earlier, secondPath).Should(BeTrue(), f.logged)
}

// Guards against a late change at a daemon that rejects all daemons that restarted later and registered a new key. The
// change must arrive through comparisons.
func TestChangeComparedByDaemonThatRestartedLater(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	_, others := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	earlier := f.start(t, others[0])
	f.configure(t.Context(), firstPath, secondPath)
	later := f.start(t, others[1])
	syncer, err := confsync.New(confsync.Config{
		Prefixes: catalog.ConfigurationPrefixes(), Replica: later.replica, Store: later.store, Transport: later.node,
		Peers:  func() []confsync.Peer { return []confsync.Peer{{Address: earlier.node.Addr(), Domain: restartDomain}} },
		Relays: func(string) []confsync.Peer { return nil }, Rand: rand.New(rand.NewPCG(1, 2)), Log: later.log,
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(syncer.Close)
	f.g.Eventually(func() bool {
		syncer.Tick(t.Context())
		return hasRoute(earlier, secondPath)
	}, propagationTarget, 100*time.Millisecond).Should(BeTrue(), f.logged)
}

// Guards against an old configuration at a daemon that all others refuse, because it could not write its registration
// entry.
func TestChangeReachesDaemonWithoutCurrentEntry(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	relay, others := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	f.unregistered = others[0]
	f.start(t, relay)
	refused := f.start(t, others[0])
	f.start(t, others[1])
	time.Sleep(targetMinUptime)
	f.configure(t.Context(), firstPath, secondPath)
	f.g.Eventually(hasRoute, propagationTarget, 10*time.Millisecond).WithArguments(refused, secondPath).Should(BeTrue(), f.logged)
}

// Guards against late changes after the only relay that watches the platform has failed permanently, when its successor
// starts only once all daemons agree that it is dead.
func TestChangeAfterTheOnlyRelayIsLost(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	relay, others := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	lostRelay := f.start(t, relay)
	survivors := []*Daemon{f.start(t, others[0]), f.start(t, others[1])}
	// Wait for some probe periods, after which the daemons know each other.
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	t.Logf("connections of %s closed: %v", relay, lostRelay.node.Close(ctx))
	f.configure(t.Context(), firstPath, secondPath)
	deadline := time.Now().Add(propagationTarget)
	for _, d := range survivors {
		f.g.Eventually(hasRoute, time.Until(deadline), 10*time.Millisecond).WithArguments(d, secondPath).Should(BeTrue(), f.logged)
	}
}
