package health

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/detector"
	"shallotglade/pkg/panics"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/telemetry"
	"shallotglade/pkg/upstream"
)

const (
	// roundInterval is the time between two rounds of assessment and reporting.
	roundInterval = 250 * time.Millisecond
	// proposeRounds is the number of rounds between two proposals when no
	// condition changes. Trials and ramps advance with time alone.
	proposeRounds = 4
	// otherServiceRounds is the number of rounds between two refreshes of a
	// service for which this daemon is not a home.
	otherServiceRounds = 20
	// poolSize limits the concurrent probes, reports and platform writes.
	poolSize = 256
	// writeTimeout limits one write of an ejection record.
	writeTimeout = 2 * time.Second
)

// Peer is another home of a service.
type Peer struct {
	ID      string
	Address string
}

// Controller assesses and probes the upstreams of one daemon's services. All
// exported fields are required.
type Controller struct {
	Board *blackboard.Board
	Store platform.Store
	// Homes returns the live homes of a service other than this daemon.
	Homes func(service string) []Peer
	// Send sends a report without acknowledgement; it may be lost.
	Send func(ctx context.Context, to Peer, body []byte) error
	// SendAndAwaitAck sends a report and waits until the other home acknowledges
	// it.
	SendAndAwaitAck func(ctx context.Context, to Peer, body []byte) error
	// Publish distributes a new version of an object within the daemon.
	Publish func(platform.Object)
	Sender  upstream.Sender
	Log     zerolog.Logger
	Metrics *telemetry.Metrics

	pool           *ants.Pool
	assessments    chan *blackboard.Service
	pendingReports chan *blackboard.Service
	mu             sync.Mutex
	writesInFlight map[string]bool
	// lastProbe maps a service and an upstream to the time of the last probe.
	lastProbe map[string]map[string]time.Time
	// reportScheduled holds the services with a report scheduled, lastReport
	// the time of the last report of each service.
	reportScheduled map[string]bool
	lastReport      map[string]time.Time
}

// minReportInterval is the minimum time between two reports triggered by the
// start or end of attempts, among few homes; changes in between are sent together. It is shorter
// than requests usually take, so that the other homes know the recent numbers of
// requests in flight.
const minReportInterval = 80 * time.Millisecond

// unscaledReportHomes is the number of other homes up to which minReportInterval applies.
// With more, it grows in proportion, so that the reports that a home sends and receives in
// a second do not grow with their number.
const unscaledReportHomes = 6

// reportInterval returns the minimum time between two reports of a service.
func (c *Controller) reportInterval(s *blackboard.Service) time.Duration {
	return max(minReportInterval, minReportInterval*time.Duration(len(c.Homes(s.Name)))/unscaledReportHomes)
}

// LoadChanged implements proxy.Notifier. It schedules a report, which is sent
// immediately if the last one is older than reportInterval.
func (c *Controller) LoadChanged(s *blackboard.Service) {
	if !s.IsHome() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reportScheduled[s.Name] {
		return
	}
	c.reportScheduled[s.Name] = true
	wait := max(c.reportInterval(s)-time.Since(c.lastReport[s.Name]), 0)
	time.AfterFunc(wait, func() {
		select {
		case c.pendingReports <- s:
		default:
			// The next round sends the report.
			c.markReported(s.Name)
		}
	})
}

// markReported records that a report of the service was sent or left to the next round.
func (c *Controller) markReported(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reportScheduled, service)
	c.lastReport[service] = time.Now()
}

// maxReportInterval is the maximum time between two reports while requests are
// in flight. Older reports count less at the other homes.
const maxReportInterval = 400 * time.Millisecond

// needsReport reports whether a report of the service is due in this round.
func (c *Controller) needsReport(s *blackboard.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Ejects() || time.Since(c.lastReport[s.Name]) > max(maxReportInterval, c.reportInterval(s)) && s.Busy()
}

// Provision allocates the resources of the controller; Cleanup releases them.
func (c *Controller) Provision() error {
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true), ants.WithPanicHandler(panics.Handler(panics.Upstreams)))
	if err != nil {
		return err
	}
	c.pool = pool
	c.assessments = make(chan *blackboard.Service, poolSize)
	c.pendingReports = make(chan *blackboard.Service, poolSize)
	c.writesInFlight = map[string]bool{}
	c.lastProbe = map[string]map[string]time.Time{}
	c.reportScheduled, c.lastReport = map[string]bool{}, map[string]time.Time{}
	return nil
}

// Cleanup releases the pool of background tasks.
func (c *Controller) Cleanup() { c.pool.Release() }

// Assess implements proxy.Notifier. If the channel is full, the request is dropped:
// the next round assesses every service.
func (c *Controller) Assess(s *blackboard.Service) {
	select {
	case c.assessments <- s:
	default:
	}
}

// ShareReport implements proxy.Notifier. If the channel is full, the request is dropped
// and a later round sends the report.
func (c *Controller) ShareReport(s *blackboard.Service) {
	select {
	case c.pendingReports <- s:
	default:
	}
}

// ackTimeout limits how long a response waits for acknowledgements of the other
// homes. Only the response to a request lost in a crash waits, and it waits longer
// than a round trip only if a home does not answer. With 100 ms, a loaded home
// acknowledged too late, and a crashing request took down a third upstream.
const ackTimeout = 500 * time.Millisecond

// ShareReportNow implements proxy.Notifier. It waits until the other homes have
// acknowledged the report or ackTimeout has passed.
func (c *Controller) ShareReportNow(ctx context.Context, s *blackboard.Service) {
	if body, ok := c.encodeReport(s); ok {
		c.sendAndWait(ctx, s, body)
	}
}

