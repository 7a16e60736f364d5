package daemon

import (
	"cmp"
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
	"shallotglade/pkg/allowance"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/catalog"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/health"
	"shallotglade/pkg/history"
	"shallotglade/pkg/ingress"
	"shallotglade/pkg/memory"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/registration"
	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

// Kinds of messages between daemons. Packages confsync, membership and proxy
// define more.
const (
	kindSummary = "summary"
	kindStatus  = "status"
)

// refusedLogRate (lines per second) and refusedLogBurst limit the log lines about
// refused daemons, each of which retries several times a second.
const (
	refusedLogRate  = 2
	refusedLogBurst = 20
)

// Daemon is one running daemon.
type Daemon struct {
	settings *settings.Settings
	// reloadable holds the settings that Reload replaces.
	reloadable atomic.Pointer[settings.Reloadable]
	log        zerolog.Logger
	metrics    *telemetry.Metrics

	adapter        Adapter
	self           platform.Member
	store          platform.Store
	board          *blackboard.Board
	node           *peer.Node
	roster         *roster
	replica        *confsync.Replica
	syncer         *confsync.Syncer
	catalog        *catalog.Catalog
	health         *health.Controller
	memory         *memory.Budget
	upstreamClient *upstream.Client
	ledger         claims.Ledger
	proxy          *proxy.Proxy
	callerServer   *proxy.Server
	admin          *admin.Server
	// freshness is nil if the age of the accounts is not known.
	freshness  *freshness
	allowances *allowance.Controller

	registration *registration.Controller
	// lookup is nil unless daemons register themselves.
	lookup *registration.Lookup
	// provisioned is set once all components exist. Handshakes may arrive earlier.
	provisioned atomic.Bool
	// rosterLoaded is set once the list of daemons has been read.
	rosterLoaded atomic.Bool
	// infoServers answer address queries and readiness checks on separate listeners.
	infoServers []*ingress.Server

	// refusedLog limits the log lines about refused daemons.
	refusedLog *rate.Limiter

	serving        atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New opens the ports of a daemon and creates its components. adapters holds, by
// name, the adapters that the settings may select besides the native one.
func New(s *settings.Settings, adapters map[string]AdapterFactory, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, metrics: telemetry.NewMetrics(), drainRequested: make(chan struct{}),
		refusedLog: rate.NewLimiter(refusedLogRate, refusedLogBurst),
	}
	d.reloadable.Store(s.Reloadable())
	d.log.Info().Str("version", Version()).Str("host", s.Host).Str("region", s.Region).Str("domain", s.Domain).
		Str("adapter", s.Platform.Adapter).Strs("platform", s.Platform.Addresses).Int("seeds", len(s.Peers.Seeds)).
		Int("pid", os.Getpid()).Msg("daemon: starting")
	if err := d.provision(adapters); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provision(adapters map[string]AdapterFactory) error {
	d.provisionMemory()
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
	if err := d.provisionRequestPath(); err != nil {
		return err
	}
	d.registerCounters()
	d.provisioned.Store(true)
	return d.provisionServers()
}

func (d *Daemon) provisionPlatform(adapters map[string]AdapterFactory) error {
	transport, err := platform.NewTransport(platform.TransportConfig{
		URLs: d.settings.Platform.Addresses, Key: d.settings.Platform.Key, ReadTimeout: d.settings.Platform.Timeout,
	})
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	factory := AdapterFactory(newNativeAdapter)
	if name := d.settings.Platform.Adapter; name != settings.AdapterNative {
		if factory = adapters[name]; factory == nil {
			return errors.Newf("platform.adapter: no adapter %q", name)
		}
	}
	d.adapter = factory(d.settings, transport, d.log)
	d.store = newObservedStore(d.adapter.Store, d.metrics.PlatformUp, d.log)
	return nil
}

func (d *Daemon) provisionPeers() error {
	config := peer.Config{Listen: d.settings.Listen.Peers, Logger: d.log, Hold: d.holdFrame}
	if d.settings.Peers.Trust == settings.TrustRegistered {
		var err error
		if config.RegisteredKeys, err = peer.NewRegisteredKeys(registration.NewID(d.settings.Host)); err != nil {
			return err
		}
		config.RegisteredKeys.KeyHashOf, config.RegisteredKeys.OnMismatch = d.registeredKeyHash, d.onPeerRefused
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
		Cores: d.settings.Capacity.Cores, LinkMbps: d.settings.Capacity.LinkMbps,
	}
	if config.RegisteredKeys != nil {
		d.self.Host, d.self.PeerKey = d.settings.Host, config.RegisteredKeys.KeyHash()
	}
	return nil
}

func (d *Daemon) credentials() peer.Credentials {
	p := d.settings.Peers
	return peer.Credentials{CA: []string{p.CA}, Cert: p.Certificate, Key: p.Key}
}

// rosterDelay is how long a daemon waits after its own registration before it
// reads the list of daemons. In a fleet that starts as a whole, all daemons start
// within 0.3 s of each other, and registering takes each about another 0.3 s.
const rosterDelay = 600 * time.Millisecond

const (
	// directListReads is the part of the platform's limit on reads per second that is set
	// aside for each daemon that lists all objects after a restart. A list of 1,500
	// objects takes five calls, and all daemons may start at once.
	directListReads = 16
	// staleEntriesReads is the same for a daemon that lists the upstreams' entries from
	// stale copies, which do not count: the configuration, the list of daemons, and a retry
	// of each.
	staleEntriesReads = 4
	// defaultReadsPerSecond is the limit assumed if the settings state none.
	defaultReadsPerSecond = 2000
	// minStaleListFleet is the smallest fleet, in daemons, in which all daemons list the
	// objects when the fleet starts for the first time, from stale copies, which do not
	// count towards the rate limit. In a smaller one, one daemon of each domain lists them
	// for the others, which is cheaper. In a domain of 90 small hosts, the handshakes with
	// peers that have nothing yet take most of their processor time.
	minStaleListFleet = 128
)

// directList returns how a starting daemon gets the objects in a fleet of the given number
// of daemons. A restarted one lists them itself, unless the fleet would exceed the
// platform's limit: after a loss of power no other daemon has them. In a larger fleet it
// reads the upstreams' entries from stale copies: 300 daemons that know each other only by
// the keys of their former processes refuse each other for seconds while they wait for the
// entries from one relay of each domain.
func (d *Daemon) directList(daemons int) confsync.DirectList {
	limit := cmp.Or(d.settings.Platform.ReadsPerSecond, defaultReadsPerSecond)
	switch {
	case d.settings.FirstStart && daemons >= minStaleListFleet:
		return confsync.ListStale
	case !d.settings.FirstStart && daemons*directListReads <= limit:
		return confsync.ListCurrent
	case !d.settings.FirstStart && d.adapter.SelfRegistration && daemons*staleEntriesReads <= limit:
		return confsync.ListStaleEntries
	}
	return confsync.FromPeers
}

func (d *Daemon) provisionSync() error {
	d.replica = confsync.NewReplica()
	d.catalog.SetOriginOf(func(key string) (confsync.Origin, time.Duration) {
		return d.replica.OriginOf(key), d.syncer.CopyAge()
	})
	d.replica.OnChange(d.catalog.Stage)
	d.replica.OnBatch(d.catalog.Flush)
	if d.adapter.DecodeConfiguration != nil {
		d.catalog.SetConfigurationDecoder(d.adapter.DecodeConfiguration)
	}
	d.catalog.OnDaemons(d.roster.setRoster)
	d.catalog.OnService(d.roster.placeService)
	if d.adapter.SelfRegistration {
		d.registration = &registration.Controller{Store: d.store, Self: d.self, Log: d.log}
		d.registration.Provision()
		d.catalog.OnDaemonEntry(d.onEntryChanged)
		d.provisionLookup()
	}
	var err error
	if d.syncer, err = confsync.New(d.syncConfig()); err != nil {
		return err
	}
	for _, kind := range confsync.Kinds() {
		d.node.Handle(kind, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
			return d.syncer.HandleFrom(ctx, from.Addr, kind, body)
		})
	}
	return nil
}

// syncConfig returns the configuration of the Syncer, as the adapter and the settings ask
// for it.
func (d *Daemon) syncConfig() confsync.Config {
	config := confsync.Config{
		Self:           confsync.Peer{Address: d.node.Addr(), Domain: d.settings.Domain},
		Prefixes:       d.adapter.Prefixes,
		Replica:        d.replica,
		Store:          d.store,
		Transport:      d.node,
		Peers:          d.roster.syncPeers,
		ConnectedPeers: d.roster.probedPeers,
		Relays:         d.roster.relaysFor,
		Standbys:       d.roster.standbyPeers,
		IsStandby:      d.roster.isStandby,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:            d.log,
	}
	if d.adapter.ConfigurationKey != "" {
		config.ConfigurationKey = d.adapter.ConfigurationKey
		config.NeedsConfirmation, config.HeldVersion = d.board.NeedsKeys, d.board.ConfigurationVersion
	}
	if d.adapter.SelfRegistration {
		config.RosterPrefix, config.OnRosterLoaded = platform.DaemonsPrefix, d.onRosterLoaded
		config.DirectList = d.directList
		if d.settings.FirstStart {
			config.RosterDelay = rosterDelay
		}
	}
	if d.adapter.ProbePlatform != nil {
		config.ProbePlatform = func(ctx context.Context) error { return d.adapter.ProbePlatform(ctx, d.settings.Host) }
		config.OnDetached = d.roster.setDetached
	}
	if d.adapter.CrossDomainExpensive {
		// One relay in each domain watches the platform, so a single ready peer
		// already has all objects.
		config.ReduceTraffic, config.BootPeers, config.BootDomains = true, 1, 1
		config.CompareOtherDomains = d.roster.members.IsBridge
	}
	return config
}

func (d *Daemon) provisionRequestPath() error {
	d.upstreamClient = upstream.NewClientWithMemory(d.adapter.Dialect, d.memory)
	var err error
	d.ledger, err = claims.New(claims.Config{Store: d.store})
	if err != nil {
		return errors.Wrap(err, "claims")
	}
	d.health = &health.Controller{
		Board: d.board, Store: d.store, Sender: d.upstreamClient, Log: d.log, Metrics: d.metrics,
		Homes:   d.roster.reportPeers,
		Publish: func(o platform.Object) { d.replica.Apply(o) },
		Send: func(ctx context.Context, to health.Peer, body []byte) error {
			return d.node.Send(ctx, to.Address, kindSummary, body)
		},
		SendAndAwaitAck: func(ctx context.Context, to health.Peer, body []byte) error {
			_, err := d.node.Call(ctx, to.Address, kindSummary, body)
			return err
		},
	}
	if err := d.health.Provision(); err != nil {
		return errors.Wrap(err, "health")
	}
	forward := &forwarder{node: d.node, memory: d.memory, recordReachability: d.roster.members.Observe}
	d.proxy = &proxy.Proxy{
		Forwarder: forward, Drain: proxy.NewDrain(),
		Dialect: d.adapter.Dialect, Board: d.board, Sender: d.upstreamClient, Ledger: d.ledger, Directory: d.roster,
		Notifier: d.health, Log: d.log, Metrics: d.metrics, LogDecisions: d.logsDecisions,
	}
	d.handleRequestMessages()
	d.provisionAccounts()
	return nil
}

// handleRequestMessages registers the handlers of messages about requests and services.
func (d *Daemon) handleRequestMessages() {
	d.node.Handle(proxy.ForwardKind, d.handleForward)
	d.node.Handle(proxy.ForwardStopKind, func(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
		return nil, d.proxy.HandleForwardStop(body)
	})
	d.node.HandleMessage(kindSummary, func(_ context.Context, from peer.Identity, body []byte) {
		d.health.Receive(body, from.Owns)
	})
	d.node.Handle(kindSummary, func(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
		d.health.Receive(body, from.Owns)
		return nil, nil
	})
	d.node.Handle(kindStatus, d.handleStatus)
}

// provisionAccounts creates the checks of accounts in the request path. They have no effect
// while the configuration in force has no accounts.
func (d *Daemon) provisionAccounts() {
	a := d.settings.Accounts
	if d.adapter.ConfigurationKey != "" {
		d.freshness = newFreshness(freshnessConfig{
			Source: d.syncer, Stats: d.syncer.Stats, Needed: d.board.NeedsKeys,
			FailClosed: a.FailClosed, Bound: a.Revocation, Registerer: d.metrics.Registry, Log: d.log,
		})
		d.proxy.Freshness = d.freshness
	}
	d.provisionAllowances(allowance.Limits{Window: a.Quota.Window, Overshoot: a.Quota.Overshoot, Extra: a.Quota.Extra}, boardAccounts{d.board})
	d.proxy.Allowances = d.allowances
}

func (d *Daemon) provisionServers() error {
	ln, err := net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	addressHandler := d.resolveAddresses
	if d.settings.Listen.Addresses != "" {
		addressHandler = nil
	}
	d.callerServer = proxy.NewServer(ln, func() settings.Callers { return d.reloadable.Load().Callers }, d.proxy, addressHandler)
	if err := d.provisionInfoServers(); err != nil {
		return err
	}
	for _, s := range d.infoServers {
		s.ConnectionParts = infoConnectionParts
	}
	for _, s := range append([]*ingress.Server{d.callerServer.Server}, d.infoServers...) {
		s.ShareMemory(d.memory)
		s.LimitsMemory = d.settings.Capacity.MemoryMB > 0
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
	d.admin.Provision(ln, d.memory)
	return nil
}
