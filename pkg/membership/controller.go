package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"shallotglade/pkg/panics"
	"shallotglade/pkg/peer"
	"shallotglade/pkg/platform"
)

// Kinds of the requests between controllers.
const (
	kindPing    = "ping"
	kindPingReq = "ping-req"
)

const (
	// ticksPerPeriod is the number of ticks per period. It limits the error of
	// the probe timeouts to a fifth of a period.
	ticksPerPeriod = 5
	// poolSize bounds the concurrent probes. Further probes are dropped, which
	// the view treats like lost messages.
	poolSize = 32
)

// Config configures a Controller.
type Config struct {
	// Self is this daemon; its ID must be covered by the node's certificate.
	Self platform.Member
	Node *peer.Node
	// Params defaults to DefaultParams if Period is 0.
	Params Params
	// Seed seeds the choice of probe targets.
	Seed   uint64
	Logger zerolog.Logger
}

// Controller drives a View over pkg/peer. It is safe for concurrent use.
type Controller struct {
	config Config
	pool   *ants.Pool
	ctx    context.Context
	stop   context.CancelFunc
	done   chan struct{}

	mu   sync.Mutex
	view *View
	rng  *rand.Rand
}

// Start registers the handlers at the node and starts probing.
func Start(config Config) (*Controller, error) {
	if config.Params.Period == 0 {
		config.Params = DefaultParams()
	}
	if !(peer.Identity{ID: config.Node.ID()}).Owns(config.Self.ID) {
		return nil, errors.Newf("membership: the certificate of %s does not cover host id %s", config.Node.ID(), config.Self.ID)
	}
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithPanicHandler(panics.Handler(panics.Peers)))
	if err != nil {
		return nil, errors.Wrap(err, "membership: create the probe pool")
	}
	c := &Controller{
		config: config, pool: pool, done: make(chan struct{}),
		view: NewView(config.Self, time.Now(), config.Params),
		rng:  rand.New(rand.NewPCG(config.Seed, KeyOf(config.Self.ID))),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	config.Node.Handle(kindPing, c.handle)
	config.Node.Handle(kindPingReq, c.handle)
	go c.run()
	return c, nil
}

// Close stops probing. Requests from other daemons are answered until the node
// is closed.
func (c *Controller) Close() {
	c.stop()
	<-c.done
	c.pool.Release()
}

// SetRoster applies the platform's membership list; see View.SetRoster.
func (c *Controller) SetRoster(members []platform.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetRoster(time.Now(), members)
}

// Hosts returns all known daemons except this one, and the version of the view.
func (c *Controller) Hosts() ([]HostState, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Hosts(), c.view.Version()
}

// Version grows with every change that Hosts shows, except when PathBad expires.
func (c *Controller) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Version()
}

// Observe records whether a request could reach a host; see View.Observe.
func (c *Controller) Observe(id string, reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Observe(time.Now(), id, reachable)
}

// Leave announces that this daemon is leaving.
func (c *Controller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Leave()
}

// SetDetached announces whether this daemon cannot reach the platform; see
// View.SetDetached.
func (c *Controller) SetDetached(detached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetDetached(detached)
}

// Partners returns the ids of the hosts to which connections are kept open.
func (c *Controller) Partners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Partners()
}

// SetPriorityHosts sets the hosts that are probed more often; see
// View.SetPriorityHosts.
func (c *Controller) SetPriorityHosts(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetPriorityHosts(ids)
}

// IsBridge reports whether this daemon may exchange periodic messages with other
// domains.
func (c *Controller) IsBridge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.IsBridge()
}

// Counters returns the totals of the view and whether it is isolated.
func (c *Controller) Counters() (counters Counters, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Counters(), c.view.Isolated()
}

func (c *Controller) run() {
	defer close(c.done)
	ticker := time.NewTicker(c.config.Params.Period / ticksPerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.mu.Lock()
			messages := c.view.Tick(time.Now(), c.rng)
			changes := c.view.Changes()
			c.mu.Unlock()
			for _, change := range changes {
				c.config.Logger.Info().Str("host", change.ID).Stringer("from", change.From).
					Stringer("to", change.To).Bool("own_probe", change.OwnProbe).Msg("membership: host changed state")
			}
			for _, m := range messages {
				// Submit fails if the pool is full; the probe is then dropped.
				_ = c.pool.Submit(func() { c.exchange(c.ctx, m) })
			}
		}
	}
}

// exchange sends a message, processes its answer and returns the messages to
// send in response. Failures show in the view as probes without an answer.
func (c *Controller) exchange(ctx context.Context, m Message) []Message {
	body, err := m.Encode()
	if err != nil {
		return nil
	}
	kind := kindPing
	if m.Kind == PingReq {
		kind = kindPingReq
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Params.ProbeTimeout)
	defer cancel()
	answer, err := c.config.Node.Call(ctx, m.To, kind, body)
	if err != nil || len(answer) == 0 {
		return nil
	}
	ack, err := Decode(answer)
	if err != nil || ack.Kind != Ack {
		return nil
	}
	return c.receive(ack)
}

func (c *Controller) receive(m Message) []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Receive(time.Now(), m)
}

// handle answers a ping, or pings the target of a ping-req and then answers.
func (c *Controller) handle(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	m, err := Decode(body)
	if err != nil {
		return nil, err
	}
	if !from.Owns(m.From) || m.Kind == Ack {
		return nil, errors.Wrapf(peer.ErrRefused, "message of %s from %s", m.From, from.ID)
	}
	out := c.receive(m)
	if m.Kind == PingReq && len(out) == 1 {
		out = c.exchange(ctx, out[0])
	}
	if len(out) != 1 || out[0].Kind != Ack {
		return nil, nil
	}
	return out[0].Encode()
}
