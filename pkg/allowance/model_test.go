package allowance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// model is a fleet in simulated time. It uses the decision cores of the package and has no
// network, clock or goroutines.
type model struct {
	now      time.Duration
	events   eventQueue
	sequence int
	random   *rand.Rand
	limits   Limits
	// rate and burst are those of the only account.
	rate, burst float64
	hosts       []*modelHost
	object      platform.Object
	revision    uint64
	// era rises when the platform comes back from a copy; versions contain it.
	era uint64
	// entries has the registered process of each host.
	entries map[string]platform.Object
	// cut tells whether messages from one host to another are lost now, storeFault what
	// happens to a call of a host to the platform.
	cut        func(from, to int) bool
	storeFault func(host int) error
	// unserved is the share of requests that return their token if they are admitted, within
	// the time held.
	unserved float64
	held     time.Duration
	// arrived has the arrival times of the other requests.
	arrived []time.Duration
	// ran has the admission times of the requests that ran, after which they may have
	// waited up to 3 s for an upstream.
	ran                       []time.Duration
	refused                   map[Reason]int
	reserves, messages, bytes int
	terms                     int
}

type modelHost struct {
	index, starts int
	wallet        *Wallet
	shard         *Shard
	alive         bool
	frozenUntil   time.Duration
	waiting       []pendingRequest
	wakeAt        time.Duration
	// era is the highest one in a reply of the platform to this process, plus 1; 0 is none.
	era uint64
}

