package poison

import (
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream considered by Place.
type Candidate struct {
	Upstream string
	// Usable is true if the upstream is in service.
	Usable bool
	// Free is true if the upstream has a free slot.
	Free bool
	// Failing is true if the upstream will probably fail the request. A failed trial
	// shows nothing about the request.
	Failing bool
}

// Times and limits of a Tracker.
const (
	// CrashWindow is the maximum time between lost connections that count as one
	// crash. A crash closes all connections of a process at once; the window
	// allows for scheduling delays of this daemon.
	CrashWindow = 100 * time.Millisecond
	// DialWindow is how long a lost request waits for the result of the dial.
	DialWindow = time.Second
	// FirstRefuseFor is how long a fingerprint is refused after a crash during its first
	// trial. The crash may have another cause, such as a failure domain that lost power;
	// by then the upstreams that it took down have restarted.
	FirstRefuseFor = 10 * time.Second
	// RefuseFor is how long a fingerprint is refused after crashes during two trials.
	// Each further crash doubles the time, up to MaxRefuseFor.
	RefuseFor = 10 * time.Minute
	// MaxRefuseFor limits the time of refusal.
	MaxRefuseFor = 4 * time.Hour
	// SuspectFor is how long one crash counts against a fingerprint.
	SuspectFor = time.Hour
	// ForgetAfter is when the crashes of a refused fingerprint are forgotten.
	ForgetAfter = 8 * time.Hour
	// MaxEntries limits the number of stored fingerprints. Those with the oldest
	// crashes are evicted first, refused ones last.
	MaxEntries = 4096
	// maxEvents limits the events of one fingerprint.
	maxEvents = 16
	// floorRetryAfter is the suggested delay while the service is at its floor. A
	// crashed upstream takes seconds to restart.
	floorRetryAfter = 5 * time.Second
)

// Tracker tracks the requests of one service that were in flight at crashes. It is
// not safe for concurrent use.
type Tracker struct {
	self          string
	homes         []string
	crashSequence uint64
	upstreams     map[string]*upstreamState
	copies        map[Fingerprint]int
	entries       map[Fingerprint]*entry
}

// upstreamState holds this home's requests in flight at one upstream.
type upstreamState struct {
	running   []requestCopy
	lost      []lostRequest
	lastCrash time.Time
}

// requestCopy is a copy of a request at an upstream.
type requestCopy struct {
	fp Fingerprint
	// trial is true if the fingerprint was a suspect when the copy was sent.
	trial bool
}

type lostRequest struct {
	requestCopy
	at time.Time
}

// entry holds the crash events of one fingerprint.
type entry struct {
	events map[EventID]*event
}

type event struct {
	upstream string
	at       time.Time
	// trial is described at Event.Trial.
	trial   bool
	cleared bool
}

// NewTracker returns an empty tracker for the home self. homes lists all homes of
// the service, including self.
func NewTracker(self string, homes []string) *Tracker {
	return &Tracker{
		self: self, homes: homes,
		upstreams: map[string]*upstreamState{}, copies: map[Fingerprint]int{}, entries: map[Fingerprint]*entry{},
	}
}

// SetHomes replaces the list of homes of the service.
func (t *Tracker) SetHomes(homes []string) { t.homes = homes }

// Check decides how to handle a request. usable is the number of upstreams that this
// home considers in service, floor the minimum that must remain.
func (t *Tracker) Check(now time.Time, fp Fingerprint, usable, floor int) Decision {
	e := t.suspectEntry(now, fp)
	if e == nil {
		return Decision{Action: Run}
	}
	if remaining := e.refusalRemaining(now); remaining > 0 {
		d := Decision{Action: Refuse, Reason: ReasonPoison, Status: http.StatusUnprocessableEntity, RetryAfter: remaining}
		if !e.isConfirmed() {
			d.Reason, d.Status = ReasonTrialCrashed, http.StatusServiceUnavailable
		}
		return d
	}
	if usable-1 < floor {
		return Decision{
			Action: Refuse, Reason: ReasonFloor,
			Status: http.StatusServiceUnavailable, RetryAfter: floorRetryAfter,
		}
	}
	if home := HomeFor(fp, t.homes); home != t.self && home != "" {
		return Decision{Action: Forward, Home: home}
	}
	if t.copies[fp] > 0 {
		for _, state := range t.upstreams {
			t.expireLost(now, state)
		}
	}
	// Each suspect that runs here at the same time could crash an upstream.
	if t.copies[fp] > 0 || usable-1-t.suspectCopies(now) < floor {
		return Decision{Action: Wait}
	}
	return Decision{Action: RunAlone}
}

// IsSuspect reports whether the fingerprint is a suspect or refused.
func (t *Tracker) IsSuspect(now time.Time, fp Fingerprint) bool {
	return t.suspectEntry(now, fp) != nil
}

// Place chooses the upstream for a suspect among all upstreams of the service. It
// never chooses one at which another suspect of this home runs. It chooses one that
// crashed with the suspect only if several have and no other one is usable. If an
// upstream assigned to this home is usable and does not fail, Place chooses it even when
// the suspect has to wait for a slot. If Place returns false, the request waits and is
// refused at its deadline.
func (t *Tracker) Place(now time.Time, fp Fingerprint, upstreams []Candidate) (string, bool) {
	e := t.suspectEntry(now, fp)
	reuseAllowed := e == nil || len(e.crashedUpstreams()) > 1
	assigned := assignedUpstreams(t.self, t.homes, upstreams)
	best, bestRank := Candidate{}, 0
	for _, o := range upstreams {
		uncrashed := e == nil || !e.crashedAt(o.Upstream)
		if !o.Usable || (!uncrashed && !reuseAllowed) {
			continue
		}
		o.Free = o.Free && !t.runsSuspect(now, o.Upstream)
		if r := placementRank(uncrashed, !o.Failing, slices.Contains(assigned, o.Upstream), o.Free); r > bestRank {
			best, bestRank = o, r
		}
	}
	return best.Upstream, best.Free
}

// placementRank ranks the candidates of Place. A better candidate without a free slot
// outranks a worse one with a free slot.
func placementRank(uncrashed, healthy, assigned, free bool) int {
	r := 1
	if uncrashed {
		r += 8
	}
	if healthy {
		r += 4
	}
	if assigned {
		r += 2
	}
	if free {
		r++
	}
	return r
}

// Start records that a copy of the request is sent to the upstream. It is a trial if the
// request is a suspect.
func (t *Tracker) Start(now time.Time, upstream string, fp Fingerprint) {
	state := t.upstreamState(upstream)
	state.running = append(state.running, requestCopy{fp: fp, trial: t.suspectEntry(now, fp) != nil})
	t.copies[fp]++
}

// Complete records a complete response. It clears a suspect, except if a copy that was
// sent earlier completes at an upstream that crashed with it.
func (t *Tracker) Complete(now time.Time, upstream string, fp Fingerprint) Report {
	c, ok := t.endCopy(upstream, fp)
	if !ok {
		return Report{}
	}
	e := t.suspectEntry(now, fp)
	if e == nil || (!c.trial && e.crashedAt(upstream)) {
		return Report{}
	}
	for _, ev := range e.events {
		ev.cleared = true
	}
	return Report{Changed: true}
}

// Abandon records that a copy ended without evidence for or against a crash.
func (t *Tracker) Abandon(upstream string, fp Fingerprint) { t.endCopy(upstream, fp) }

// Lost records that the connection was lost without a response. Several losses within
// CrashWindow are a crash. A single loss is a crash if the upstream then refuses a
// dial.
func (t *Tracker) Lost(now time.Time, upstream string, fp Fingerprint) Loss {
	state := t.upstreamState(upstream)
	c, ok := state.removeRunning(fp)
	if !ok {
		// The copy was already counted when the crash was detected.
		return Loss{Report: Report{Crashed: now.Sub(state.lastCrash) <= DialWindow}}
	}
	t.expireLost(now, state)
	// The copy counts as in flight until the result of the dial is known, so that
	// no other copy of a suspect runs in the meantime.
	state.lost = append(state.lost, lostRequest{requestCopy: c, at: now})
	if n := len(state.lost); n > 1 && now.Sub(state.lost[n-2].at) <= CrashWindow {
		return Loss{Report: t.recordCrash(now, upstream)}
	}
	return Loss{CheckDial: true}
}

// Dialed records the result of the dial that Lost requested.
func (t *Tracker) Dialed(now time.Time, upstream string, refused bool) Report {
	state := t.upstreamState(upstream)
	t.expireLost(now, state)
	switch {
	case len(state.lost) == 0:
		return Report{Crashed: now.Sub(state.lastCrash) <= DialWindow}
	case refused:
		return t.recordCrash(now, upstream)
	default:
		t.clearLost(state)
		return Report{}
	}
}

// recordCrash records a crash with all requests that were in flight at the upstream.
func (t *Tracker) recordCrash(now time.Time, upstream string) Report {
	state := t.upstreamState(upstream)
	inFlight := slices.Clone(state.running)
	for _, l := range state.lost {
		inFlight = append(inFlight, l.requestCopy)
	}
	for _, c := range state.running {
		t.decrementCopies(c.fp)
	}
	t.clearLost(state)
	state.running, state.lastCrash = nil, now
	report := Report{Crashed: true, Changed: len(inFlight) > 0}
	t.crashSequence++
	id := t.eventID(now, upstream)
	for _, c := range inFlight {
		previous := t.suspectEntry(now, c.fp)
		report.CrashExplained = report.CrashExplained || (previous != nil && !previous.crashedAt(upstream))
		// An upstream that crashes again with the same request may crash on its own.
		trial := c.trial && previous != nil && previous.crashedElsewhere(upstream)
		t.addEvent(now, c.fp, id, event{upstream: upstream, at: now, trial: trial})
		report.addExplainedUpstreams(now, t.entries[c.fp])
	}
	return report
}

// Summary returns the crash events for the other homes, newest first.
func (t *Tracker) Summary(now time.Time) Summary {
	t.expire(now)
	var s Summary
	for fp, e := range t.entries {
		s.Events = e.appendEvents(s.Events, now, fp)
	}
	return s.newestFirst()
}

// SummaryOf returns the crash events of one fingerprint. They are sent along with a
// forwarded suspect, and the receiving home merges them before Check, because the
// forwarded request may arrive before the summary with the crash.
func (t *Tracker) SummaryOf(now time.Time, fp Fingerprint) Summary {
	var s Summary
	if e := t.entries[fp]; e != nil {
		s.Events = e.appendEvents(nil, now, fp)
	}
	return s.newestFirst()
}

// Merge adds the events of another home. Merging is idempotent and independent of
// order and delay. The report lists the upstreams whose crashes are explained.
func (t *Tracker) Merge(now time.Time, s Summary) Report {
	var report Report
	for _, e := range s.Events {
		added := t.addEvent(now, e.Fingerprint, e.ID, event{
			upstream: e.Upstream, trial: e.Trial, cleared: e.Cleared,
			at: now.Add(-time.Duration(e.AgeMS) * time.Millisecond),
		})
		if added {
			report.addExplainedUpstreams(now, t.entries[e.Fingerprint])
		}
	}
	return report
}

// Entries returns the number of stored fingerprints.
func (t *Tracker) Entries() int { return len(t.entries) }

// addEvent adds an event and returns true if it is new.
func (t *Tracker) addEvent(now time.Time, fp Fingerprint, id EventID, ev event) bool {
	e := t.entries[fp]
	if e == nil {
		if len(t.entries) >= MaxEntries {
			t.evictEntries(now)
		}
		e = &entry{events: map[EventID]*event{}}
		t.entries[fp] = e
	}
	if existing := e.events[id]; existing != nil {
		existing.cleared = existing.cleared || ev.cleared
		return false
	}
	if len(e.events) >= maxEvents {
		e.dropOldest()
	}
	e.events[id] = &ev
	return true
}

// suspectEntry returns the entry of a suspect or refused fingerprint, or nil.
func (t *Tracker) suspectEntry(now time.Time, fp Fingerprint) *entry {
	e := t.entries[fp]
	if e == nil || !e.isSuspect(now) {
		return nil
	}
	return e
}

func (t *Tracker) upstreamState(upstream string) *upstreamState {
	state := t.upstreams[upstream]
	if state == nil {
		state = &upstreamState{}
		t.upstreams[upstream] = state
	}
	return state
}

// Forget removes the state of an upstream that is no longer part of the service.
func (t *Tracker) Forget(upstream string) {
	if state := t.upstreams[upstream]; state != nil {
		for _, c := range state.running {
			t.decrementCopies(c.fp)
		}
		t.clearLost(state)
		delete(t.upstreams, upstream)
	}
}

// endCopy removes one copy in flight and returns it. It returns false if there is none.
func (t *Tracker) endCopy(upstream string, fp Fingerprint) (requestCopy, bool) {
	c, ok := t.upstreamState(upstream).removeRunning(fp)
	if ok {
		t.decrementCopies(fp)
	}
	return c, ok
}

func (t *Tracker) decrementCopies(fp Fingerprint) {
	if t.copies[fp]--; t.copies[fp] <= 0 {
		delete(t.copies, fp)
	}
}

func (t *Tracker) suspectCopies(now time.Time) int {
	n := 0
	for fp, copies := range t.copies {
		if t.suspectEntry(now, fp) != nil {
			n += copies
		}
	}
	return n
}

func (t *Tracker) runsSuspect(now time.Time, upstream string) bool {
	state := t.upstreams[upstream]
	return state != nil && slices.ContainsFunc(state.running, func(c requestCopy) bool {
		return t.suspectEntry(now, c.fp) != nil
	})
}

func (t *Tracker) expire(now time.Time) {
	for fp, e := range t.entries {
		for id, ev := range e.events {
			if now.Sub(ev.at) >= ForgetAfter {
				delete(e.events, id)
			}
		}
		if len(e.events) == 0 || (now.Sub(e.lastEvent()) >= SuspectFor && !e.isConfirmed()) {
			delete(t.entries, fp)
		}
	}
}

// evictEntries evicts an eighth of the entries in the order of evictionCandidate.
// Evicting many at a time amortizes the cost when a long summary is merged.
func (t *Tracker) evictEntries(now time.Time) {
	t.expire(now)
	if len(t.entries) < MaxEntries {
		return
	}
	candidates := make([]evictionCandidate, 0, len(t.entries))
	for fp, e := range t.entries {
		candidates = append(candidates, evictionCandidate{fp: fp, rank: e.evictionRank(now), lastEvent: e.lastEvent()})
	}
	slices.SortFunc(candidates, evictionCandidate.compare)
	for _, c := range candidates[:MaxEntries/8] {
		delete(t.entries, c.fp)
	}
}

func (t *Tracker) eventID(now time.Time, upstream string) EventID {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(now.UnixNano()))
	binary.LittleEndian.PutUint64(b[8:], t.crashSequence)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.self)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	_, _ = d.Write(b[:])
	return EventID(d.Sum64())
}

// expireLost removes lost requests whose dial result was never reported.
func (t *Tracker) expireLost(now time.Time, state *upstreamState) {
	state.lost = slices.DeleteFunc(state.lost, func(l lostRequest) bool {
		expired := now.Sub(l.at) > DialWindow
		if expired {
			t.decrementCopies(l.fp)
		}
		return expired
	})
}

// clearLost removes all lost requests of an upstream.
func (t *Tracker) clearLost(state *upstreamState) {
	for _, l := range state.lost {
		t.decrementCopies(l.fp)
	}
	state.lost = nil
}

func (s *upstreamState) removeRunning(fp Fingerprint) (requestCopy, bool) {
	i := slices.IndexFunc(s.running, func(c requestCopy) bool { return c.fp == fp })
	if i < 0 {
		return requestCopy{}, false
	}
	c, last := s.running[i], len(s.running)-1
	s.running[i] = s.running[last]
	s.running = s.running[:last]
	return c, true
}
