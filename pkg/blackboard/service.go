package blackboard

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/detector"
	"shallotglade/pkg/document"
	"shallotglade/pkg/ejection"
	"shallotglade/pkg/limits"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/reliability"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/routing"
)

// Service holds this daemon's state of one service. It is safe for concurrent use.
type Service struct {
	Name string
	// Gate admits requests; it has its own lock.
	Gate *limits.Gate

	self   string
	domain string

	mu            sync.Mutex
	homesGroup    string
	document      *document.Service
	version       uint64
	unknownFields []string
	homes         []routing.Home
	// deprioritized holds the upstreams whose latest failure probability is above
	// routing.LikelyFailingThreshold, priorityChanges the changes that were not
	// logged yet.
	deprioritized   map[string]bool
	priorityChanges []PriorityChange
	outcomeSources  map[string]outcomeSource
	// snapshotPending is true if a home was added and no snapshot was sent since.
	snapshotPending bool
	// upstreams is sorted by id. listed is true once the list was set.
	upstreams []Upstream
	listed    bool
	// slotsByDomain maps failure domains to the slots of the upstreams there that are not
	// leaving; nil means that it must be computed.
	slotsByDomain map[string]int
	// stale is true if the list has changed since the last refresh, see
	// refreshOrDeferLocked. lastUse is when a request last used the service.
	stale   bool
	lastUse time.Time
	// announcedLeaving maps the upstreams that announced to a daemon that they are
	// leaving to the incarnations that did. An entry outlives the upstream's place in
	// the list, which is lost and found again when the platform was unavailable.
	announcedLeaving map[string]uint64

	reliability *reliability.Estimator
	// unreportedOutcomes are sent with the next report to the other homes.
	unreportedOutcomes []OutcomeReport
	detector           *detector.Group
	assessments        []detector.Assessment
	record             ejection.Record
	recordVersion      uint64
	exclusion          ejection.Exclusion
	demotions          map[string]ejection.Demotion

	// candidates are the upstreams that may be used, candidateIndex their positions by
	// id, and choices the index over them for choosing one.
	candidates     []routing.Candidate
	candidateIndex map[string]int
	choices        routing.Index
	// quotas is the result of routing.Quotas for quotaHomes and quotaInputs. It is kept
	// because most refreshes change neither.
	quotas      []int
	quotaHomes  []routing.Home
	quotaInputs []quotaInput
	// loadRefreshedAt is when the load of other homes was last applied, loadPending is true
	// if a later report was not applied yet.
	loadRefreshedAt time.Time
	loadPending     bool
	// probabilitiesAt is when the failure probabilities of all candidates were last
	// computed.
	probabilitiesAt time.Time
	// waiters are the requests that wait for an upstream, in the order in which they
	// get one. wakeScheduled is true while a timer will check them again.
	waiters       []*Waiter
	wakeScheduled bool
	lastWaiter    uint64
	// pauses maps upstreams that shed a request to the pause in which they get no
	// others.
	pauses map[string]pause
	// lastUsed maps an upstream to when this daemon last sent it a request.
	lastUsed       map[string]time.Time
	recentRequests requestWindow
	inFlight       *routing.InFlight
	attempts       map[uint64]*Attempt
	nextID         uint64
	budget         *retry.Budget
	// pendingHandOver holds the retry counts to hand over to the current homes.
	pendingHandOver retry.HandOver
	poison          *poison.Tracker
	rng             *rand.Rand
}

func newService(d *document.Service, self, domain string) *Service {
	s := &Service{
		Name: d.Service, self: self, domain: domain, homesGroup: d.Service, document: d,
		announcedLeaving: map[string]uint64{}, pauses: map[string]pause{}, lastUsed: map[string]time.Time{}, deprioritized: map[string]bool{}, outcomeSources: map[string]outcomeSource{},
		reliability:    reliability.New(reliability.DefaultModel()),
		detector:       detector.NewGroup(detector.TuningForWeight(d.Detection.Weight)),
		record:         ejection.Record{Service: d.Service},
		demotions:      map[string]ejection.Demotion{},
		inFlight:       routing.NewInFlight(),
		candidateIndex: map[string]int{},
		attempts:       map[uint64]*Attempt{},
		budget:         retry.NewBudget(retry.DefaultPolicy()),
		poison:         poison.NewTracker(self, []string{self}),
		rng:            rand.New(rand.NewPCG(xxhash.Sum64String(self), xxhash.Sum64String(d.Service))),
	}
	s.Gate = limits.NewGate(gatePolicy(d), 1, time.Now, rand.New(rand.NewPCG(xxhash.Sum64String(d.Service), xxhash.Sum64String(self))))
	return s
}

// Group returns the name under which homes are assigned. Services of one group have
// the same homes.
func (s *Service) Group() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homesGroup
}

func (s *Service) setGroup(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homesGroup = group
}