// pendingRequest is a request that waits for a token.
type pendingRequest struct {
	*Waiter
	unserved bool
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newModel(seed uint64, hosts int, rate, burst float64) *model {
	m := &model{
		// A time of 0 has a meaning in the cores; no host has just been booted.
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, burst: burst,
		limits: Limits{}.withDefaults(), held: 3 * time.Second, entries: map[string]platform.Object{}, refused: map[Reason]int{},
		cut: func(int, int) bool { return false }, storeFault: func(int) error { return nil },
	}
	for i := range hosts {
		h := &modelHost{index: i}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

func (m *model) name(i int) string { return fmt.Sprint("h", i) }

// start starts a process on a host and registers it.
func (m *model) start(h *modelHost) {
	h.starts++
	h.alive, h.frozenUntil, h.waiting, h.wakeAt, h.era = true, 0, nil, never, 0
	id := fmt.Sprintf("%s.%d", m.name(h.index), h.starts)
	h.wallet = NewWallet(m.limits, id, m.random)
	h.shard = NewShard(m.limits, Self{ID: id, Host: m.name(h.index), Address: fmt.Sprint(h.index), Started: m.now}, 1, func(host string) (string, uint64, bool) {
		o, ok := m.entries[host]
		return string(o.Value), o.Version, ok
	}, m.random)
	entry, era := platform.Object{Version: m.nextVersion(), Value: []byte(id)}, m.era
	m.after(200*time.Millisecond, func() {
		if m.era == era {
			m.entries[m.name(h.index)] = entry
		}
	})
}

// versionOf is platform.VersionOf for numbers in range.
func versionOf(era, revision uint64) uint64 {
	version, err := platform.VersionOf(era, revision)
	if err != nil {
		panic(err)
	}
	return version
}

func (m *model) nextVersion() uint64 {
	m.revision++
	return versionOf(m.era, m.revision)
}

// inEra returns a version with the same revision in the present era.
func (m *model) inEra(version uint64) uint64 {
	_, revision := platform.SplitVersion(version)
	return versionOf(m.era, revision)
}

// copyAndRestore copies the platform at one time and restores the copy at a later one. The
// daemons rewrite their entries afterwards.
func (m *model) copyAndRestore(copyAt, restoreAt time.Duration) {
	var object platform.Object
	var entries map[string]platform.Object
	var revision uint64
	m.after(copyAt-m.now, func() { object, entries, revision = m.object, maps.Clone(m.entries), m.revision })
	m.after(restoreAt-m.now, func() {
		m.era++
		m.object, m.entries, m.revision = object, entries, revision
		if object.Version > 0 {
			m.object.Version = m.inEra(object.Version)
		}
		for name, e := range entries {
			e.Version = m.inEra(e.Version)
			m.entries[name] = e
		}
		for _, h := range m.hosts {
			m.on(h, time.Duration(m.random.IntN(2000))*time.Millisecond, func() {
				if id := h.wallet.link.self; string(m.entries[m.name(h.index)].Value) != id {
					m.entries[m.name(h.index)] = platform.Object{Version: m.nextVersion(), Value: []byte(id)}
				}
			})
		}
	})
}

func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

// on runs an action at a host's process, later if it is frozen, and then what has become due.
func (m *model) on(h *modelHost, d time.Duration, action func()) {
	start := h.starts
	m.after(d, func() {
		switch {
		case !h.alive || h.starts != start:
		case m.now < h.frozenUntil:
			m.on(h, h.frozenUntil-m.now, action)
		default:
			action()
			m.pump(h)
		}
	})
}

func (m *model) run(d time.Duration) {
	end := m.now + d
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

func (m *model) delay() time.Duration {
	return time.Duration(500+m.random.IntN(3000)) * time.Microsecond
}

func (m *model) policy(string) (float64, float64, bool) { return m.rate, m.burst, true }

func (m *model) candidates() (out []Candidate) {
	for i, h := range m.hosts {
		if h.alive {
			out = append(out, Candidate{ID: fmt.Sprintf("%s.%d", m.name(i), h.starts), Address: fmt.Sprint(i)})
		}
	}
	return out
}

// pump makes the calls and messages of a host that are due.
func (m *model) pump(h *modelHost) {
	wake := never
	for {
		call, at := h.wallet.Next(m.now, m.candidates, 1)
		if call == nil {
			wake = at
			break
		}
		m.send(h, call)
	}
	op, at := h.shard.Step(m.now)
	if op.Kind != NoOperation {
		m.callStore(h, op)
	}
	if wake = min(wake, at); wake < never && (wake < h.wakeAt || h.wakeAt <= m.now) {
		h.wakeAt = wake
		m.on(h, wake-m.now, func() {})
	}
	if h.shard.ShouldOffer(m.now) {
		m.offer(h)
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(w pendingRequest) bool {
		if w.settled {
			m.finish(h, w.Outcome, w.unserved)
		}
		return w.settled
	})
}

func (m *model) send(h *modelHost, call *Call) {
	to, _ := strconv.Atoi(call.Target.Address)
	if to == h.index {
		h.wallet.Reply(m.now, h.shard.Handle(m.now, h.wallet.link.self, call.Request, 1, m.policy))
		return
	}
	body, _ := encode(call.Request)
	m.messages++
	m.bytes += len(body)
	seq, from := call.Request.Seq, h.wallet.link.self
	inFlight := func() bool { return h.wallet.flight != nil && h.wallet.flight.seq == seq }
	m.on(h, callTimeout, func() {
		if inFlight() {
			h.wallet.Fail(m.now)
		}
	})
	if m.cut(h.index, to) {
		return
	}
	target := m.hosts[to]
	m.on(target, m.delay(), func() {
		r, err := decodeRequest(body)
		if err != nil {
			panic(err)
		}
		reply, _ := encode(target.shard.Handle(m.now, from, r, 1, m.policy))
		m.bytes += len(reply)
		if m.cut(to, h.index) {
			return
		}
		m.on(h, m.delay(), func() {
			if decoded, err := decodeReply(reply); err == nil && inFlight() {
				h.wallet.Reply(m.now, decoded)
			}
		})
	})
}

// offer gives the lease of a host without the platform to the first other that has it.
func (m *model) offer(h *modelHost) {
	for i, other := range m.hosts {
		if i != h.index && other.alive && m.now >= other.frozenUntil && m.storeFault(i) == nil && !m.cut(h.index, i) && !m.cut(i, h.index) {
			term := h.shard.Resign(m.now)
			h.shard.SetSuccessor(Candidate{ID: other.wallet.link.self, Address: fmt.Sprint(i)})
			m.on(other, m.delay(), func() {
				other.shard.Handle(m.now, "", &Request{Resigned: term}, 1, m.policy)
			})
			return
		}
	}
}

func (m *model) callStore(h *modelHost, op Operation) {
	started := m.now
	done := func(o platform.Object, err error) {
		m.on(h, m.delay(), func() {
			held := h.shard.lease.held
			h.shard.Done(m.now, started, op, o, err)
			if !held && h.shard.lease.held {
				m.terms++
			}
		})
	}
	expected := h.era
	if op.Kind == UpdateLease {
		if expected > 0 && platform.EraOf(op.Version) != expected-1 {
			done(platform.Object{}, platform.ErrConflict)
			return
		}
		expected = platform.EraOf(op.Version) + 1
	}
	m.after(m.delay(), func() {
		fault := m.storeFault(h.index)
		if errors.Is(fault, platform.ErrUnavailable) {
			done(platform.Object{}, fault)
			return
		}
		era := m.era
		o, err := m.store(op)
		if op.Kind != ReadLease && err == nil && expected > 0 && expected != era+1 {
			err = platform.ErrUnknownOutcome
		}
		if fault == nil {
			m.on(h, 0, func() { h.era = max(h.era, era+1) })
		}
		if fault != nil && op.Kind != ReadLease {
			err = fault
		}
		done(o, err)
	})
}

func (m *model) store(op Operation) (platform.Object, error) {
	exists := m.object.Version > 0
	switch {
	case op.Kind == ReadLease && exists:
		return m.object, nil
	case op.Kind == ReadLease:
		return platform.Object{}, platform.ErrNotFound
	case op.Kind == CreateLease && exists, op.Kind == UpdateLease && m.object.Version != m.inEra(op.Version):
		return platform.Object{}, platform.ErrConflict
	}
	m.object = platform.Object{Version: m.nextVersion(), Value: op.Value}
	return m.object, nil
}

// arrive sends one request to a host.
func (m *model) arrive(h *modelHost) {
	unserved := m.random.Float64() < m.unserved
	if !unserved {
		m.arrived = append(m.arrived, m.now)
	}
	m.on(h, 0, func() {
		limit := h.wallet.WaitLimit(m.now, time.Duration(200+m.random.IntN(2000))*time.Millisecond)
		outcome, waiter := h.wallet.Take(m.now, "a", m.rate, m.burst, limit)
		if waiter == nil {
			m.finish(h, outcome, unserved)
			return
		}
		h.waiting = append(h.waiting, pendingRequest{waiter, unserved})
		m.on(h, limit-m.now, func() { h.wallet.Expire(m.now, waiter) })
	})
}

// finish records the decision about a request.
func (m *model) finish(h *modelHost, o Outcome, unserved bool) {
	t := o.Ticket
	if t == nil {
		m.refused[o.Reason]++
		return
	}
	if unserved {
		m.on(h, time.Duration(m.random.Int64N(int64(m.held))), func() { h.wallet.Release(m.now, t) })
		return
	}
	if t.Reserve {
		m.reserves++
	}
	m.ran = append(m.ran, m.now)
}

// load makes requests arrive at all hosts for a time, rate per second altogether. A part of
// them, skew, goes to the first host.
func (m *model) load(rate, skew float64, d time.Duration) {
	for at := 0.0; at < d.Seconds(); at += m.random.ExpFloat64() / rate {
		h := m.hosts[m.random.IntN(len(m.hosts))]
		if m.random.Float64() < skew {
			h = m.hosts[0]
		}
		m.after(seconds(at), func() { m.arrive(h) })
	}
}

// admissible returns how many of the requests that arrived since a time one token bucket
// for the whole fleet admits, which is empty at first.
func (m *model) admissible(since time.Duration) (n int) {
	level, at := 0.0, since
	for _, arrived := range m.arrived {
		if arrived < since {
			continue
		}
		level = min(max(m.burst, 1), level+m.rate*(arrived-at).Seconds())
		at = arrived
		if level >= 1 {
			level--
			n++
		}
	}
	return n
}

// most returns the largest number of requests that ran within one window.
func (m *model) most() (n int) {
	first := 0
	for i, at := range m.ran {
		for m.ran[first] <= at-m.limits.Window {
			first++
		}
		n = max(n, i+1-first)
	}
	return n
}
