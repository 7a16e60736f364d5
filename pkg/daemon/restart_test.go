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

// inForceTarget is how soon an accepted change is to be in force everywhere on
// the users' platform.
const inForceTarget = 2 * time.Second

// contactTime is how long a daemon has run undisturbed when that target holds for it.
const contactTime = 3 * time.Second

const (
	restartDomain = "fes"
	firstPath     = "/first"
	secondPath    = "/second"
	configuration = document.ConfigurationsPrefix + "fleet"
)

const restartSettings = `host: %s
region: maroc-nord
domain: fes
listen: {callers: "127.0.0.1:0", peers: %q, admin: "127.0.0.1:0"}
platform: {adapter: memory, addresses: ["http://127.0.0.1:9"]}
peers: {trust: registered}
drain: {grace: 300ms}
`

// restartedFleet is a fleet that was killed as a whole. The platform still holds
// the entries that its daemons made at their former start.
type restartedFleet struct {
	g     *WithT
	store *memstore.Store
	// sockets keep the addresses of hosts whose daemons have not started again.
	sockets map[string]net.PacketConn
	log     *gbytes.Buffer
	// unregistered is the host whose writes the platform refuses, if any.
	unregistered string
}

// readOnlyStore is a platform that refuses the writes of a daemon.
type readOnlyStore struct{ platform.Store }

// Create implements platform.Store.
func (readOnlyStore) Create(context.Context, string, []byte) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

// newRestartedFleet returns a fleet with the given hosts in one failure domain
// and one host in each of two others. With three domains each has one relay.
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
	former, err := f.store.Get(ctx, configuration)
	if err == nil {
		_, err = f.store.Update(ctx, configuration, former.Version, value)
	} else {
		_, err = f.store.Create(ctx, configuration, value)
	}
	f.g.Expect(err).NotTo(HaveOccurred())
}

func (f *restartedFleet) adapter(s *settings.Settings, _ *platform.Caller, _ zerolog.Logger) Adapter {
	a := Adapter{
		Store: f.store, Prefixes: catalog.ConfigurationPrefixes(), Dialect: dialect.Native(), Registers: true, DearDistance: true,
	}
	if s.Host == f.unregistered {
		a.Store = readOnlyStore{f.store}
	}
	return a
}

// start starts the daemon of a host again, at its former address, and waits until
// it serves callers.
func (f *restartedFleet) start(t *testing.T, host string) *Daemon {
	d := f.launch(t, host)
	f.g.Eventually(d.Ready, 5*time.Second, 10*time.Millisecond).Should(BeTrue(), f.logged)
	f.g.Expect(routes(d, firstPath)).To(BeTrue(), f.logged)
	return d
}

// launch starts the daemon of a host at the address of its socket.
func (f *restartedFleet) launch(t *testing.T, host string) *Daemon {
	address := f.sockets[host].LocalAddr().String()
	s, err := settings.Parse("test", fmt.Appendf(nil, restartSettings, host, address))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(f.sockets[host].Close()).To(Succeed())
	log := zerolog.New(f.log).With().Str("at", host).Logger()
	d, err := New(s, map[string]AdapterFactory{"memory": f.adapter}, log)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		// Calls to hosts that are away may outlast the short grace.
		t.Logf("%s left: %v", host, <-ended)
	})
	return d
}

func (f *restartedFleet) logged() string { return string(f.log.Contents()) }

// routes reports whether a daemon has a route for the path in force.
func routes(d *Daemon, path string) bool {
	_, _, ok := d.board.Route("", "", path)
	return ok
}

// splitRelay returns which of the hosts is the relay of their domain, and the others.
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

// Guards against a change that is late at a daemon which rejects a relay that has entered its new key after it.
func TestPushOfRelayThatRestartedLaterIsRejected(t *testing.T) {
	hosts := []string{"fes-1", "fes-2"}
	relay, plain := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	early := f.start(t, plain[0])
	late := f.start(t, relay)
	f.configure(t.Context(), firstPath, secondPath)
	f.g.Eventually(routes, inForceTarget, 10*time.Millisecond).WithArguments(late, secondPath).Should(BeTrue(), f.logged)
	f.g.Eventually(routes, inForceTarget, 10*time.Millisecond).WithArguments(early, secondPath).Should(BeTrue(), f.logged)
}

// Guards against a change that is late at a daemon which rejects any daemon that has entered its new key after it.
func TestComparisonByDaemonThatRestartedLaterIsRejected(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	_, plain := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	early := f.start(t, plain[0])
	f.configure(t.Context(), firstPath, secondPath)
	late := f.start(t, plain[1])
	syncer, err := confsync.New(confsync.Config{
		Prefixes: catalog.ConfigurationPrefixes(), Replica: late.replica, Store: late.store, Transport: late.node,
		Peers:  func() []confsync.Peer { return []confsync.Peer{{Address: early.node.Addr(), Domain: restartDomain}} },
		Relays: func(string) []confsync.Peer { return nil }, Rand: rand.New(rand.NewPCG(1, 2)), Log: late.log,
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(syncer.Close)
	f.g.Eventually(func() bool {
		syncer.Tick(t.Context())
		return routes(early, secondPath)
	}, inForceTarget, 100*time.Millisecond).Should(BeTrue(), f.logged)
}

// Guards against an old configuration in force at a daemon that all others refuse, since its own entry could not be written.
func TestChangeReachesADaemonWithoutEntry(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	relay, plain := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	f.unregistered = plain[0]
	f.start(t, relay)
	refused := f.start(t, plain[0])
	f.start(t, plain[1])
	time.Sleep(contactTime)
	f.configure(t.Context(), firstPath, secondPath)
	f.g.Eventually(routes, inForceTarget, 10*time.Millisecond).WithArguments(refused, secondPath).Should(BeTrue(), f.logged)
}

// Guards against changes that are late because the only relay that watches the platform is lost for good, and the next
// one waits until all agree that it is dead.
func TestChangeAfterTheOnlyRelayIsLost(t *testing.T) {
	hosts := []string{"fes-1", "fes-2", "fes-3"}
	relay, plain := splitRelay(hosts)
	f := newRestartedFleet(t, hosts)
	lost := f.start(t, relay)
	rest := []*Daemon{f.start(t, plain[0]), f.start(t, plain[1])}
	// The daemons know each other once membership has probed for some periods.
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	t.Logf("connections of %s closed: %v", relay, lost.node.Close(ctx))
	f.configure(t.Context(), firstPath, secondPath)
	deadline := time.Now().Add(inForceTarget)
	for _, d := range rest {
		f.g.Eventually(routes, time.Until(deadline), 10*time.Millisecond).WithArguments(d, secondPath).Should(BeTrue(), f.logged)
	}
}
