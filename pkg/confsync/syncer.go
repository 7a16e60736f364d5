package confsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"shallotglade/internal/boottime"
	"shallotglade/internal/sleep"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform"
)

// Defaults of Config and protocol constants.
const (
	// DefaultDigestInterval is the time between two digest comparisons.
	DefaultDigestInterval = time.Second
	// DefaultCallTimeout limits one call to a peer. It is far above the round-trip
	// time between domains and leaves time to try a second peer within 5 s.
	DefaultCallTimeout = 800 * time.Millisecond
	// bootInterval is the time between comparisons until the daemon is ready.
	bootInterval = 100 * time.Millisecond
	// poolSize limits the concurrent pushes. Further pushes are dropped, and
	// their objects reach the target by digest comparison.
	poolSize = 512
)

// Peer identifies a daemon.
type Peer struct {
	// Address is the address passed to Transport. It is unique.
	Address string
	// Domain is the daemon's failure domain.
	Domain string
}

// Transport sends one message to a peer and returns its reply. An error does
// not mean that the peer did not receive the message.
type Transport interface {
	Call(ctx context.Context, peer string, kind string, body []byte) ([]byte, error)
}

// Config configures a Syncer.
type Config struct {
	Self Peer
	// Prefixes are the key prefixes to replicate.
	Prefixes []string
	Replica  *Replica
	Store    platform.Store
	// Transport sends messages to the other daemons.
	Transport Transport
	// Peers returns the daemons believed to be alive, possibly including Self.
	Peers func() []Peer
	// ConnectedPeers returns the peers to which connections are already open. Most
	// comparisons use them, since a new connection costs a handshake on both sides.
	// nil means none.
	ConnectedPeers func() []Peer
	// ReduceTraffic reduces platform calls and traffic between domains, at the cost
	// of a few hundred milliseconds: changes are offered to other domains before they
	// are sent, and relays coalesce successive changes.
	ReduceTraffic bool
	// RosterPrefix is the prefix of the objects that name the daemons, for a daemon
	// that knows no peers at startup. The daemon lists them after RosterDelay,
	// during which daemons that start at the same time can register. Empty means
	// that Peers and Relays already know the daemons.
	RosterPrefix string
	RosterDelay  time.Duration
	// OnRosterLoaded is called once the list of daemons has been read, before this
	// daemon can become a relay.
	OnRosterLoaded func()
	// ProbePlatform makes a minimal call to the platform. If it is nil, a relay that
	// cannot reach the platform keeps its role. OnDetached is called with true when
	// this daemon can no longer reach the platform, and with false when it can again.
	ProbePlatform func(ctx context.Context) error
	OnDetached    func(bool)
	// DirectList returns how a starting daemon in a fleet of the given number of
	// registered daemons gets the objects. nil means FromPeers; otherwise Prefixes must
	// contain RosterPrefix.
	DirectList func(daemons int) DirectList
	// CompareOtherDomains reports whether this daemon compares digests with other
	// domains. nil means always.
	CompareOtherDomains func() bool
	// BootPeers and BootDomains are the numbers of ready peers, and of their
	// domains, that a starting daemon compares with. 0 means the default.
	BootPeers, BootDomains int
	// Relays returns the relays of a domain in order of preference.
	Relays func(domain string) []Peer
	// Standbys returns the daemons of this daemon's domain that replace its relays. nil means
	// none.
	Standbys func() []Peer
	// IsStandby reports whether this daemon replaces the relays of its domain while none
	// of them answers. nil means never.
	IsStandby func() bool
	// ConfigurationKey is the key of the configuration, of which the daemon knows how old
	// its knowledge is; see ConfirmedAge. Empty means that no ages are tracked.
	ConfigurationKey string
	// NeedsConfirmation reports whether ages are needed. While it returns false, no reads
	// are made and no ages are sent. nil means never.
	NeedsConfirmation func() bool
	// HeldVersion returns the version of the configuration in force. nil means that of the
	// copy in Replica.
	HeldVersion func() uint64
	// BootTime returns the time since the host was booted, including suspensions; nil
	// means boottime.Now.
	BootTime func() time.Duration
	// Rand chooses peers and jitter. The Syncer guards it with a mutex.
	Rand *rand.Rand
	Log  zerolog.Logger
	// DigestInterval is the time between comparisons; 0 means the default.
	DigestInterval time.Duration
	// CallTimeout limits one call to a peer; 0 means the default.
	CallTimeout time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Spawn runs a task in the background, or drops it and returns false; nil
	// means an internal worker pool.
	Spawn func(task func()) bool
}

