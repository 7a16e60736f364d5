package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/platform"
)

// View is one daemon's view of the others. It is not safe for concurrent use.
type View struct {
	params      Params
	self        platform.Member
	key         uint64
	incarnation uint32
	leaving     bool
	detached    bool
	start       time.Time
	now         time.Duration
	hosts       map[uint64]*host
	// order holds the keys of hosts, sorted, for runs that can be repeated.
	order []uint64
	// passedOver are listed daemons in whose place one was heard that no roster listed.
	passedOver []*platform.Member
	// suspects and notable hold keys; entries that no longer apply are removed
	// when they are met.
	suspects []uint64
	notable  []uint64
	down     []uint64
	// cursor and downCursor are where the refresh of notable and down goes on.
	cursor, downCursor int
	// corrections holds keys of which the last message had an older state.
	corrections []uint64
	rumours     rumours
	partners    []uint64
	// companions are hosts to which connections are open for other reasons.
	companions []uint64
	// bridge means that this daemon probes other domains.
	bridge bool
	// stale asks for new partners before the next probe.
	stale   bool
	turn    int
	probes  []probe
	relays  []relay
	urgent  []uint64
	nextSeq uint64
	// nextProbe and nextForget are when these are due; nobody is suspected
	// before graceUntil.
	nextProbe, nextForget, graceUntil time.Duration
	// nextCompanions is when the companions are probed next.
	nextCompanions time.Duration
	// recoverUntil is the end of the extra probes of dead hosts.
	recoverUntil        time.Duration
	lastTick, lastHeard time.Duration
	version             uint64
	counters            Counters
	changes             []Change
}

// Change is a change of the agreed state of a host.
type Change struct {
	ID   string
	From State
	To   State
	// Own is set when this daemon's own probe raised the suspicion.
	Own bool
}

// maxChanges bounds the changes that wait for Changes; later ones are dropped.
const maxChanges = 256

// Counters are totals of a View.
type Counters struct {
	Probes, IndirectProbes, Suspicions, Deaths, Refutations, Pauses uint64
}

// NewView returns the view of the daemon self, which knows nobody yet.
func NewView(self platform.Member, now time.Time, params Params) *View {
	return &View{
		params: params, self: self, key: KeyOf(self.ID), start: now, hosts: map[uint64]*host{},
		rumours: rumours{left: map[uint64]int{}}, stale: true, version: 1,
	}
}

// Version grows with every change that Hosts shows, except the end of PathBad.
func (v *View) Version() uint64 { return v.version }

// Counters returns the totals.
func (v *View) Counters() Counters { return v.counters }

// Hosts returns all known daemons but the own one, in a fixed order.
func (v *View) Hosts() []HostState {
	list := make([]HostState, 0, len(v.order))
	for _, key := range v.order {
		h := v.hosts[key]
		list = append(list, HostState{
			Member: *h.member, Liveness: h.state, PathBad: h.badUntil > v.now,
			Departing: h.leaving, Detached: h.detached, Listed: h.listed, Incarnation: h.incarnation,
		})
	}
	return list
}

// StateOf returns the state of the host with the key, false if it is unknown.
func (v *View) StateOf(key uint64) (state State, pathBad, known bool) {
	h := v.hosts[key]
	if h == nil {
		return Alive, false, false
	}
	return h.state, h.badUntil > v.now, true
}

// Isolated tells whether no message has arrived for some periods although
// others are known: the failed probes then say nothing about them.
func (v *View) Isolated() bool {
	return len(v.order) > 0 && v.now-v.lastHeard > isolationPeriods*v.params.Period
}

// SetRoster takes the platform's membership list. The view keeps pointers into
// it; it must not be changed afterwards. Hosts missing from it are forgotten
// after Params.Forget. A list without any other daemon is ignored when others
// were listed: it is more likely a fault of the platform than the truth.
func (v *View) SetRoster(now time.Time, members []platform.Member) {
	v.advance(now)
	listed := map[uint64]bool{}
	for i := range members {
		m := &members[i]
		key := KeyOf(m.ID)
		if m.Role != platform.RoleDaemon || key == v.key || (m.Host != "" && m.Host == v.self.Host) {
			continue
		}
		listed[key] = true
	}
	if len(listed) == 0 && len(v.order) > 0 {
		return
	}
	v.passedOver = nil
	for i := range members {
		if key := KeyOf(members[i].ID); listed[key] {
			v.list(key, &members[i])
		}
	}
	for _, key := range v.order {
		if h := v.hosts[key]; h.listed && !listed[key] {
			h.listed, h.unlisted = false, v.now
		}
	}
	v.version++
}