// Document returns the active document. It must not be modified.
func (s *Service) Document() *document.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// Version returns the platform version of the active document.
func (s *Service) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// setDocument activates a document if its version is higher.
func (s *Service) setDocument(d *document.Service, version uint64, unknownFields []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return false
	}
	s.document, s.version, s.unknownFields = d, version, unknownFields
	s.detector.SetTuning(detector.TuningForWeight(d.Detection.Weight))
	s.budget.SetPolicy(time.Now(), s.retryPolicyLocked())
	s.Gate.SetPolicy(gatePolicy(d))
	if static := d.Upstreams.Static; len(static) > 0 {
		s.setUpstreamsLocked(time.Now(), staticUpstreams(static))
	}
	s.refreshOrDeferLocked(time.Now())
	return true
}

func gatePolicy(d *document.Service) limits.Policy {
	p := limits.DefaultPolicy()
	p.Default = limits.CallerPolicy{
		Rate: d.Limits.CallerRate, Burst: float64(d.Limits.CallerBurst), Concurrency: d.Limits.CallerConcurrency,
	}
	if d.Limits.Queue > 0 {
		p.MaxQueue = d.Limits.Queue
	}
	p.MaxWait = d.Timeouts.Request
	return p
}

// homesAllowanceShare is the share of the document's retry allowance that is divided
// among the homes. The rest is a reserve: retries made by a home that was killed are
// unknown to the others, and daemons with different views of the fleet use two sets of
// homes. Daemons that are not homes get no part of the allowance, since parts for a
// hundred daemons would exceed it; they retry only within the ratio of retries to
// requests.
const homesAllowanceShare = 0.8

func (s *Service) retryPolicyLocked() retry.Policy {
	p, d := retry.DefaultPolicy(), s.document.Retries
	p.Ratio, p.MaxAttempts, p.Window = float64(d.Budget), d.Attempts, d.Window
	if s.isHomeLocked() {
		p.Allowance = homesAllowanceShare * float64(d.Allowance) / float64(len(s.homes))
	}
	return p
}

// SetHomes sets the service's homes. Only their ids and domains are used.
func (s *Service) SetHomes(now time.Time, homes []routing.Home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasHome := s.isHomeLocked()
	if slices.ContainsFunc(homes, func(h routing.Home) bool { return h.ID != s.self && !slices.Contains(s.homes, h) }) {
		s.snapshotPending = true
	}
	s.homes = homes
	s.inFlight.SetHomes(s.homeIDsLocked())
	if wasHome && !s.isHomeLocked() {
		s.pendingHandOver = s.budget.HandOver(now, len(homes), len(s.attempts))
	}
	s.budget.SetPolicy(now, s.retryPolicyLocked())
	s.poison.SetHomes(s.homeIDsLocked())
	if s.isHomeLocked() {
		s.refreshStaleLocked(now)
	}
}

func (s *Service) homeIDsLocked() []string {
	ids := make([]string, len(s.homes))
	for i, h := range s.homes {
		ids[i] = h.ID
	}
	return ids
}

// IsHome reports whether this daemon is a home of the service.
func (s *Service) IsHome() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isHomeLocked()
}

func (s *Service) isHomeLocked() bool {
	return slices.ContainsFunc(s.homes, func(h routing.Home) bool { return h.ID == s.self })
}

// idle reports whether no request uses the service.
func (s *Service) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idleLocked()
}

func (s *Service) idleLocked() bool {
	stats := s.Gate.Stats()
	return stats.Running == 0 && stats.Waiting == 0 && len(s.attempts) == 0 && len(s.waiters) == 0
}

// ejects reports whether the homes eject failing upstreams by agreement, based on the
// sequential test of package detector. Otherwise homes only rank upstreams by the
// estimates of package reliability.
func (s *Service) ejects() bool { return s.document.Detection.Eject == document.EjectAgreed }

// Ejects reports whether the homes eject failing upstreams by agreement.
func (s *Service) Ejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejects()
}

// floorLocked returns the minimum number of usable upstreams. Leaving upstreams do not
// count as capacity.
func (s *Service) floorLocked() int {
	live := 0
	for _, u := range s.upstreams {
		if !u.Leaving {
			live++
		}
	}
	return s.document.Floor.MinUpstreams(live)
}

func (s *Service) viewLocked() ejection.View {
	v := ejection.View{Upstreams: make([]ejection.UpstreamView, len(s.upstreams))}
	for i, u := range s.upstreams {
		v.Upstreams[i] = ejection.UpstreamView{ID: u.ID, Leaving: u.Leaving, Joined: u.Joined}
	}
	return v
}

func (s *Service) policyLocked() ejection.Policy {
	p := ejection.DefaultPolicy(s.floorLocked())
	p.RampDuration = s.document.Upstreams.WarmUp
	return p
}
