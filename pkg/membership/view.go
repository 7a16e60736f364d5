package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/pkg/platform"
)

// View is one daemon's view of the others. It is not safe for concurrent use.
// Times stored as durations count from start.
type View struct {
	params      Params
	self        platform.Member
	selfKey     uint64
	incarnation uint32
	leaving     bool
	detached    bool
	start       time.Time
	now         time.Duration
	hosts       map[uint64]*host
	// sortedKeys holds the keys of hosts, sorted to make runs reproducible.
	sortedKeys []uint64
	// keysOn maps the names of hosts to the sorted keys of the daemons there. After a restart
	// of all daemons each entry of the roster replaces one.
	keysOn map[string][]uint64
	// deferred holds roster entries that are not applied yet, because an unlisted
	// daemon on the same host was discovered and heard from recently.
	deferred []*platform.Member
	// suspects, nonDefault (see host.nonDefault) and notAlive hold keys. Keys
	// that no longer belong in a list are removed when it is next traversed.
	suspects   []uint64
	nonDefault []uint64
	notAlive   []uint64
	// nonDefaultCursor and notAliveCursor are the positions of appendKnown in
	// nonDefault and notAlive.
	nonDefaultCursor, notAliveCursor int
	// corrections holds keys for which the last message carried an older state.
	corrections []uint64
	gossip      gossipQueue
	partners    []uint64
	// priorityHosts are probed every Params.PriorityProbePeriod.
	priorityHosts []uint64
	// isBridge is true if this daemon probes other domains.
	isBridge bool
	// partnersStale requests a new choice of partners before the next probe.
	partnersStale bool
	probeNumber   int
	probes        []probe
	relays        []relay
	urgentProbes  []uint64
	nextSeq       uint64
	// nextProbe and nextCleanup are when the next probe and the next removal of
	// expired hosts are due. No host is suspected before graceUntil.
	nextProbe, nextCleanup, graceUntil time.Duration
	// nextPriorityProbe is when the priority hosts are probed next.
	nextPriorityProbe time.Duration
	// recoveryUntil is the end of the additional probes of dead hosts.
	recoveryUntil       time.Duration
	lastTick, lastHeard time.Duration
	version             uint64
	counters            Counters
	changes             []Change
}

// Change is a transition of a host between states.
type Change struct {
	ID   string
	From State
	To   State
	// OwnProbe is set when this daemon's own probe raised the suspicion.
	OwnProbe bool
}

// maxChanges bounds the changes buffered for Changes; further ones are dropped.
const maxChanges = 256

// Counters are totals of a View.
type Counters struct {
	Probes, IndirectProbes, Suspicions, Deaths, Refutations, Pauses uint64
}

// NewView returns the view of the daemon self, which knows no other daemon yet.
func NewView(self platform.Member, now time.Time, params Params) *View {
	return &View{
		params: params, self: self, selfKey: KeyOf(self.ID), start: now, hosts: map[uint64]*host{}, keysOn: map[string][]uint64{},
		gossip: gossipQueue{remaining: map[uint64]int{}}, partnersStale: true, version: 1,
	}
}

// Version grows with every change that Hosts shows, except when PathBad expires.
func (v *View) Version() uint64 { return v.version }

// Counters returns the totals.
func (v *View) Counters() Counters { return v.counters }

// Hosts returns all known daemons except this one, in a fixed order.
func (v *View) Hosts() []HostState {
	list := make([]HostState, 0, len(v.sortedKeys))
	for _, key := range v.sortedKeys {
		h := v.hosts[key]
		list = append(list, HostState{
			Member: *h.member, Liveness: h.state, PathBad: h.pathBadUntil > v.now,
			Leaving: h.leaving, Detached: h.detached, Listed: h.listed, Incarnation: h.incarnation,
		})
	}
	return list
}

// StateOf returns the state of the host with the key; known is false if there is
// no such host.
func (v *View) StateOf(key uint64) (state State, pathBad, known bool) {
	h := v.hosts[key]
	if h == nil {
		return Alive, false, false
	}
	return h.state, h.pathBadUntil > v.now, true
}