func (v *View) list(key uint64, m *platform.Member) {
	h := v.hosts[key]
	if h == nil {
		if v.metOn(m.Host) {
			// The roster still shows the daemon's former start, or already a later one.
			v.passedOver = append(v.passedOver, m)
			return
		}
		v.replaceHost(key, m.Host)
		h = v.add(key, m)
	}
	h.member, h.listed, h.met = m, true, false
	if m.State == platform.Leaving && !h.leaving {
		h.leaving = true
		v.announce(h)
	}
}

// listPassedOver lists daemons that were passed over for one that has fallen silent.
func (v *View) listPassedOver() {
	passedOver := v.passedOver
	v.passedOver = nil
	for _, m := range passedOver {
		v.list(KeyOf(m.ID), m)
	}
}

// metOn reports whether a daemon on the host that no roster shows yet was heard
// a short time ago.
func (v *View) metOn(name string) bool {
	return name != "" && slices.ContainsFunc(v.order, func(k uint64) bool {
		h := v.hosts[k]
		return h.member.Host == name && h.met && h.heard > 0 && v.now-h.heard < v.params.Suspicion
	})
}

// replaceHost forgets the daemon that ran on a host before the one with the key.
func (v *View) replaceHost(key uint64, name string) {
	if name == "" {
		return
	}
	v.order = slices.DeleteFunc(v.order, func(k uint64) bool {
		replaced := k != key && v.hosts[k].member.Host == name
		if replaced {
			delete(v.hosts, k)
			v.stale = true
			v.version++
		}
		return replaced
	})
}

func (v *View) add(key uint64, m *platform.Member) *host {
	h := &host{key: key, member: m}
	v.hosts[key] = h
	i, _ := slices.BinarySearch(v.order, key)
	v.order = slices.Insert(v.order, i, key)
	v.stale = true
	v.version++
	return h
}

// forget drops the hosts that have been outside the roster for too long.
func (v *View) forget() {
	v.order = slices.DeleteFunc(v.order, func(key uint64) bool {
		h := v.hosts[key]
		gone := !h.listed && v.now-h.unlisted > v.params.Forget
		if gone {
			delete(v.hosts, key)
			v.stale = true
			v.version++
		}
		return gone
	})
}

// Leave announces that this daemon is leaving. It cannot be taken back.
func (v *View) Leave() {
	if !v.leaving {
		v.leaving = true
		v.announceSelf()
	}
}

// SetDetached announces whether this daemon cannot reach the platform.
func (v *View) SetDetached(detached bool) {
	if v.detached != detached {
		v.detached = detached
		v.version++
		v.announceSelf()
	}
}

// announceSelf spreads a change of this daemon. Those that name it to callers and
// those of its domain are told at the next tick, and do not wait for the rumour.
func (v *View) announceSelf() {
	v.incarnation++
	v.rumours.add(v.key, v.sends())
	for _, key := range v.order {
		if h := v.hosts[key]; h.state != Dead && (v.near(h) || slices.Contains(v.companions, key)) && len(v.urgent) < maxPending {
			v.urgent = append(v.urgent, key)
		}
	}
}

// Observe takes evidence of the request path about a host: whether it could be
// reached. An unreachable host is probed at the next tick.
func (v *View) Observe(now time.Time, id string, reachable bool) {
	v.advance(now)
	h := v.hosts[KeyOf(id)]
	switch {
	case h == nil:
	case reachable:
		v.heardFrom(h)
		v.reached(h)
	default:
		v.setPathBad(h)
		if len(v.urgent) < maxPending && !slices.Contains(v.urgent, h.key) {
			v.urgent = append(v.urgent, h.key)
		}
	}
}

// advance sets the time of the view, which never goes back.
func (v *View) advance(now time.Time) { v.now = max(v.now, now.Sub(v.start)) }

func (v *View) heardFrom(h *host) {
	h.heard = v.now
	v.lastHeard = v.now
}

func (v *View) reached(h *host) {
	if h.badUntil > v.now {
		v.version++
	}
	h.badUntil = 0
}

func (v *View) setPathBad(h *host) {
	if h.badUntil <= v.now {
		v.version++
	}
	h.badUntil = v.now + v.params.PathBad
}

