package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/health"
	"shallotglade/pkg/history"
	"shallotglade/pkg/ingress"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/registration"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

// Kinds of messages between daemons, besides those of confsync, membership and
// proxy.
const (
	kindSummary = "summary"
	kindStatus  = "status"
)

// refusedLogRate, in lines a second, and refusedLogBurst bound the lines about
// refused daemons: each of them tries again several times a second.
const (
	refusedLogRate  = 2
	refusedLogBurst = 20
)

// Daemon is one running daemon.
type Daemon struct {
	settings *settings.Settings
	// dynamic are the settings that Reload replaces.
	dynamic atomic.Pointer[settings.Dynamic]
	log     zerolog.Logger
	metrics *telemetry.Metrics

	adapter Adapter
	self    platform.Member
	store   platform.Store
	board   *blackboard.Board
	node    *peer.Node
	roster  *roster
	replica *confsync.Replica
	syncer  *confsync.Syncer
	catalog *catalog.Catalog
	health  *health.Controller
	sender  *upstream.Client
	ledger  claims.Ledger
	proxy   *proxy.Proxy
	callers *proxy.Server
	admin   *admin.Server

	registration *registration.Controller
	// lookup is nil unless daemons enter themselves.
	lookup *registration.Lookup
	// provisioned is set when all parts exist. Handshakes may come before.
	provisioned atomic.Bool
	// rostered is set when the list of daemons was read.
	rostered atomic.Bool
	// questions answer callers' questions on listeners of their own.
	questions []*ingress.Server

	// refusedLog bounds the log lines about refused daemons.
	refusedLog *rate.Limiter

	serving   atomic.Bool
	leave     chan struct{}
	leaveOnce sync.Once
}

// New opens the ports of a daemon and prepares its parts. adapters are the
// adapters that the settings may name besides the native one.
func New(s *settings.Settings, adapters map[string]AdapterFactory, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, metrics: telemetry.NewMetrics(), leave: make(chan struct{}),
		refusedLog: rate.NewLimiter(refusedLogRate, refusedLogBurst),
	}
	d.dynamic.Store(s.Dynamic())
	d.log.Info().Str("version", Version()).Str("host", s.Host).Str("region", s.Region).Str("domain", s.Domain).
		Str("adapter", s.Platform.Adapter).Strs("platform", s.Platform.Addresses).Int("seeds", len(s.Peers.Seeds)).
		Int("pid", os.Getpid()).Msg("daemon: starts")
	if err := d.provision(adapters); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provision(adapters map[string]AdapterFactory) error {
	if err := d.provisionPlatform(adapters); err != nil {
		return err
	}
	if err := d.provisionPeers(); err != nil {
		return err
	}
	d.board = blackboard.New(d.node.ID(), d.settings.Domain)
	d.catalog = catalog.New(d.board, d.log, d.metrics)
	var err error
	d.roster, err = newRoster(d)
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	if err := d.provisionSync(); err != nil {
		return errors.Wrap(err, "config")
	}
	if err := d.provisionPath(); err != nil {
		return err
	}
	d.registerTotals()
	d.provisioned.Store(true)
	return d.provisionServers()
}

func (d *Daemon) provisionPlatform(adapters map[string]AdapterFactory) error {
	caller, err := platform.NewCaller(platform.CallerConfig{
		URLs: d.settings.Platform.Addresses, Key: d.settings.Platform.Key, ReadTimeout: d.settings.Platform.Timeout,
	})
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	factory := AdapterFactory(native)
	if name := d.settings.Platform.Adapter; name != settings.AdapterNative {
		if factory = adapters[name]; factory == nil {
			return errors.Newf("platform.adapter: no adapter %q", name)
		}
	}
	d.adapter = factory(d.settings, caller, d.log)
	d.store = observe(d.adapter.Store, d.metrics.PlatformUp, d.log)
	return nil
}

func (d *Daemon) provisionPeers() error {
	config := peer.Config{Listen: d.settings.Listen.Peers, Logger: d.log}
	if d.settings.Peers.Trust == settings.TrustRegistered {
		var err error
		if config.Registered, err = peer.NewRegistered(registration.NewID(d.settings.Host)); err != nil {
			return err
		}
		config.Registered.KeyOf, config.Registered.OnMismatch = d.keyOf, d.refusedPeer
	} else {
		config.Credentials = d.credentials()
	}
	var err error
	if d.node, err = peer.Listen(config); err != nil {
		return errors.Wrapf(err, "listen for peers on %s", d.settings.Listen.Peers)
	}
	d.self = platform.Member{
		ID: d.node.ID(), Role: platform.RoleDaemon, Address: d.settings.Listen.Callers, PeerAddress: d.node.Addr(),
		Region: d.settings.Region, Domain: d.settings.Domain, State: platform.Live,
	}
	if config.Registered != nil {
		d.self.Host, d.self.PeerKey = d.settings.Host, config.Registered.KeyHash()
	}
	return nil
}

func (d *Daemon) credentials() peer.Credentials {
	p := d.settings.Peers
	return peer.Credentials{CA: []string{p.CA}, Cert: p.Certificate, Key: p.Key}
}

// rosterDelay is how long a daemon that has entered itself waits before it reads
// the list of daemons. Those of a fleet that starts as a whole start within 0.3 s
// of each other, and each takes about as long to enter itself.
const rosterDelay = 600 * time.Millisecond

// smallFleetStart is up to how many daemons a daemon that starts again reads
// everything from the platform by itself, which takes a few of its answers. In a
// larger fleet many may start at once, and the platform's rate of reads would
// bound them.
const smallFleetStart = 128