// DirectList is how a starting daemon gets the objects of the platform.
type DirectList uint8

const (
	// FromPeers copies them from other daemons.
	FromPeers DirectList = iota
	// ListCurrent lists them from the platform.
	ListCurrent
	// ListStaleEntries is the same, but the upstreams' entries, which are most of the
	// objects, come from cheaper lists that may be seconds old. Relays list them current
	// and compare them with all daemons of their domains.
	ListStaleEntries
	// ListStale is the same with cheaper lists that may be seconds old. Later changes
	// arrive from the relays and by comparisons.
	ListStale
)

// Stats holds totals since the Syncer was created.
type Stats struct {
	// PushErrors counts failed pushes, DigestErrors failed comparisons.
	PushErrors, DigestErrors uint64
	// Dropped counts pushes that were not attempted because the pool was full.
	Dropped uint64
	// PlatformErrors counts failed lists, watches and reads of the configuration.
	PlatformErrors uint64
	// ConfirmedByStore, ConfirmedByList, ConfirmedByRelay and ConfirmedByComparison count
	// confirmations of the configuration by where they came from.
	ConfirmedByStore, ConfirmedByList, ConfirmedByRelay, ConfirmedByComparison uint64
}

// Syncer keeps a Replica up to date. It is safe for concurrent use.
type Syncer struct {
	config Config
	pool   *ants.Pool
	// tasks counts the tasks in the pool. The pool's own wait spins, and on a
	// single processor it never lets them end.
	tasks sync.WaitGroup
	// backgroundCtx is the context of pushes. It ends when the Syncer is closed.
	backgroundCtx context.Context
	cancel        context.CancelFunc

	randMu       sync.Mutex
	boot         *bootState
	platformLink *platformLink
	standby      *standby
	// established is true once this daemon has been a relay for relayEstablishTime.
	established atomic.Bool
	plainPeers  plainPeers
	// contact tracks whether comparisons with other daemons succeed.
	contact contact
	// relayContact tracks the age of the copy.
	relayContact relayContact
	// confirmations tracks the age of the configuration.
	confirmations confirmations

	pushErrors, digestErrors, droppedPushes, platformErrors atomic.Uint64
}

func (c *Config) validate() error {
	if c.Replica == nil || c.Store == nil || c.Transport == nil || c.Peers == nil || c.Relays == nil || c.Rand == nil {
		return errors.New("confsync: a required field of Config is not set")
	}
	if c.DirectList != nil && !slices.Contains(c.Prefixes, c.RosterPrefix) {
		return errors.New("confsync: Prefixes does not contain RosterPrefix")
	}
	return nil
}

// setDefaults replaces unset fields by their defaults.
func (c *Config) setDefaults() {
	if c.DigestInterval <= 0 {
		c.DigestInterval = DefaultDigestInterval
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.CompareOtherDomains == nil {
		c.CompareOtherDomains = func() bool { return true }
	}
	if c.NeedsConfirmation == nil {
		c.NeedsConfirmation = func() bool { return false }
	}
	if c.BootTime == nil {
		c.BootTime = boottime.Now
	}
	if c.BootPeers <= 0 {
		c.BootPeers = bootPeers
	}
	if c.BootDomains <= 0 {
		c.BootDomains = bootDomains
	}
}

// New returns a Syncer that answers messages. Run starts the synchronization.
func New(c Config) (*Syncer, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	c.setDefaults()
	s := &Syncer{config: c}
	if c.Spawn == nil {
		pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithPanicHandler(panics.Handler(panics.Peers)))
		if err != nil {
			return nil, errors.Wrap(err, "confsync: create worker pool")
		}
		s.pool = pool
		s.config.Spawn = func(task func()) bool {
			s.tasks.Add(1)
			err := pool.Submit(func() {
				defer s.tasks.Done()
				task()
			})
			if err != nil {
				s.tasks.Done()
			}
			return err == nil
		}
	}
	s.backgroundCtx, s.cancel = context.WithCancel(context.Background())
	s.boot = newBootState(c.Now(), c.Prefixes, c.RosterPrefix == "")
	s.platformLink, s.standby = newPlatformLink(), newStandby()
	s.contact.lastAnswer = c.Now()
	s.relayContact.confirm(c.BootTime())
	s.relayContact.spread = s.randFloat()
	s.confirmations.changedC = make(chan struct{})
	return s, nil
}

