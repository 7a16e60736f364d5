package poison

import (
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Option is an upstream of the service.
type Option struct {
	Upstream string
	// Usable is whether it is in service.
	Usable bool
	// Free is whether it has a free slot.
	Free bool
}

// Times and sizes of a Tracker.
const (
	// CrashWindow is how close together several lost connections must be to
	// count as one crash. A crash closes all connections of a process at once;
	// the rest is the scheduling of this daemon.
	CrashWindow = 100 * time.Millisecond
	// DialWindow is how long a lost connection waits for the result of the dial.
	DialWindow = time.Second
	// RefuseFor is how long a fingerprint seen at crashes of two upstreams is
	// refused. Each further crash doubles it, up to MaxRefuseFor.
	RefuseFor = 10 * time.Minute
	// MaxRefuseFor limits the doubling.
	MaxRefuseFor = 4 * time.Hour
	// SuspectFor is how long one crash counts against a fingerprint.
	SuspectFor = time.Hour
	// ForgetAfter is when the crashes of a refused fingerprint are forgotten.
	ForgetAfter = 8 * time.Hour
	// MaxEntries limits the fingerprints remembered; those with the oldest
	// crashes are dropped first, those refused last.
	MaxEntries = 4096
	// maxEvents limits the events of one fingerprint.
	maxEvents = 16
	// floorRetryAfter is suggested while the service is at its floor; a
	// crashed upstream takes seconds to come back.
	floorRetryAfter = 5 * time.Second
)

// Tracker knows the requests of one service that were in flight at crashes. It
// is not safe for concurrent use.
type Tracker struct {
	self      string
	homes     []string
	sequence  uint64
	upstreams map[string]*flight
	copies    map[Fingerprint]int
	entries   map[Fingerprint]*entry
}

// flight is the traffic of this home to one upstream.
type flight struct {
	running []Fingerprint
	lost    []loss
	crashed time.Time
}

type loss struct {
	fp Fingerprint
	at time.Time
}

// entry is what is known about one fingerprint.
type entry struct {
	events map[EventID]*event
}

type event struct {
	upstream string
	at       time.Time
	cleared  bool
}

// NewTracker returns an empty tracker of the home self; homes are all homes of
// the service, self included.
func NewTracker(self string, homes []string) *Tracker {
	return &Tracker{
		self: self, homes: homes,
		upstreams: map[string]*flight{}, copies: map[Fingerprint]int{}, entries: map[Fingerprint]*entry{},
	}
}

// SetHomes changes the homes of the service.
func (t *Tracker) SetHomes(homes []string) { t.homes = homes }

// Check decides what to do with a request. usable is the number of upstreams in
// service as this home sees them, floor the least that must stay.
func (t *Tracker) Check(now time.Time, fp Fingerprint, usable, floor int) Decision {
	e := t.entry(now, fp)
	if e == nil {
		return Decision{Action: Run}
	}
	if left := e.refusedFor(now); left > 0 {
		return Decision{
			Action: Refuse, Reason: ReasonPoison,
			Status: http.StatusUnprocessableEntity, RetryAfter: left,
		}
	}
	if usable-1 < floor {
		return Decision{
			Action: Refuse, Reason: ReasonFloor,
			Status: http.StatusServiceUnavailable, RetryAfter: floorRetryAfter,
		}
	}
	if home := Named(fp, t.homes); home != t.self && home != "" {
		return Decision{Action: Forward, Home: home}
	}
	if t.copies[fp] > 0 {
		for _, f := range t.upstreams {
			t.dropLosses(now, f)
		}
	}
	// Suspects that run here at the same time could take an upstream down each.
	if t.copies[fp] > 0 || usable-1-t.suspectCopies(now) < floor {
		return Decision{Action: Wait}
	}
	return Decision{Action: RunAlone}
}

// Suspected reports whether the fingerprint is a suspect or refused.
func (t *Tracker) Suspected(now time.Time, fp Fingerprint) bool { return t.entry(now, fp) != nil }

// Place picks the upstream for a suspect out of all upstreams of the service:
// never one where another suspect of this home runs, and not one where it was
// seen at a crash unless it has served its time of refusal. It keeps to the
// upstreams whose suspects belong to this home, if one of them is usable, even
// when it has to wait for a slot. False means that the request waits, and is
// refused when its time is up.
func (t *Tracker) Place(now time.Time, fp Fingerprint, upstreams []Option) (string, bool) {
	e := t.entry(now, fp)
	again := e == nil || len(e.crashes()) > 1
	owned := ownedBy(t.self, t.homes, upstreams)
	best, bestRank := Option{}, 0
	for _, o := range upstreams {
		fresh := e == nil || !e.crashedAt(o.Upstream)
		if !o.Usable || (!fresh && !again) {
			continue
		}
		o.Free = o.Free && !t.suspectAt(now, o.Upstream)
		if r := rank(fresh, slices.Contains(owned, o.Upstream), o.Free); r > bestRank {
			best, bestRank = o, r
		}
	}
	return best.Upstream, best.Free
}

// rank orders the options of Place; an option without a free slot still wins
// over a worse one that has it.
func rank(fresh, owned, free bool) int {
	r := 1
	if fresh {
		r += 4
	}
	if owned {
		r += 2
	}
	if free {
		r++
	}
	return r
}

// Start records that a copy is sent to the upstream.
func (t *Tracker) Start(_ time.Time, upstream string, fp Fingerprint) {
	f := t.flight(upstream)
	f.running = append(f.running, fp)
	t.copies[fp]++
}

// Complete records a whole response. It clears a suspect that was seen at
// crashes of other upstreams only.
func (t *Tracker) Complete(now time.Time, upstream string, fp Fingerprint) Report {
	if !t.end(upstream, fp) {
		return Report{}
	}
	e := t.entry(now, fp)
	if e == nil || e.crashedAt(upstream) {
		return Report{}
	}
	for _, ev := range e.events {
		ev.cleared = true
	}
	return Report{Changed: true}
}

// Abandon records that a copy ended without telling anything about crashes.
func (t *Tracker) Abandon(upstream string, fp Fingerprint) { t.end(upstream, fp) }

// Lost records that the connection was lost without a response. Several at once
// are a crash; a single one is so if the upstream then refuses connections.
func (t *Tracker) Lost(now time.Time, upstream string, fp Fingerprint) Loss {
	f := t.flight(upstream)
	if !f.remove(fp) {
		// The copy was counted when the crash was found.
		return Loss{Report: Report{Crashed: now.Sub(f.crashed) <= DialWindow}}
	}
	t.dropLosses(now, f)
	// Until the dial tells, the copy still counts, so that no other copy of a
	// suspect runs in between.
	f.lost = append(f.lost, loss{fp: fp, at: now})
	if n := len(f.lost); n > 1 && now.Sub(f.lost[n-2].at) <= CrashWindow {
		return Loss{Report: t.crash(now, upstream)}
	}
	return Loss{CheckDial: true}
}

// Dialed reports the dial that Lost asked for.
func (t *Tracker) Dialed(now time.Time, upstream string, refused bool) Report {
	f := t.flight(upstream)
	t.dropLosses(now, f)
	switch {
	case len(f.lost) == 0:
		return Report{Crashed: now.Sub(f.crashed) <= DialWindow}
	case refused:
		return t.crash(now, upstream)
	default:
		t.settle(f)
		return Report{}
	}
}

// crash blames all requests that were in flight.
func (t *Tracker) crash(now time.Time, upstream string) Report {
	f := t.flight(upstream)
	seen := slices.Clone(f.running)
	for _, l := range f.lost {
		seen = append(seen, l.fp)
	}
	for _, fp := range f.running {
		t.uncount(fp)
	}
	t.settle(f)
	f.running, f.crashed = nil, now
	return t.Crash(now, upstream, seen)
}

// Crash records that the upstream crashed with these requests in flight.
func (t *Tracker) Crash(now time.Time, upstream string, inFlight []Fingerprint) Report {
	report := Report{Crashed: true, Changed: len(inFlight) > 0}
	t.sequence++
	id := t.eventID(now, upstream)
	for _, fp := range inFlight {
		known := t.entry(now, fp)
		report.Excused = report.Excused || (known != nil && !known.crashedAt(upstream))
		t.add(now, fp, id, event{upstream: upstream, at: now})
		report.forgive(now, t.entries[fp])
	}
	return report
}

// Summary returns what other homes need to know, the newest events first.
func (t *Tracker) Summary(now time.Time) Summary {
	t.expire(now)
	var s Summary
	for fp, e := range t.entries {
		s.Events = e.appendTo(s.Events, now, fp)
	}
	return s.newest()
}

// About returns what is known about one fingerprint. It goes with a forwarded
// suspect, and the home merges it before Check: the forward may arrive before
// the summary that told of the crash.
func (t *Tracker) About(now time.Time, fp Fingerprint) Summary {
	var s Summary
	if e := t.entries[fp]; e != nil {
		s.Events = e.appendTo(nil, now, fp)
	}
	return s.newest()
}

// Merge adds what another home knows. Merging twice, late or in any order
// leads to the same state. The report names the upstreams to forgive.
func (t *Tracker) Merge(now time.Time, s Summary) Report {
	var report Report
	for _, e := range s.Events {
		added := t.add(now, e.Fingerprint, e.ID, event{
			upstream: e.Upstream, cleared: e.Cleared,
			at: now.Add(-time.Duration(e.AgeMS) * time.Millisecond),
		})
		if added {
			report.forgive(now, t.entries[e.Fingerprint])
		}
	}
	return report
}

// Entries is the number of fingerprints remembered.
func (t *Tracker) Entries() int { return len(t.entries) }

// add records an event; true when it was not known.
func (t *Tracker) add(now time.Time, fp Fingerprint, id EventID, ev event) bool {
	e := t.entries[fp]
	if e == nil {
		if len(t.entries) >= MaxEntries {
			t.makeRoom(now)
		}
		e = &entry{events: map[EventID]*event{}}
		t.entries[fp] = e
	}
	if known := e.events[id]; known != nil {
		known.cleared = known.cleared || ev.cleared
		return false
	}
	if len(e.events) >= maxEvents {
		e.dropOldest()
	}
	e.events[id] = &ev
	return true
}

// entry returns what counts against the fingerprint, or nil.
func (t *Tracker) entry(now time.Time, fp Fingerprint) *entry {
	e := t.entries[fp]
	if e == nil || !e.suspect(now) {
		return nil
	}
	return e
}

func (t *Tracker) flight(upstream string) *flight {
	f := t.upstreams[upstream]
	if f == nil {
		f = &flight{}
		t.upstreams[upstream] = f
	}
	return f
}

// Forget drops the state of an upstream that has left the service.
func (t *Tracker) Forget(upstream string) {
	if f := t.upstreams[upstream]; f != nil {
		for _, fp := range f.running {
			t.uncount(fp)
		}
		t.settle(f)
		delete(t.upstreams, upstream)
	}
}

// end removes one copy; false when there is none.
func (t *Tracker) end(upstream string, fp Fingerprint) bool {
	if !t.flight(upstream).remove(fp) {
		return false
	}
	t.uncount(fp)
	return true
}

func (t *Tracker) uncount(fp Fingerprint) {
	if t.copies[fp]--; t.copies[fp] <= 0 {
		delete(t.copies, fp)
	}
}

func (t *Tracker) suspectCopies(now time.Time) int {
	n := 0
	for fp, copies := range t.copies {
		if t.entry(now, fp) != nil {
			n += copies
		}
	}
	return n
}

func (t *Tracker) suspectAt(now time.Time, upstream string) bool {
	f := t.upstreams[upstream]
	return f != nil && slices.ContainsFunc(f.running, func(fp Fingerprint) bool {
		return t.entry(now, fp) != nil
	})
}

func (t *Tracker) expire(now time.Time) {
	for fp, e := range t.entries {
		for id, ev := range e.events {
			if now.Sub(ev.at) >= ForgetAfter {
				delete(e.events, id)
			}
		}
		if len(e.events) == 0 || (now.Sub(e.last()) >= SuspectFor && len(e.crashes()) < 2) {
			delete(t.entries, fp)
		}
	}
}

// makeRoom drops an eighth of the entries, those worth least. Dropping many at
// a time keeps the cost of a long summary low.
func (t *Tracker) makeRoom(now time.Time) {
	t.expire(now)
	if len(t.entries) < MaxEntries {
		return
	}
	worths := make([]worth, 0, len(t.entries))
	for fp, e := range t.entries {
		worths = append(worths, worth{fp: fp, rank: e.rank(now), last: e.last()})
	}
	slices.SortFunc(worths, worth.compare)
	for _, w := range worths[:MaxEntries/8] {
		delete(t.entries, w.fp)
	}
}

func (t *Tracker) eventID(now time.Time, upstream string) EventID {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(now.UnixNano()))
	binary.LittleEndian.PutUint64(b[8:], t.sequence)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.self)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	_, _ = d.Write(b[:])
	return EventID(d.Sum64())
}

// dropLosses gives up losses whose dial was never reported.
func (t *Tracker) dropLosses(now time.Time, f *flight) {
	f.lost = slices.DeleteFunc(f.lost, func(l loss) bool {
		old := now.Sub(l.at) > DialWindow
		if old {
			t.uncount(l.fp)
		}
		return old
	})
}

// settle ends the losses of an upstream.
func (t *Tracker) settle(f *flight) {
	for _, l := range f.lost {
		t.uncount(l.fp)
	}
	f.lost = nil
}

func (f *flight) remove(fp Fingerprint) bool {
	i := slices.Index(f.running, fp)
	if i < 0 {
		return false
	}
	last := len(f.running) - 1
	f.running[i] = f.running[last]
	f.running = f.running[:last]
	return true
}
