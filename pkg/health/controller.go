package health

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/detector"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

const (
	// roundInterval is the time between two assessments and reports of a home.
	roundInterval = 250 * time.Millisecond
	// proposeRounds is how many rounds lie between two proposals without a
	// change of condition: trials and ramps advance by time.
	proposeRounds = 4
	// idleRounds is how many rounds lie between two refreshes of a service of
	// which this daemon is no home.
	idleRounds = 20
	// poolSize bounds probes, reports and platform writes under way.
	poolSize = 256
	// writeTimeout bounds one write of an ejection record.
	writeTimeout = 2 * time.Second
)

// Peer is another home of a service.
type Peer struct {
	ID      string
	Address string
}

// Controller is the health controller of one daemon. All fields are required.
type Controller struct {
	Board *blackboard.Board
	Store platform.Store
	// Homes returns the live homes of a service other than this daemon.
	Homes func(service string) []Peer
	// Send sends a report, which may be lost.
	Send func(ctx context.Context, to Peer, body []byte) error
	// Tell sends a report and returns once the other home has it.
	Tell func(ctx context.Context, to Peer, body []byte) error
	// Publish takes over a newer object for distribution.
	Publish func(platform.Object)
	Sender  upstream.Sender
	Log     zerolog.Logger
	Metrics *telemetry.Metrics

	pool     *ants.Pool
	assess   chan *blackboard.Service
	share    chan *blackboard.Service
	mu       sync.Mutex
	writing  map[string]bool
	lastSeen map[string]time.Time
	// due holds the services whose report is about to be sent, told when the
	// last report was sent.
	due  map[string]bool
	told map[string]time.Time
}

// reportDelay is how long a report of an attempt that began or ended waits for
// more of them. It is below the time that requests take, so that the numbers in
// flight at the other homes are those of a moment ago.
const reportDelay = 80 * time.Millisecond

// Changed implements the request path's notification. The first change after a
// pause is reported at once.
func (c *Controller) LoadChanged(s *blackboard.Service) {
	if !s.IsHome() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due[s.Name] {
		return
	}
	c.due[s.Name] = true
	wait := max(reportDelay-time.Since(c.told[s.Name]), 0)
	time.AfterFunc(wait, func() {
		select {
		case c.share <- s:
		default:
			// The next round reports every service.
			c.sent(s.Name)
		}
	})
}

// sent notes that the report of a service was sent, or left to the next round.
func (c *Controller) sent(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.due, service)
	c.told[service] = time.Now()
}

// quietInterval is the longest time between two reports while requests are in
// flight. It is below the time after which a report fades.
const quietInterval = 400 * time.Millisecond

// stale reports whether the other homes should hear of the service again.
func (c *Controller) stale(s *blackboard.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Ejects() || time.Since(c.told[s.Name]) > quietInterval && s.Busy()
}

// Provision prepares the controller; Cleanup releases it.
func (c *Controller) Provision() error {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	c.pool = pool
	c.assess = make(chan *blackboard.Service, poolSize)
	c.share = make(chan *blackboard.Service, poolSize)
	c.writing = map[string]bool{}
	c.lastSeen = map[string]time.Time{}
	c.due, c.told = map[string]bool{}, map[string]time.Time{}
	return nil
}

// Cleanup ends what is under way.
func (c *Controller) Cleanup() { c.pool.Release() }

// Assess implements the request path's notification. A full channel is no loss:
// the next round assesses every service.
func (c *Controller) Assess(s *blackboard.Service) {
	select {
	case c.assess <- s:
	default:
	}
}

// Share implements the request path's notification.
func (c *Controller) ShareReport(s *blackboard.Service) {
	select {
	case c.share <- s:
	default:
	}
}

// tellTimeout is how long a caller's answer waits for the other homes. Only the
// answer to a request lost in a crash waits, and longer than a round trip only
// while a home does not answer. At 100 ms a loaded home answered too late, and a
// crashing request took down a third upstream.
const tellTimeout = 500 * time.Millisecond

// ShareNow implements the request path's notification.
func (c *Controller) ShareReportNow(ctx context.Context, s *blackboard.Service) {
	if body, ok := c.encodeReport(s); ok {
		c.tell(ctx, s, body)
	}
}

// HandOver passes what this daemon counted to the homes, once it is no longer one of
// them. What is lost on the way delays the allowance of the new homes.
func (c *Controller) HandOver(s *blackboard.Service) {
	c.background(func() {
		r, any := s.HandOver(time.Now())
		if !any {
			return
		}
		if body, ok := c.encode(s, r); ok {
			c.Log.Info().Str("service", s.Name).Int("parts", len(r.RetryHandOver.Buckets)).Float64("allowance", r.RetryHandOver.Allowance).
				Msg("retry: counts handed over to the homes")
			c.tell(context.Background(), s, body)
		}
	})
}

// tell sends a report to the other homes and waits until they have it.
func (c *Controller) tell(ctx context.Context, s *blackboard.Service, body []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range c.Homes(s.Name) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := c.Tell(ctx, h, body); err != nil {
				c.Log.Debug().Str("service", s.Name).Str("home", h.ID).Err(err).Msg("health: report not acknowledged")
			}
		}()
	}
	wg.Wait()
}