// HandOver sends the retry counts of this daemon to the homes of a service once it
// is no longer a home itself. If they are lost, the new homes get their retry
// allowance later.
func (c *Controller) HandOver(s *blackboard.Service) {
	c.background(func() {
		r, any := s.HandOver(time.Now())
		if !any {
			return
		}
		if body, ok := c.encode(s, r); ok {
			c.Log.Info().Str("service", s.Name).Int("parts", len(r.RetryHandOver.Buckets)).Float64("allowance", r.RetryHandOver.Allowance).
				Msg("retry: budget counts sent to the new homes")
			c.sendAndWait(context.Background(), s, body)
		}
	})
}

// sendAndWait sends a report to the other homes and waits for their
// acknowledgements.
func (c *Controller) sendAndWait(ctx context.Context, s *blackboard.Service, body []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ackTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range c.Homes(s.Name) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := c.SendAndAwaitAck(ctx, h, body); err != nil {
				c.Log.Debug().Str("service", s.Name).Str("home", h.ID).Err(err).Msg("health: report not acknowledged")
			}
		}()
	}
	wg.Wait()
}

// Probe implements proxy.Notifier. It probes an upstream immediately if its last
// probe was at least a second ago.
func (c *Controller) Probe(s *blackboard.Service, u blackboard.Upstream) {
	if s.Document().Upstreams.HealthPath == "" || s.Paused(time.Now(), u.ID) || !c.probeDue(s.Name, u.ID, time.Now(), time.Second) {
		return
	}
	c.background(func() { c.probeUpstream(context.Background(), s, u) })
}

// Run runs the control loop until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case s := <-c.assessments:
			c.refresh(ctx, s, true)
			c.sendReport(ctx, s)
		case s := <-c.pendingReports:
			c.sendReport(ctx, s)
		case <-tick.C:
			round++
			c.runRound(ctx, round)
		}
	}
}

// runRound assesses and reports the services for which this daemon is a home. It
// refreshes the other services every otherServiceRounds rounds.
func (c *Controller) runRound(ctx context.Context, round int) {
	for _, s := range c.Board.Services() {
		if s.IsHome() {
			c.refresh(ctx, s, round%proposeRounds == 0)
			if c.needsReport(s) {
				c.sendReport(ctx, s)
			}
			c.startProbes(ctx, s)
			c.redial(ctx, s)
		} else if round%otherServiceRounds == 0 {
			s.Refresh(time.Now())
			c.logLikelyFailing(s)
			c.Metrics.UnusedUpstreams.DeleteLabelValues(s.Name)
			c.Metrics.UnservedShare.DeleteLabelValues(s.Name)
		}
	}
}

// refresh assesses the upstreams of a service. It proposes ejections if a
// condition changed or propose is true.
func (c *Controller) refresh(ctx context.Context, s *blackboard.Service, propose bool) {
	now := time.Now()
	changed := s.Refresh(now)
	c.logLikelyFailing(s)
	usage := s.Usage(now)
	c.Metrics.UnusedUpstreams.WithLabelValues(s.Name).Set(float64(usage.Unused))
	c.Metrics.UnservedShare.WithLabelValues(s.Name).Set(usage.UnservedShare)
	for _, a := range changed {
		c.logCondition(s.Name, a)
	}
	if len(changed) > 0 {
		c.countStandings(s)
		c.sendReport(ctx, s)
	}
	if propose || len(changed) > 0 {
		c.propose(ctx, s)
	}
}

func (c *Controller) logLikelyFailing(s *blackboard.Service) {
	for _, d := range s.PriorityChanges() {
		event := c.Log.Info().Str("service", s.Name).Str("upstream", d.Upstream).Float64("failing", d.FailureProbability).
			Str("outcome", d.Kind).Str("seen_by", d.Source)
		if !d.LastOutcomeAt.IsZero() {
			event.Int64("age_ms", time.Since(d.LastOutcomeAt).Milliseconds())
		}
		if d.Deprioritized {
			event.Msg("health: upstream is likely failing; used only if no better one has a free slot")
		} else {
			event.Msg("health: upstream back in normal use")
		}
	}
}

func (c *Controller) logCondition(service string, a detector.Assessment) {
	c.Metrics.StandingChanges.WithLabelValues(service, "condition-"+a.Condition.String()).Inc()
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

// sendReport sends this home's report to the other homes of the service.
func (c *Controller) sendReport(ctx context.Context, s *blackboard.Service) {
	c.markReported(s.Name)
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

// encodeReport returns this home's encoded report, or false if it has no content.
func (c *Controller) encodeReport(s *blackboard.Service) ([]byte, bool) {
	r, hasContent := s.Report(time.Now())
	if !hasContent {
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

// Receive merges the report of another home. owns reports whether the sender is
// allowed to report under a daemon id.
func (c *Controller) Receive(body []byte, owns func(id string) bool) {
	r, err := blackboard.DecodeReport(body)
	if err != nil || !owns(r.Home) {
		c.Log.Warn().Str("home", r.Home).Err(err).Msg("health: report refused")
		return
	}
	if s, ok := c.Board.Service(r.Service); ok {
		if !r.RetryHandOver.Empty() {
			c.Log.Info().Str("service", s.Name).Str("home", r.Home).Int("parts", len(r.RetryHandOver.Buckets)).Float64("allowance", r.RetryHandOver.Allowance).
				Msg("retry: budget counts received from a former home")
		}
		s.Merge(time.Now(), r.Home, r)
	}
}

// background runs a task in the pool. If the pool is full, the task is dropped; a
// later round repeats it.
func (c *Controller) background(task func()) {
	if err := c.pool.Submit(task); err != nil {
		c.Log.Debug().Err(err).Msg("health: task dropped")
	}
}