// announce spreads the present state of the host.
func (v *View) announce(h *host) {
	if h.notable() && !h.noted {
		h.noted = true
		v.notable = append(v.notable, h.key)
	}
	v.rumours.add(h.key, v.sends())
	v.version++
}

// sends is how often a rumour is passed on.
func (v *View) sends() int {
	return sendFactor * int(math.Ceil(math.Log10(float64(len(v.order)+2))))
}

// apply takes a rumour.
func (v *View) apply(e Entry) {
	if e.Key == v.key {
		v.refute(e)
		return
	}
	h := v.hosts[e.Key]
	if h == nil {
		return
	}
	newer := e.Incarnation > h.incarnation || e.Incarnation == h.incarnation && e.State > h.state
	if newer {
		if e.Incarnation > h.incarnation {
			h.detached = e.Detached
		}
		v.setState(h, e.State, e.Incarnation)
	}
	if e.Leaving && !h.leaving {
		h.leaving = true
		newer = true
	}
	if newer {
		v.announce(h)
		return
	}
	if e == h.entry() {
		v.rumours.heard(e.Key)
	} else if len(v.corrections) < MaxEntries/2 {
		v.corrections = append(v.corrections, e.Key)
	}
}

// refute answers a suspicion about this daemon with a higher incarnation.
func (v *View) refute(e Entry) {
	if e.State != Alive && e.Incarnation >= v.incarnation {
		v.incarnation = e.Incarnation + 1
		v.counters.Refutations++
		v.rumours.add(v.key, v.sends())
	}
}

func (v *View) setState(h *host, s State, incarnation uint32) {
	if s == Suspect && h.state != Suspect {
		v.suspects = append(v.suspects, h.key)
	}
	if s != Alive && !h.downListed {
		h.downListed = true
		v.down = append(v.down, h.key)
	}
	if (s == Dead) != (h.state == Dead) {
		v.stale = true
	}
	if h.state == Dead && s == Alive {
		v.recoverUntil = v.now + recoveryPeriods*v.params.Period
	}
	if s == Suspect {
		h.suspected = v.now
	}
	if s != h.state && len(v.changes) < maxChanges {
		v.changes = append(v.changes, Change{ID: h.member.ID, From: h.state, To: s})
	}
	h.accuser = false
	h.state, h.incarnation = s, incarnation
}

// Changes returns the changes since the last call, for the log.
func (v *View) Changes() []Change {
	changes := v.changes
	v.changes = nil
	return changes
}

// entries returns what a message to the host carries: first what concerns the
// receiver and the target, then new rumours, then a few known entries.
func (v *View) entries(first ...uint64) []Entry {
	list := make([]Entry, 0, 2+refreshEntries)
	put := func(key uint64) {
		if key == v.key {
			list = append(list, Entry{Key: key, Incarnation: v.incarnation, Leaving: v.leaving, Detached: v.detached})
		} else if h := v.hosts[key]; h != nil && h.notable() &&
			!slices.ContainsFunc(list, func(e Entry) bool { return e.Key == key }) {
			list = append(list, h.entry())
		}
	}
	for _, key := range first {
		put(key)
	}
	for _, key := range v.rumours.take(MaxEntries - 2*refreshEntries - len(list)) {
		put(key)
	}
	v.refresh(&v.down, &v.downCursor, put, func(h *host) bool { return h.state != Alive })
	v.refresh(&v.notable, &v.cursor, put, (*host).notable)
	return list
}

// refresh puts the next few keys of the list and removes those that no longer
// belong there.
func (v *View) refresh(list *[]uint64, cursor *int, put func(uint64), keep func(*host) bool) {
	for i := 0; i < refreshEntries && len(*list) > 0; i++ {
		*cursor = (*cursor + 1) % len(*list)
		key := (*list)[*cursor]
		if h := v.hosts[key]; h != nil && keep(h) {
			put(key)
			continue
		}
		if h := v.hosts[key]; h != nil && list == &v.down {
			h.downListed = false
		}
		*list = slices.Delete(*list, *cursor, *cursor+1)
	}
}

// pick returns a random key of the hosts that ok accepts. It tries a bounded
// number of times and returns false when it found none.
func (v *View) pick(rng *rand.Rand, ok func(*host) bool) (uint64, bool) {
	const tries = 16
	for range min(tries, tries*len(v.order)) {
		key := v.order[rng.IntN(len(v.order))]
		if ok(v.hosts[key]) {
			return key, true
		}
	}
	return 0, false
}
