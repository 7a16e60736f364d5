package blackboard

import (
	"math/rand/v2"
	"slices"
	"strings"
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

// Upstream is one upstream of a service as this daemon knows it.
type Upstream struct {
	ID      string
	Address string
	Domain  string
	Slots   int
	// Leaving means that the membership list or a sign of the upstream itself
	// says that it leaves. It does not go back for the same id.
	Leaving bool
	// Joined is when the upstream was added to a list that existed before.
	Joined time.Time
	// Incarnation tells one start of the process from another under the same
	// ID; 0 means that the ID is new at each start.
	Incarnation uint64
	// WarmUp is how long the upstream was to be slow after its start when it
	// was listed, ColdUntil the end of that time. An upstream without an
	// Incarnation has the document's time, from Joined.
	WarmUp    time.Duration
	ColdUntil time.Time
	// Listed is when it was first seen here.
	Listed time.Time
}

// Service is what this daemon knows of one service. It is safe for concurrent
// use.
type Service struct {
	Name string
	// Gate admits requests; it has its own lock.
	Gate *limits.Gate

	self   string
	domain string

	mu       sync.Mutex
	group    string
	document *document.Service
	version  uint64
	unknown  []string
	homes    []routing.Home
	// doubted holds the upstreams whose probability of failing was last above
	// routing.Doubt, and doubts the changes that were not logged yet.
	doubted map[string]bool
	doubts  []Doubt
	sources map[string]source
	// homeAdded means that a home has not been told what this one knows.
	homeAdded bool
	upstreams []Upstream
	// left remembers upstreams that announced themselves that they leave.
	left map[string]bool

	reliability *reliability.Estimator
	// outcomes are those that the other homes have not been told yet.
	outcomes      []OutcomeReport
	judge         *detector.Group
	assessments   []detector.Assessment
	record        ejection.Record
	recordVersion uint64
	exclusion     ejection.Exclusion
	demotions     map[string]ejection.Demotion

	candidates []routing.Candidate
	// pausedUntil is until when an upstream that has shed a request is left
	// alone.
	pausedUntil map[string]time.Time
	// usedAt is when this daemon last sent a request to an upstream.
	usedAt   map[string]time.Time
	pressure pressure
	inFlight *routing.InFlight
	attempts map[uint64]*Attempt
	nextID   uint64
	budget   *retry.Budget
	// retries is what the homes have still to be handed over.
	retries retry.HandOver
	poison  *poison.Tracker
	rng     *rand.Rand
}

func newService(d *document.Service, self, domain string) *Service {
	s := &Service{
		Name: d.Service, self: self, domain: domain, group: d.Service, document: d,
		left: map[string]bool{}, pausedUntil: map[string]time.Time{}, usedAt: map[string]time.Time{}, doubted: map[string]bool{}, sources: map[string]source{},
		reliability: reliability.New(reliability.DefaultModel()),
		judge:       detector.NewGroup(detector.TuningFor(d.Detection.Weight)),
		record:      ejection.Record{Service: d.Service},
		demotions:   map[string]ejection.Demotion{},
		inFlight:    routing.NewInFlight(),
		attempts:    map[uint64]*Attempt{},
		budget:      retry.NewBudget(retry.DefaultPolicy()),
		poison:      poison.NewTracker(self, []string{self}),
		rng:         rand.New(rand.NewPCG(xxhash.Sum64String(self), xxhash.Sum64String(d.Service))),
	}
	s.Gate = limits.NewGate(gatePolicy(d), 1, time.Now)
	return s
}

// Group returns the name by which homes are placed: services of one group have
// the same homes.
func (s *Service) Group() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group
}

func (s *Service) setGroup(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group = group
}

// Document returns the document in force. It must not be changed.
func (s *Service) Document() *document.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// Version returns the platform version of the document in force.
func (s *Service) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// setDocument puts a document in force if its version is higher.
func (s *Service) setDocument(d *document.Service, version uint64, unknown []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return false
	}
	s.document, s.version, s.unknown = d, version, unknown
	s.judge.SetTuning(detector.TuningFor(d.Detection.Weight))
	s.budget.SetPolicy(time.Now(), s.retryPolicyLocked())
	s.Gate.SetPolicy(gatePolicy(d))
	if static := d.Upstreams.Static; len(static) > 0 {
		s.setUpstreamsLocked(time.Now(), staticUpstreams(static))
	}
	s.refreshLocked(time.Now())
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

// homesAllowance is the part of a fleet's allowance of retries that the homes share.
// What a killed home has spent is not known to the others, and daemons with different
// views of the fleet have two sets of homes. Daemons that are no homes repeat only what
// the requests that they serve pay for: a part for each of a hundred would exceed the
// allowance.
const homesAllowance = 0.8