// Isolated reports whether other daemons are known but no message has arrived
// for isolationPeriods. Failed probes are then no evidence against the others.
func (v *View) Isolated() bool {
	return len(v.sortedKeys) > 0 && v.now-v.lastHeard > isolationPeriods*v.params.Period
}

// SetRoster applies the platform's membership list. The view keeps pointers into
// the list, so the caller must not modify it afterwards. Hosts missing from it
// are removed after Params.ForgetAfter. A list without any other daemon is
// ignored if others are known: a fault of the platform is the likelier cause.
func (v *View) SetRoster(now time.Time, members []platform.Member) {
	v.updateClock(now)
	listed := map[uint64]bool{}
	for i := range members {
		m := &members[i]
		key := KeyOf(m.ID)
		if m.Role != platform.RoleDaemon || key == v.selfKey || (m.Host != "" && m.Host == v.self.Host) {
			continue
		}
		listed[key] = true
	}
	if len(listed) == 0 && len(v.sortedKeys) > 0 {
		return
	}
	v.deferred = nil
	for i := range members {
		if key := KeyOf(members[i].ID); listed[key] {
			v.applyRosterEntry(key, &members[i])
		}
	}
	for _, key := range v.sortedKeys {
		if h := v.hosts[key]; h.listed && !listed[key] {
			h.listed, h.unlistedAt = false, v.now
		}
	}
	v.version++
}

func (v *View) applyRosterEntry(key uint64, m *platform.Member) {
	h := v.hosts[key]
	if h == nil {
		if v.discoveredRecentlyOn(m.Host) {
			// The roster lists either a previous process of that daemon or a later one.
			v.deferred = append(v.deferred, m)
			return
		}
		v.removePredecessor(key, m.Host)
		h = v.addHost(key, m)
	}
	v.setHostName(key, h.member.Host, m.Host)
	h.member, h.listed, h.discovered = m, true, false
	if m.State == platform.Leaving && !h.leaving {
		h.leaving = true
		v.enqueueUpdate(h)
	}
}

// retryDeferred applies the deferred roster entries whose host no longer has a
// recently discovered daemon.
func (v *View) retryDeferred() {
	deferred := v.deferred
	v.deferred = nil
	for _, m := range deferred {
		v.applyRosterEntry(KeyOf(m.ID), m)
	}
}

// discoveredRecentlyOn reports whether a daemon on the host that no roster has
// listed yet was heard from within Params.SuspicionTimeout.
func (v *View) discoveredRecentlyOn(hostName string) bool {
	return hostName != "" && slices.ContainsFunc(v.keysOn[hostName], func(k uint64) bool {
		h := v.hosts[k]
		return h.discovered && h.lastHeard > 0 && v.now-h.lastHeard < v.params.SuspicionTimeout
	})
}

// removePredecessor removes any daemon on the host other than the one with the
// key, and returns the member removed last, or nil.
func (v *View) removePredecessor(key uint64, hostName string) *platform.Member {
	if hostName == "" {
		return nil
	}
	var removed *platform.Member
	for _, k := range slices.Clone(v.keysOn[hostName]) {
		if k == key {
			continue
		}
		removed = v.hosts[k].member
		v.removeHost(k)
		if i, found := slices.BinarySearch(v.sortedKeys, k); found {
			v.sortedKeys = slices.Delete(v.sortedKeys, i, i+1)
		}
	}
	return removed
}

// removeHost removes a host, except from sortedKeys.
func (v *View) removeHost(key uint64) {
	v.setHostName(key, v.hosts[key].member.Host, "")
	delete(v.hosts, key)
	v.partnersStale = true
	v.version++
}

