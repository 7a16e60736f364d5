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

	"shallotglade/internal/sleep"
	"shallotglade/pkg/platform"
)

// Defaults of Config and other constants of the protocol.
const (
	// DefaultDigestInterval is the time between two digest comparisons.
	DefaultDigestInterval = time.Second
	// DefaultCallTimeout limits one call to a peer. It is far above the round
	// trip between domains and leaves time for a second peer within 5 s.
	DefaultCallTimeout = 800 * time.Millisecond
	// bootInterval is the time between comparisons until the daemon is ready.
	bootInterval = 100 * time.Millisecond
	// poolSize bounds the pushes in progress. What exceeds it is dropped and
	// reaches its target through digest comparison.
	poolSize = 512
)

// Peer is a daemon as confsync sees it.
type Peer struct {
	// Address is what Transport takes; it identifies the peer.
	Address string
	// Domain is its failure domain.
	Domain string
}

// Transport sends one message to a peer and returns its reply. An error does
// not mean that the peer did not receive the message.
type Transport interface {
	Call(ctx context.Context, peer string, kind string, body []byte) ([]byte, error)
}

// Config is what a Syncer needs.
type Config struct {
	Self Peer
	// Prefixes are the prefixes of the keys to distribute.
	Prefixes []string
	Replica  *Replica
	Store    platform.Store
	// Transport reaches the other daemons.
	Transport Transport
	// Peers returns the daemons that are believed to be alive; Self may be
	// among them.
	Peers func() []Peer
	// Near returns peers to which connections are open anyway. Most comparisons
	// go to them, since a new connection costs a handshake on both sides; nil
	// means none.
	Near func() []Peer
	// Thrifty saves calls to the platform and bytes between domains at the cost
	// of some hundred milliseconds: changes are offered to other domains before
	// they are sent, and relays collect changes for a moment.
	Thrifty bool
	// Roster is the prefix of the objects that name the daemons, for a daemon
	// that knows nobody at its start. It lists them, after RosterDelay, in which
	// daemons that start with it can enter themselves. Empty means that Peers and
	// Relays know the daemons without it.
	Roster      string
	RosterDelay time.Duration
	// OnRoster is called when the list of daemons was read, before this daemon
	// takes a role.
	OnRoster func()
	// Reach makes the cheapest call to the platform; nil means that a relay that
	// cannot reach the platform keeps its role. Detached is told when this daemon
	// cannot reach the platform any more, and when it can again.
	Reach    func(ctx context.Context) error
	Detached func(bool)
	// Alone is up to how many other daemons a starting daemon lists everything at
	// the platform itself instead of waiting for peers. 0 means never; otherwise
	// Prefixes must hold Roster.
	Alone int
	// Cross says whether this daemon compares with other domains; nil means that
	// it does.
	Cross func() bool
	// BootPeers and BootDomains are how many ready peers, from how many domains,
	// a starting daemon compares with; 0 means the defaults.
	BootPeers, BootDomains int
	// Relays returns the relays of a domain, the preferred first.
	Relays func(domain string) []Peer
	// Rand chooses peers and jitter; the Syncer guards it by a lock.
	Rand *rand.Rand
	Log  zerolog.Logger
	// DigestInterval is the time between comparisons; 0 means the default.
	DigestInterval time.Duration
	// CallTimeout limits one call to a peer; 0 means the default.
	CallTimeout time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Spawn runs a task in the background or drops it and returns false; nil
	// means a pool of the Syncer's own.
	Spawn func(task func()) bool
}

// Stats are totals since the Syncer was made.
type Stats struct {
	// PushErrors are pushes that got no reply, DigestErrors comparisons.
	PushErrors, DigestErrors uint64
	// Dropped are pushes that were not tried because the pool was full.
	Dropped uint64
	// PlatformErrors are failed lists and watches.
	PlatformErrors uint64
}

// Syncer keeps a Replica up to date. It is safe for concurrent use.
type Syncer struct {
	config Config
	pool   *ants.Pool
	// tasks are the pushes in the pool. The pool's own way of waiting for them
	// spins, and on one processor never lets them end.
	tasks sync.WaitGroup
	// background ends when the Syncer is closed; pushes run under it.
	background context.Context
	stop       context.CancelFunc

	randMu sync.Mutex
	boot   *bootState
	link   *link
	// settled means that this daemon has been a relay for settleTime.
	settled atomic.Bool
	// contact is whether comparisons with other daemons succeed.
	contact contact

	pushErrors, digestErrors, dropped, platformErrors atomic.Uint64
}