func (s *Service) retryPolicyLocked() retry.Policy {
	p, d := retry.DefaultPolicy(), s.document.Retries
	p.Ratio, p.MaxAttempts, p.Window = float64(d.Budget), d.Attempts, d.Window
	if s.isHomeLocked() {
		p.Allowance = homesAllowance * float64(d.Allowance) / float64(len(s.homes))
	}
	return p
}

func staticUpstreams(list []document.StaticUpstream) []Upstream {
	out := make([]Upstream, len(list))
	for i, u := range list {
		out[i] = Upstream{ID: u.ID, Address: u.Address, Domain: u.Domain, Slots: u.Slots}
	}
	return out
}

// SetHomes tells which daemons are the service's homes; only their ids and
// domains are looked at.
func (s *Service) SetHomes(now time.Time, homes []routing.Home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.isHomeLocked()
	if slices.ContainsFunc(homes, func(h routing.Home) bool { return h.ID != s.self && !slices.Contains(s.homes, h) }) {
		s.homeAdded = true
	}
	s.homes = homes
	if was && !s.isHomeLocked() {
		s.retries = s.budget.HandOver(now, len(homes), len(s.attempts))
	}
	s.budget.SetPolicy(now, s.retryPolicyLocked())
	s.poison.SetHomes(s.homeIDsLocked())
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

// SetUpstreams replaces the list of upstreams. The order does not matter.
func (s *Service) SetUpstreams(now time.Time, list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.document.Upstreams.Static) > 0 {
		return
	}
	s.setUpstreamsLocked(now, list)
	s.refreshLocked(now)
}

func (s *Service) setUpstreamsLocked(now time.Time, list []Upstream) {
	first := len(s.upstreams) == 0
	known := map[string]Upstream{}
	for _, u := range s.upstreams {
		known[u.ID] = u
	}
	next := make([]Upstream, 0, len(list))
	left := map[string]bool{}
	for _, u := range list {
		u.Listed = now
		old, ok := known[u.ID]
		restarted := ok && old.Incarnation != u.Incarnation
		switch {
		case ok && !restarted:
			u.Joined, u.ColdUntil, u.Listed = old.Joined, old.ColdUntil, old.Listed
		case u.Incarnation != 0:
			// The list tells how long an upstream is slow after its start.
			u.ColdUntil = now.Add(u.WarmUp)
		case !first:
			u.Joined = now
			s.judge.SetWarmUp(now, u.ID, now.Add(s.document.Upstreams.WarmUp))
		}
		if restarted {
			s.forgetUpstreamLocked(now, u.ID)
		}
		if s.left[u.ID] {
			u.Leaving, left[u.ID] = true, true
		}
		if u.Slots == 0 {
			u.Slots = s.document.Upstreams.Slots
		}
		delete(known, u.ID)
		next = append(next, u)
	}
	for id := range known {
		s.poison.Forget(id)
		delete(s.pausedUntil, id)
		delete(s.usedAt, id)
		delete(s.doubted, id)
		delete(s.sources, id)
	}
	slices.SortFunc(next, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	s.upstreams, s.left = next, left
	ids := make([]string, len(next))
	for i, u := range next {
		ids[i] = u.ID
	}
	s.judge.Retain(now, ids)
	s.reliability.Retain(ids)
}

// forgetUpstreamLocked drops what is known of an upstream that started again
// under its id.
func (s *Service) forgetUpstreamLocked(now time.Time, id string) {
	s.poison.Forget(id)
	s.judge.Restart(now, id)
	s.reliability.Forget(id)
	delete(s.pausedUntil, id)
	delete(s.left, id)
}

// MarkLeaving notes that an upstream announced that it leaves. It reports
// whether that is news.
func (s *Service) MarkLeaving(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left[id] {
		return false
	}
	for i := range s.upstreams {
		if s.upstreams[i].ID == id {
			s.left[id] = true
			s.upstreams[i].Leaving = true
			s.refreshLocked(now)
			return true
		}
	}
	return false
}

// Upstreams returns a copy of the list.
func (s *Service) Upstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreams)
}

// AddSlots adds the slots of the upstreams, but of leaving ones, by failure domain.
func (s *Service) AddSlots(byDomain map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if !u.Leaving {
			byDomain[u.Domain] += u.Slots
		}
	}
}

// ejects reports whether sick upstreams are ejected by agreement, for which the
// sequential test of package detector is kept. Otherwise homes only prefer
// upstreams by what package reliability says.
func (s *Service) ejects() bool { return s.document.Detection.Eject == document.EjectAgreed }

// Ejects reports whether sick upstreams are ejected by agreement.
func (s *Service) Ejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejects()
}

// floorLocked is the floor in upstreams; leaving ones are no capacity.
func (s *Service) floorLocked() int {
	live := 0
	for _, u := range s.upstreams {
		if !u.Leaving {
			live++
		}
	}
	return s.document.Floor.Upstreams(live)
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
	p.RampFor = s.document.Upstreams.WarmUp
	return p
}