// Run keeps the replica up to date until ctx ends, and then closes the Syncer.
func (s *Syncer) Run(ctx context.Context) {
	defer s.Close()
	var loops sync.WaitGroup
	loops.Go(func() { s.runDigests(ctx) })
	if s.config.RosterPrefix != "" {
		loops.Go(func() { s.loadRoster(ctx) })
	}
	loops.Go(func() { s.runRelay(ctx) })
	loops.Go(func() { s.runStandby(ctx) })
	loops.Wait()
}

// Close cancels the pushes in progress and waits for them, up to the call timeout.
func (s *Syncer) Close() {
	s.cancel()
	if s.pool == nil {
		return
	}
	s.pool.Release()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	timer := time.NewTimer(s.config.CallTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.config.Log.Debug().Msg("confsync: pushes still in progress after the close timeout")
	}
}

// Stats returns the totals so far.
func (s *Syncer) Stats() Stats {
	return Stats{
		PushErrors: s.pushErrors.Load(), DigestErrors: s.digestErrors.Load(),
		Dropped: s.droppedPushes.Load(), PlatformErrors: s.platformErrors.Load(),
		ConfirmedByStore: s.confirmations.counts[confirmedByStore].Load(), ConfirmedByList: s.confirmations.counts[confirmedByList].Load(),
		ConfirmedByRelay: s.confirmations.counts[confirmedByRelay].Load(), ConfirmedByComparison: s.confirmations.counts[confirmedByComparison].Load(),
	}
}

// Handle answers a message from a peer. An error means that the message is
// invalid; valid parts may have been applied. The body is not retained.
func (s *Syncer) Handle(ctx context.Context, kind string, body []byte) ([]byte, error) {
	return s.HandleFrom(ctx, "", kind, body)
}

// HandleFrom is Handle for a message of the peer with the given address.
func (s *Syncer) HandleFrom(_ context.Context, from, kind string, body []byte) ([]byte, error) {
	switch kind {
	case KindObjects:
		return nil, s.handleObjects(from, body)
	case KindDigest:
		return s.handleDigest(body)
	case KindVersions:
		return s.handleVersions(body)
	case KindOffer:
		return s.handleOffer(body)
	case KindCompare:
		return nil, s.handleCompare(body)
	case KindConfirm:
		return s.handleConfirm(body)
	default:
		return nil, errors.Wrapf(errInvalidMessage, "kind %.32q", kind)
	}
}

// runDigests compares digests with a random peer at each interval.
func (s *Syncer) runDigests(ctx context.Context) {
	for {
		interval := s.config.DigestInterval
		if s.booting() {
			interval = min(interval, bootInterval)
		}
		// Jitter keeps daemons that started together from staying synchronized.
		if !sleep.For(ctx, s.jitter(interval)) {
			return
		}
		s.Tick(ctx)
	}
}

// jitter returns a random duration between 0.8 and 1.2 times d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*s.randFloat()))
}

func (s *Syncer) randFloat() float64 {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.config.Rand.Float64()
}

func (s *Syncer) shuffle(peers []Peer) {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	s.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// otherPeers returns the peers inside and outside this daemon's domain, without
// the daemon itself.
func (s *Syncer) otherPeers() (sameDomain, otherDomains []Peer) {
	for _, p := range s.config.Peers() {
		switch {
		case p.Address == s.config.Self.Address:
		case p.Domain == s.config.Self.Domain:
			sameDomain = append(sameDomain, p)
		default:
			otherDomains = append(otherDomains, p)
		}
	}
	return sameDomain, otherDomains
}

// call sends one message to a peer, limited by the call timeout.
func (s *Syncer) call(ctx context.Context, peer, kind string, message any) ([]byte, error) {
	return s.callWithTimeout(ctx, s.config.CallTimeout, peer, kind, message)
}

func (s *Syncer) callWithTimeout(ctx context.Context, timeout time.Duration, peer, kind string, message any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	extended, isExtended := message.(extendedMessage)
	if isExtended && s.plainPeers.contains(peer, s.config.Now()) {
		message, isExtended = extended.plain(), false
	}
	body, err := encode(message)
	if err != nil {
		return nil, err
	}
	reply, err := s.config.Transport.Call(ctx, peer, kind, body)
	if !isExtended || !refusedAsInvalid(err) {
		return reply, err
	}
	// The peer may run an earlier build.
	s.plainPeers.add(peer, s.config.Now())
	if body, err = encode(extended.plain()); err != nil {
		return nil, err
	}
	return s.config.Transport.Call(ctx, peer, kind, body)
}