// Probe implements the request path's notification. An upstream that is probed
// already is not probed again within a second.
func (c *Controller) Probe(s *blackboard.Service, u blackboard.Upstream) {
	if s.Document().Upstreams.HealthPath == "" || !c.probeDue(s.Name+"/"+u.ID, time.Now(), time.Second) {
		return
	}
	c.background(func() { c.probeOne(context.Background(), s, u) })
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case s := <-c.assess:
			c.refresh(ctx, s, true)
			c.report(ctx, s)
		case s := <-c.share:
			c.report(ctx, s)
		case <-tick.C:
			round++
			c.round(ctx, round)
		}
	}
}

// round assesses and reports the services of which this daemon is a home, and
// now and then refreshes the others.
func (c *Controller) round(ctx context.Context, round int) {
	for _, s := range c.Board.Services() {
		if s.IsHome() {
			c.refresh(ctx, s, round%proposeRounds == 0)
			if c.stale(s) {
				c.report(ctx, s)
			}
			c.probe(ctx, s)
			c.redial(ctx, s)
		} else if round%idleRounds == 0 {
			s.Refresh(time.Now())
			c.logDoubts(s)
		}
	}
}

// refresh assesses the upstreams of a service and proposes ejections if a
// condition changed or propose is set.
func (c *Controller) refresh(ctx context.Context, s *blackboard.Service, propose bool) {
	changed := s.Refresh(time.Now())
	c.logDoubts(s)
	for _, a := range changed {
		c.logCondition(s.Name, a)
	}
	if len(changed) > 0 {
		c.countStandings(s)
		c.report(ctx, s)
	}
	if propose || len(changed) > 0 {
		c.propose(ctx, s)
	}
}

func (c *Controller) logDoubts(s *blackboard.Service) {
	for _, d := range s.PriorityChanges() {
		line := c.Log.Info().Str("service", s.Name).Str("upstream", d.Upstream).Float64("failing", d.FailureProbability).
			Str("outcome", d.Kind).Str("seen_by", d.Source)
		if !d.LastOutcomeAt.IsZero() {
			line.Int64("age_ms", time.Since(d.LastOutcomeAt).Milliseconds())
		}
		if d.Deprioritized {
			line.Msg("health: upstream probably fails; used only when no better one is free")
		} else {
			line.Msg("health: upstream used like others again")
		}
	}
}

func (c *Controller) logCondition(service string, a detector.Assessment) {
	c.Metrics.Ejections.WithLabelValues(service, "condition-"+a.Condition.String()).Inc()
	c.Log.Info().Str("service", service).Str("upstream", a.Upstream).Stringer("condition", a.Condition).
		Str("reason", string(a.Reason)).Float64("score", a.Score).Int("support", a.SupportingHomes).
		Msg("health: condition changed")
}

func (c *Controller) countStandings(s *blackboard.Service) {
	counts := map[string]int{"normal": 0, "demoted": 0, "ejected": 0, "trial": 0, "ramp": 0, "leaving": 0}
	for _, u := range s.Status().Upstreams {
		counts[u.Standing]++
	}
	for standing, n := range counts {
		c.Metrics.Standings.WithLabelValues(s.Name, standing).Set(float64(n))
	}
}

// report sends this home's report to the service's other homes.
func (c *Controller) report(ctx context.Context, s *blackboard.Service) {
	c.sent(s.Name)
	homes := c.Homes(s.Name)
	if len(homes) == 0 {
		return
	}
	body, ok := c.encodeReport(s)
	if !ok {
		return
	}
	for _, h := range homes {
		c.background(func() {
			ctx, cancel := context.WithTimeout(ctx, roundInterval)
			defer cancel()
			if err := c.Send(ctx, h, body); err != nil {
				c.Log.Debug().Str("service", s.Name).Str("home", h.ID).Err(err).Msg("health: report not sent")
			}
		})
	}
}

// encodeReport returns this home's report, unless it says nothing.
func (c *Controller) encodeReport(s *blackboard.Service) ([]byte, bool) {
	r, said := s.Report(time.Now())
	if !said {
		return nil, false
	}
	return c.encode(s, r)
}

func (c *Controller) encode(s *blackboard.Service, r blackboard.Report) ([]byte, bool) {
	r.Home = c.Board.Self()
	body, err := blackboard.EncodeReport(r)
	if err != nil {
		c.Log.Error().Str("service", s.Name).Err(err).Msg("health: report cannot be encoded")
		return nil, false
	}
	return body, true
}

// Receive takes the report of another home. owns tells whether the sender may
// speak for a daemon id.
func (c *Controller) Receive(body []byte, owns func(id string) bool) {
	r, err := blackboard.DecodeReport(body)
	if err != nil || !owns(r.Home) {
		c.Log.Warn().Str("home", r.Home).Err(err).Msg("health: report refused")
		return
	}
	if s, ok := c.Board.Service(r.Service); ok {
		if !r.RetryHandOver.Empty() {
			c.Log.Info().Str("service", s.Name).Str("home", r.Home).Int("parts", len(r.RetryHandOver.Buckets)).Float64("allowance", r.RetryHandOver.Allowance).
				Msg("retry: counts taken over")
		}
		s.Merge(time.Now(), r.Home, r)
	}
}

// background runs a task in the pool. With a full pool the task is dropped: all
// of them are repeated in a later round.
func (c *Controller) background(task func()) {
	if err := c.pool.Submit(task); err != nil {
		c.Log.Debug().Err(err).Msg("health: task dropped")
	}
}
