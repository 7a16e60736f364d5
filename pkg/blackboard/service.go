package blackboard

import (
	"maps"
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

// Upstream is this daemon's view of one upstream of a service.
type Upstream struct {
	ID      string
	Address string
	Domain  string
	Slots   int
	// Leaving is true if the membership list or the upstream itself announced that
	// the upstream is leaving. An upstream's own announcement stays in effect while
	// the list has the same id and incarnation.
	Leaving bool
	// Joined is when the upstream was added to a list that was not empty. It is zero
	// for upstreams of the first list.
	Joined time.Time
	// Incarnation distinguishes starts of the process under the same ID. It is 0 if
	// the ID is new at each start.
	Incarnation uint64
	// WarmUp is the rest of the upstream's slow phase after its start, as of the time
	// when it was listed; WarmUpUntil is the end of that phase. For an upstream
	// without an Incarnation, the phase is the document's warm-up time, counted from
	// Joined.
	WarmUp      time.Duration
	WarmUpUntil time.Time
	// Listed is when this daemon first saw the upstream.
	Listed time.Time
}

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

func staticUpstreams(list []document.StaticUpstream) []Upstream {
	out := make([]Upstream, len(list))
	for i, u := range list {
		out[i] = Upstream{ID: u.ID, Address: u.Address, Domain: u.Domain, Slots: u.Slots}
	}
	return out
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

// SetUpstreams replaces the list of upstreams, in any order. It has no effect if the
// document lists the upstreams.
func (s *Service) SetUpstreams(now time.Time, list []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.document.Upstreams.Static) > 0 {
		return
	}
	s.setUpstreamsLocked(now, list)
	s.refreshOrDeferLocked(now)
}

// UpdateUpstreams changes some upstreams of the list: it adds or replaces those in listed
// and removes those whose ids are in removed. Its result equals that of SetUpstreams with
// the whole list, at a cost that grows with the changes. It has no effect before the first
// call of SetUpstreams, or if the document lists the upstreams.
func (s *Service) UpdateUpstreams(now time.Time, listed []Upstream, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || len(s.document.Upstreams.Static) > 0 {
		return
	}
	firstList, changed := len(s.upstreams) == 0, false
	for _, u := range listed {
		i, known := s.upstreamIndexLocked(u.ID)
		if !known {
			s.upstreams = slices.Insert(s.upstreams, i, s.mergeUpstreamLocked(now, u, Upstream{}, false, firstList))
			s.detector.Add(now, u.ID)
			changed = true
			continue
		}
		merged := s.mergeUpstreamLocked(now, u, s.upstreams[i], true, firstList)
		changed = changed || merged != s.upstreams[i]
		s.upstreams[i] = merged
	}
	for _, id := range removed {
		i, known := s.upstreamIndexLocked(id)
		if !known {
			continue
		}
		s.upstreams = slices.Delete(s.upstreams, i, i+1)
		s.forgetUpstreamLocked(id)
		s.detector.Remove(id)
		s.reliability.Forget(id)
		changed = true
	}
	if changed {
		s.upstreamsChangedLocked(now)
		s.refreshOrDeferLocked(now)
	}
}

// upstreamIndexLocked returns the position of an upstream in the list, or the position at
// which it would be.
func (s *Service) upstreamIndexLocked(id string) (int, bool) {
	return slices.BinarySearchFunc(s.upstreams, id, func(u Upstream, id string) int { return strings.Compare(u.ID, id) })
}

func (s *Service) setUpstreamsLocked(now time.Time, list []Upstream) {
	s.listed = true
	firstList := len(s.upstreams) == 0
	previous := map[string]Upstream{}
	for _, u := range s.upstreams {
		previous[u.ID] = u
	}
	next := make([]Upstream, 0, len(list))
	for _, u := range list {
		old, ok := previous[u.ID]
		delete(previous, u.ID)
		next = append(next, s.mergeUpstreamLocked(now, u, old, ok, firstList))
	}
	for id := range previous {
		s.forgetUpstreamLocked(id)
	}
	slices.SortFunc(next, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	s.upstreams = next
	s.upstreamsChangedLocked(now)
	ids := make([]string, len(next))
	for i, u := range next {
		ids[i] = u.ID
	}
	s.detector.SetUpstreams(now, ids)
	s.reliability.Retain(ids)
}

// mergeUpstreamLocked returns the state of a listed upstream, given its previous state if
// known is true. firstList is true if there were no upstreams before.
func (s *Service) mergeUpstreamLocked(now time.Time, u, old Upstream, known, firstList bool) Upstream {
	u.Listed = now
	restarted := known && old.Incarnation != u.Incarnation
	switch {
	case known && !restarted:
		// The remaining warm-up time counts only when an incarnation is first listed.
		u.Joined, u.WarmUp, u.WarmUpUntil, u.Listed = old.Joined, old.WarmUp, old.WarmUpUntil, old.Listed
	case u.Incarnation != 0:
		// The membership list contains the remaining warm-up time.
		u.WarmUpUntil = now.Add(u.WarmUp)
	case !firstList:
		u.Joined = now
		s.detector.SetWarmUp(now, u.ID, now.Add(s.document.Upstreams.WarmUp))
	}
	if restarted {
		s.resetUpstreamLocked(now, u.ID)
	}
	s.forgetEarlierIncarnationLocked(u)
	if _, announced := s.announcedLeaving[u.ID]; announced {
		u.Leaving = true
	}
	if u.Slots == 0 {
		u.Slots = s.document.Upstreams.Slots
	}
	return u
}

// forgetUpstreamLocked drops the state of an upstream that is no longer listed, except
// what the detector and the reliability estimator hold.
func (s *Service) forgetUpstreamLocked(id string) {
	s.poison.Forget(id)
	delete(s.lastUsed, id)
	delete(s.deprioritized, id)
	delete(s.outcomeSources, id)
}

// upstreamsChangedLocked drops what depends on the former list of upstreams.
func (s *Service) upstreamsChangedLocked(now time.Time) {
	maps.DeleteFunc(s.pauses, func(_ string, p pause) bool { return !now.Before(p.until) })
	s.slotsByDomain = nil
}

// forgetEarlierIncarnationLocked drops the pause and the announcement of an earlier
// incarnation of a listed upstream.
func (s *Service) forgetEarlierIncarnationLocked(u Upstream) {
	if p, paused := s.pauses[u.ID]; paused && p.incarnation != u.Incarnation {
		delete(s.pauses, u.ID)
	}
	if incarnation, announced := s.announcedLeaving[u.ID]; announced && u.Incarnation > incarnation {
		delete(s.announcedLeaving, u.ID)
	}
}

// resetUpstreamLocked drops the state of an upstream that restarted under the same id.
func (s *Service) resetUpstreamLocked(now time.Time, id string) {
	s.poison.Forget(id)
	s.detector.Reset(now, id)
	s.reliability.Forget(id)
	delete(s.pauses, id)
}

// maxAnnouncements bounds the announcements of upstreams that are no longer listed.
const maxAnnouncements = 4096

// MarkLeaving records that an incarnation of an upstream announced that it is leaving. It
// reports whether this was not known before. The announcement ends only when a newer
// incarnation is listed. It is kept while the upstream is not listed, because a delayed
// call may write the removed entry once more. Without an incarnation it is not, because
// a restart could not be told from such an entry.
func (s *Service) MarkLeaving(now time.Time, id string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, listed := s.upstreamIndexLocked(id)
	if !listed && incarnation == 0 || listed && s.upstreams[i].Incarnation > incarnation {
		return false
	}
	if known, announced := s.announcedLeaving[id]; announced && known >= incarnation {
		return false
	}
	s.trimAnnouncementsLocked()
	s.announcedLeaving[id] = incarnation
	if listed {
		s.upstreams[i].Leaving = true
		s.upstreamsChangedLocked(now)
		s.refreshOrDeferLocked(now)
	}
	return true
}

// trimAnnouncementsLocked drops the announcements of unlisted upstreams when there are
// too many.
func (s *Service) trimAnnouncementsLocked() {
	if len(s.announcedLeaving) < maxAnnouncements {
		return
	}
	for id := range s.announcedLeaving {
		if _, found := s.upstreamIndexLocked(id); !found {
			delete(s.announcedLeaving, id)
		}
	}
}

// pause is the time in which an incarnation of an upstream gets no requests.
type pause struct {
	incarnation uint64
	until       time.Time
}

// Pause stops requests of this daemon to an incarnation of an upstream until the given
// time. A later end that is already set stays.
func (s *Service) Pause(now time.Time, id string, incarnation uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseLocked(now, id, incarnation, until)
}

func (s *Service) pauseLocked(now time.Time, id string, incarnation uint64, until time.Time) {
	i, found := s.upstreamIndexLocked(id)
	if !found || s.upstreams[i].Incarnation != incarnation || !until.After(s.pauses[id].until) {
		return
	}
	s.pauses[id] = pause{incarnation: incarnation, until: until}
	s.updateCandidateLocked(now, id)
}

// Paused reports whether this daemon sends an upstream nothing for now.
func (s *Service) Paused(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.pauses[id].until)
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

// Upstreams returns a copy of the list of upstreams.
func (s *Service) Upstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreams)
}

// AddSlots adds the slots of the upstreams that are not leaving to byDomain, which
// maps failure domains to slot counts.
func (s *Service) AddSlots(byDomain map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotsByDomain == nil {
		s.slotsByDomain = map[string]int{}
		for _, u := range s.upstreams {
			if !u.Leaving {
				s.slotsByDomain[u.Domain] += u.Slots
			}
		}
	}
	for domain, slots := range s.slotsByDomain {
		byDomain[domain] += slots
	}
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