func (d *Daemon) provisionSync() error {
	d.replica = confsync.NewReplica()
	d.replica.OnChange(d.catalog.Changed)
	d.catalog.OnDaemons(d.roster.setRoster)
	d.catalog.OnService(d.roster.place)
	if d.adapter.Registers {
		d.registration = &registration.Controller{Store: d.store, Self: d.self, Log: d.log}
		d.registration.Provision()
		d.catalog.OnEntry(d.entryChanged)
		d.provisionLookup()
	}
	var err error
	config := confsync.Config{
		Self:           confsync.Peer{Address: d.node.Addr(), Domain: d.settings.Domain},
		Prefixes:       d.adapter.Prefixes,
		Replica:        d.replica,
		Store:          d.store,
		Transport:      d.node,
		Peers:          d.roster.syncPeers,
		ConnectedPeers: d.roster.nearPeers,
		Relays:         d.roster.relays,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:            d.log,
	}
	if d.adapter.Registers {
		config.RosterPrefix, config.OnRosterLoaded = platform.DaemonsPrefix, d.rosterRead
		config.MaxDaemonsForDirectList = smallFleetStart
		if d.settings.FirstStart {
			// One daemon of each domain lists the platform for all others.
			config.RosterDelay, config.MaxDaemonsForDirectList = rosterDelay, 0
		}
	}
	if d.adapter.Reach != nil {
		config.ProbePlatform = func(ctx context.Context) error { return d.adapter.Reach(ctx, d.settings.Host) }
		config.OnDetached = d.roster.setDetached
	}
	if d.adapter.DearDistance {
		// One relay in each domain watches the platform, so that one ready peer
		// has what the others have.
		config.ReduceTraffic, config.BootPeers, config.BootDomains = true, 1, 1
		config.CompareOtherDomains = d.roster.members.IsBridge
	}
	d.syncer, err = confsync.New(config)
	if err != nil {
		return err
	}
	for _, kind := range confsync.Kinds() {
		d.node.Handle(kind, func(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
			return d.syncer.Handle(ctx, kind, body)
		})
	}
	return nil
}

func (d *Daemon) provisionPath() error {
	d.sender = upstream.NewClient(d.adapter.Dialect)
	var err error
	d.ledger, err = claims.New(claims.Config{Store: d.store})
	if err != nil {
		return errors.Wrap(err, "claims")
	}
	d.health = &health.Controller{
		Board: d.board, Store: d.store, Sender: d.sender, Log: d.log, Metrics: d.metrics,
		Homes:   d.roster.reportPeers,
		Publish: func(o platform.Object) { d.replica.Apply(o) },
		Send: func(ctx context.Context, to health.Peer, body []byte) error {
			return d.node.Send(ctx, to.Address, kindSummary, body)
		},
		Tell: func(ctx context.Context, to health.Peer, body []byte) error {
			_, err := d.node.Call(ctx, to.Address, kindSummary, body)
			return err
		},
	}
	if err := d.health.Provision(); err != nil {
		return errors.Wrap(err, "health")
	}
	forward := &forwarder{node: d.node, observe: d.roster.members.Observe}
	d.proxy = &proxy.Proxy{
		Forwarder: forward,
		Dialect:   d.adapter.Dialect, Board: d.board, Sender: d.sender, Ledger: d.ledger, Directory: d.roster,
		Notifier: d.health, Log: d.log, Metrics: d.metrics, LogDecisions: d.logsDecisions,
	}
	d.node.Handle(proxy.ForwardKind, func(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
		reply, err := d.proxy.HandleForward(ctx, body)
		if errors.Is(err, proxy.ErrUnknownService) {
			err = errors.Mark(err, peer.ErrRefused)
		}
		return reply, err
	})
	d.node.HandleMessage(kindSummary, func(_ context.Context, from peer.Identity, body []byte) {
		d.health.Receive(body, from.Owns)
	})
	d.node.Handle(kindSummary, func(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
		d.health.Receive(body, from.Owns)
		return nil, nil
	})
	d.node.Handle(kindStatus, d.handleStatus)
	return nil
}

func (d *Daemon) provisionServers() error {
	ln, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	book := d.addresses
	if d.settings.Listen.Addresses != "" {
		book = nil
	}
	d.callers = proxy.NewServer(ln, func() settings.Callers { return d.dynamic.Load().Callers }, d.proxy, book)
	if err := d.provisionQuestions(); err != nil {
		return err
	}
	return d.provisionAdmin()
}

func (d *Daemon) provisionAdmin() error {
	ln, err := net.Listen("tcp", d.settings.Listen.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for administration")
	}
	d.admin = &admin.Server{
		Documents: &admin.Documents{
			Store: d.store, Board: d.board, History: &history.Log{Store: d.store}, Log: d.log, Now: time.Now,
			Publish: func(o platform.Object) { d.replica.Apply(o) },
		},
		Fleet: d, Keys: d.settings.Admin.Keys, Registry: d.metrics.Registry, Log: d.log,
	}
	d.admin.Provision(ln)
	return nil
}

// forwarder passes requests to homes over the peer transport.
type forwarder struct {
	node *peer.Node
	// observe takes whether a daemon could be reached.
	observe func(id string, reachable bool)
}

// Forward implements proxy.Forwarder.
func (f *forwarder) Forward(ctx context.Context, to proxy.Peer, in *proxy.Incoming, left time.Duration) (*proxy.Answer, error) {
	body, err := proxy.EncodeForward(in, left)
	if err != nil {
		return nil, errors.Mark(err, proxy.ErrNotSent)
	}
	reply, err := f.node.Call(ctx, to.Address, proxy.ForwardKind, body)
	f.observe(to.ID, err == nil)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, errors.Mark(err, proxy.ErrNotSent)
	}
	if err != nil {
		return nil, err
	}
	return proxy.DecodeForwardAnswer(reply)
}