func (c *Config) check() error {
	if c.Replica == nil || c.Store == nil || c.Transport == nil || c.Peers == nil || c.Relays == nil || c.Rand == nil {
		return errors.New("confsync: incomplete configuration")
	}
	if c.Alone > 0 && !slices.Contains(c.Prefixes, c.Roster) {
		return errors.New("confsync: the list of daemons is not among the prefixes")
	}
	return nil
}

// New returns a Syncer that answers messages; Run makes it active.
func New(c Config) (*Syncer, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.DigestInterval <= 0 {
		c.DigestInterval = DefaultDigestInterval
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Cross == nil {
		c.Cross = func() bool { return true }
	}
	if c.BootPeers <= 0 {
		c.BootPeers = bootPeers
	}
	if c.BootDomains <= 0 {
		c.BootDomains = bootDomains
	}
	s := &Syncer{config: c}
	if c.Spawn == nil {
		pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
		if err != nil {
			return nil, errors.Wrap(err, "confsync: pool")
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
	s.background, s.stop = context.WithCancel(context.Background())
	s.boot = newBootState(c.Now(), c.Prefixes, c.Roster == "")
	s.link = newLink()
	s.contact.answered = c.Now()
	return s, nil
}

// Run keeps the replica up to date until ctx ends, and then closes the Syncer.
func (s *Syncer) Run(ctx context.Context) {
	defer s.Close()
	var loops sync.WaitGroup
	loops.Go(func() { s.runDigests(ctx) })
	if s.config.Roster != "" {
		loops.Go(func() { s.readRoster(ctx) })
	}
	loops.Go(func() { s.runRelay(ctx) })
	loops.Wait()
}

// Close ends pushes in progress and waits for them, at most the call timeout.
func (s *Syncer) Close() {
	s.stop()
	if s.pool == nil {
		return
	}
	s.pool.Release()
	ended := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(ended)
	}()
	timer := time.NewTimer(s.config.CallTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		s.config.Log.Debug().Msg("confsync: pushes still in progress at the end")
	}
}

// Stats returns the totals so far.
func (s *Syncer) Stats() Stats {
	return Stats{
		PushErrors: s.pushErrors.Load(), DigestErrors: s.digestErrors.Load(),
		Dropped: s.dropped.Load(), PlatformErrors: s.platformErrors.Load(),
	}
}

// Handle answers a message from a peer. Errors mean that the message is not
// valid; valid parts may have been applied. The body is not retained.
func (s *Syncer) Handle(_ context.Context, kind string, body []byte) ([]byte, error) {
	switch kind {
	case KindObjects:
		return nil, s.handleObjects(body)
	case KindDigest:
		return s.handleDigest(body)
	case KindVersions:
		return s.handleVersions(body)
	case KindOffer:
		return s.handleOffer(body)
	case KindCompare:
		return nil, s.handleCompare(body)
	default:
		return nil, errors.Wrapf(errMessage, "kind %.32q", kind)
	}
}

// runDigests compares digests with a random peer at each interval.
func (s *Syncer) runDigests(ctx context.Context) {
	for {
		interval := s.config.DigestInterval
		if s.starting() {
			interval = min(interval, bootInterval)
		}
		// Jitter keeps daemons that started together from calling in step.
		if !sleep.For(ctx, s.jitter(interval)) {
			return
		}
		s.Tick(ctx)
	}
}

// jitter returns a duration between 0.8 and 1.2 of d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*s.float()))
}

func (s *Syncer) float() float64 {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.config.Rand.Float64()
}

func (s *Syncer) shuffle(peers []Peer) {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	s.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// others returns the peers inside and outside the own domain, without self.
func (s *Syncer) others() (own, other []Peer) {
	for _, p := range s.config.Peers() {
		switch {
		case p.Address == s.config.Self.Address:
		case p.Domain == s.config.Self.Domain:
			own = append(own, p)
		default:
			other = append(other, p)
		}
	}
	return own, other
}

// call sends one message to a peer within the call timeout.
func (s *Syncer) call(ctx context.Context, peer, kind string, message any) ([]byte, error) {
	return s.callWithin(ctx, s.config.CallTimeout, peer, kind, message)
}

func (s *Syncer) callWithin(ctx context.Context, timeout time.Duration, peer, kind string, message any) ([]byte, error) {
	body, err := encode(message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.config.Transport.Call(ctx, peer, kind, body)
}