// setHostName moves a key in keysOn; an empty name is none.
func (v *View) setHostName(key uint64, from, to string) {
	if from == to {
		return
	}
	if i, found := slices.BinarySearch(v.keysOn[from], key); found {
		v.keysOn[from] = slices.Delete(v.keysOn[from], i, i+1)
		if len(v.keysOn[from]) == 0 {
			delete(v.keysOn, from)
		}
	}
	if to != "" {
		i, _ := slices.BinarySearch(v.keysOn[to], key)
		v.keysOn[to] = slices.Insert(v.keysOn[to], i, key)
	}
}

func (v *View) addHost(key uint64, m *platform.Member) *host {
	h := &host{key: key, member: m}
	v.hosts[key] = h
	v.setHostName(key, "", m.Host)
	i, _ := slices.BinarySearch(v.sortedKeys, key)
	v.sortedKeys = slices.Insert(v.sortedKeys, i, key)
	v.partnersStale = true
	v.version++
	return h
}

// removeExpired removes hosts that have been missing from the roster for longer
// than Params.ForgetAfter.
func (v *View) removeExpired() {
	v.sortedKeys = slices.DeleteFunc(v.sortedKeys, func(key uint64) bool {
		h := v.hosts[key]
		expired := !h.listed && v.now-h.unlistedAt > v.params.ForgetAfter
		if expired {
			v.removeHost(key)
		}
		return expired
	})
}

// Leave announces that this daemon is leaving. It cannot be revoked.
func (v *View) Leave() {
	if !v.leaving {
		v.leaving = true
		v.announceSelf()
	}
}

// SetDetached announces that this daemon cannot reach the platform (true) or can
// reach it again (false).
func (v *View) SetDetached(detached bool) {
	if v.detached != detached {
		v.detached = detached
		v.version++
		v.announceSelf()
	}
}

// announceSelf gossips a change of this daemon. Priority hosts and daemons that
// it may probe, such as those of its own domain, are pinged at the next tick, so
// that they need not wait for the gossip.
func (v *View) announceSelf() {
	v.incarnation++
	v.gossip.add(v.selfKey, v.retransmits())
	for _, key := range v.sortedKeys {
		if h := v.hosts[key]; h.state != Dead && (v.mayProbe(h) || slices.Contains(v.priorityHosts, key)) && len(v.urgentProbes) < maxPending {
			v.urgentProbes = append(v.urgentProbes, key)
		}
	}
}

// Observe records whether a request could reach the host. An unreachable host is
// probed at the next tick.
func (v *View) Observe(now time.Time, id string, reachable bool) {
	v.updateClock(now)
	h := v.hosts[KeyOf(id)]
	switch {
	case h == nil:
	case reachable:
		v.recordContact(h)
		v.clearPathBad(h)
	default:
		v.setPathBad(h)
		if len(v.urgentProbes) < maxPending && !slices.Contains(v.urgentProbes, h.key) {
			v.urgentProbes = append(v.urgentProbes, h.key)
		}
	}
}

// updateClock sets the time of the view, which never goes backwards.
func (v *View) updateClock(now time.Time) { v.now = max(v.now, now.Sub(v.start)) }

func (v *View) recordContact(h *host) {
	h.lastHeard = v.now
	v.lastHeard = v.now
}

func (v *View) clearPathBad(h *host) {
	if h.pathBadUntil > v.now {
		v.version++
	}
	h.pathBadUntil = 0
}

func (v *View) setPathBad(h *host) {
	if h.pathBadUntil <= v.now {
		v.version++
	}
	h.pathBadUntil = v.now + v.params.PathBadDuration
}

// enqueueUpdate schedules the current state of the host for gossip.
func (v *View) enqueueUpdate(h *host) {
	if h.nonDefault() && !h.inNonDefault {
		h.inNonDefault = true
		v.nonDefault = append(v.nonDefault, h.key)
	}
	v.gossip.add(h.key, v.retransmits())
	v.version++
}

// retransmits returns how many times this daemon sends an update.
func (v *View) retransmits() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(v.sortedKeys)+2))))
}

// applyEntry merges a received state update into the view.
func (v *View) applyEntry(e Entry) {
	if e.Key == v.selfKey {
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
		v.enqueueUpdate(h)
		return
	}
	if e == h.entry() {
		v.gossip.countDuplicate(e.Key)
	} else if len(v.corrections) < MaxEntries/2 {
		v.corrections = append(v.corrections, e.Key)
	}
}

// refute raises the incarnation if the entry declares this daemon suspect or
// dead.
func (v *View) refute(e Entry) {
	if e.State != Alive && e.Incarnation >= v.incarnation {
		v.incarnation = e.Incarnation + 1
		v.counters.Refutations++
		v.gossip.add(v.selfKey, v.retransmits())
	}
}

func (v *View) setState(h *host, s State, incarnation uint32) {
	if s == Suspect && h.state != Suspect {
		v.suspects = append(v.suspects, h.key)
	}
	if s != Alive && !h.inNotAlive {
		h.inNotAlive = true
		v.notAlive = append(v.notAlive, h.key)
	}
	if (s == Dead) != (h.state == Dead) {
		v.partnersStale = true
	}
	if h.state == Dead && s == Alive {
		v.recoveryUntil = v.now + recoveryPeriods*v.params.Period
	}
	if s == Suspect {
		h.suspectedAt = v.now
	}
	if s != h.state && len(v.changes) < maxChanges {
		v.changes = append(v.changes, Change{ID: h.member.ID, From: h.state, To: s})
	}
	h.locallySuspected = false
	h.state, h.incarnation = s, incarnation
}

// Changes returns the changes since the last call, for the log.
func (v *View) Changes() []Change {
	changes := v.changes
	v.changes = nil
	return changes
}

// buildEntries returns the entries of a message: those of firstKeys (receiver,
// target, corrections), then new updates, then a few already gossiped ones.
func (v *View) buildEntries(firstKeys ...uint64) []Entry {
	list := make([]Entry, 0, 2+refreshEntries)
	appendEntry := func(key uint64) {
		if key == v.selfKey {
			list = append(list, Entry{Key: key, Incarnation: v.incarnation, Leaving: v.leaving, Detached: v.detached})
		} else if h := v.hosts[key]; h != nil && h.nonDefault() &&
			!slices.ContainsFunc(list, func(e Entry) bool { return e.Key == key }) {
			list = append(list, h.entry())
		}
	}
	for _, key := range firstKeys {
		appendEntry(key)
	}
	for _, key := range v.gossip.pop(MaxEntries - 2*refreshEntries - len(list)) {
		appendEntry(key)
	}
	v.appendKnown(&v.notAlive, &v.notAliveCursor, appendEntry, func(h *host) bool { return h.state != Alive })
	v.appendKnown(&v.nonDefault, &v.nonDefaultCursor, appendEntry, (*host).nonDefault)
	return list
}

// appendKnown passes the next refreshEntries keys of the list to appendEntry and
// removes keys that keep rejects.
func (v *View) appendKnown(list *[]uint64, cursor *int, appendEntry func(uint64), keep func(*host) bool) {
	for i := 0; i < refreshEntries && len(*list) > 0; i++ {
		*cursor = (*cursor + 1) % len(*list)
		key := (*list)[*cursor]
		if h := v.hosts[key]; h != nil && keep(h) {
			appendEntry(key)
			continue
		}
		if h := v.hosts[key]; h != nil && list == &v.notAlive {
			h.inNotAlive = false
		}
		*list = slices.Delete(*list, *cursor, *cursor+1)
	}
}

// pickRandom returns the key of a random host that accept approves. It returns
// false if a bounded number of tries finds none.
func (v *View) pickRandom(rng *rand.Rand, accept func(*host) bool) (uint64, bool) {
	const maxTries = 16
	for range min(maxTries, maxTries*len(v.sortedKeys)) {
		key := v.sortedKeys[rng.IntN(len(v.sortedKeys))]
		if accept(v.hosts[key]) {
			return key, true
		}
	}
	return 0, false
}
