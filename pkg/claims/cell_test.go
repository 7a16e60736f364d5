package claims

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
)

var epoch = time.Unix(1_800_000_000, 0)

// sent is a call on its way to the platform. cell is nil once the daemon no
// longer waits for the reply; the call can still take effect then.
type sent struct {
	cell *cell
	call call
}

// send is one sending of a request by a caller and what became of it.
type send struct {
	daemon, key int
	op          *op
	ledgerEnd   bool // the ledger has finished the op that decides about the key
	won         bool
	toldNotRun  bool
	ran         bool
	settling    bool
}

// world is a platform, daemons and an upstream, advanced one step at a time.
type world struct {
	t        *rapid.T
	limits   limits
	perKey   bool
	daemons  []*cell
	down     bool
	version  uint64
	revision uint64
	entries  []*entry
	net      []*sent
	sends    []*send
	runs     map[int]int
	tainted  map[int]bool // keys that a crashed daemon may hold for ever
	resent   int
}

func newWorld(t *rapid.T, perKey bool) *world {
	w := &world{t: t, perKey: perKey, runs: map[int]int{}, tainted: map[int]bool{}}
	room := rapid.SampledFrom([]int{130, 10_000}).Draw(t, "maxBytes")
	w.limits = limits{keep: time.Hour, maxBytes: room, maxResponse: 100, responseRoom: room / 2}
	for range 3 {
		w.daemons = append(w.daemons, newCell(w.limits, perKey))
	}
	return w
}

func pick[T any](t *rapid.T, what string, all []T, ok func(T) bool) T {
	var usable []T
	for _, x := range all {
		if ok(x) {
			usable = append(usable, x)
		}
	}
	if len(usable) == 0 {
		t.Skip("none")
	}
	return usable[rapid.IntRange(0, len(usable)-1).Draw(t, what)]
}

// caller sends a request, possibly with a key that was sent before.
func (w *world) caller(t *rapid.T) {
	keys := 3
	if w.perKey {
		keys = 1
	}
	w.claim(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.IntRange(0, keys-1).Draw(t, "key"),
		rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "body"))
}

func (w *world) claim(daemon, key int, body byte) *send {
	w.resent++
	s := &send{daemon: daemon, key: key}
	s.op = &op{key: digest{byte(key)}, attempt: AttemptID{byte(w.resent), byte(w.resent >> 8), 1}, fingerprint: Fingerprint{body}}
	s.op.finished = func(r Result, err error) {
		w.must(!s.ledgerEnd && !s.toldNotRun, "claim answered twice")
		s.won = err == nil && r.State == Won
		s.toldNotRun = err != nil || r.State == Mismatch
		s.ledgerEnd = !s.won
		if err == nil && r.State == Ran {
			w.must(w.runs[key] == 1, "told ran, but it did not run")
			dropped := r.Response == nil && w.limits.maxBytes < 1000
			w.must(dropped || r.Response != nil && r.Response.Status == 200+key, "response is missing or of another key")
		}
	}
	w.sends = append(w.sends, s)
	w.daemons[daemon].add(s.op)
	return s
}

// daemon lets a daemon issue its next call.
func (w *world) daemon(t *rapid.T) {
	w.issue(pick(t, "cell", w.daemons, func(c *cell) bool { return !c.idle() && !c.inFlight }))
}

func (w *world) issue(c *cell) {
	if k, ok := c.next(epoch); ok {
		w.net = append(w.net, &sent{cell: c, call: k})
	}
}

// apply is what the platform does with a call.
func (w *world) apply(k call) reply {
	switch {
	case k.kind == callGet:
		return reply{version: w.version, entries: slices.Clone(w.entries)}
	case k.kind == callCreate && w.version != 0, k.kind == callUpdate && w.version != k.version:
		return reply{err: platform.ErrConflict}
	}
	value, err := encode(k.entries, epoch)
	w.must(err == nil && len(value) <= w.limits.maxBytes, "value beyond its limit: %d bytes, %v", len(value), err)
	s, err := decode(value)
	w.must(err == nil, "decode: %v", err)
	w.revision++
	w.version, w.entries = w.revision, s.Entries
	return reply{version: w.version}
}

func (w *world) remove(s *sent) {
	w.net = slices.DeleteFunc(w.net, func(o *sent) bool { return o == s })
}

func waiting(s *sent) bool { return s.cell != nil }

// answer delivers a call and its reply.
func (w *world) answer(t *rapid.T) { w.deliver(pick(t, "call", w.net, waiting)) }

func (w *world) deliver(s *sent) {
	w.remove(s)
	if w.down {
		s.cell.receive(reply{err: platform.ErrUnavailable})
		return
	}
	s.cell.receive(w.apply(s.call))
}

// loseReply lets the daemon give up waiting. The call stays under way and
// takes effect at any later time, or never.
func (w *world) loseReply(t *rapid.T) {
	s := pick(t, "call", w.net, waiting)
	c := s.cell
	s.cell = nil
	err := platform.ErrUnknownOutcome
	if s.call.kind == callGet {
		w.remove(s)
		err = platform.ErrUnavailable
	}
	c.receive(reply{err: err})
}

// land lets a call take effect that nobody waits for.
func (w *world) land(t *rapid.T) {
	s := pick(t, "call", w.net, func(s *sent) bool { return !waiting(s) })
	w.remove(s)
	w.apply(s.call)
}

// giveUp ends the wait of a caller: it is told that its request was not run.
func (w *world) giveUp(t *rapid.T) {
	s := pick(t, "send", w.sends, func(s *send) bool { return !s.won && !s.ledgerEnd && !s.toldNotRun })
	told := w.daemons[s.daemon].abandon(s.op, func(Result, error) { s.ledgerEnd = true })
	w.must(told, "claim that waits can not be given up")
	s.toldNotRun = true
}

func open(s *send) bool { return s.won && !s.settling }

// dispatch runs a request that has won, however long its daemon was paused.
func (w *world) dispatch(t *rapid.T) {
	s := pick(t, "send", w.sends, func(s *send) bool { return open(s) && !s.ran })
	w.must(!s.toldNotRun, "dispatched after not run was told")
	s.ran = true
	w.runs[s.key]++
	w.must(w.runs[s.key] <= 1, "key %d ran %d times", s.key, w.runs[s.key])
}

// settle records the outcome of an attempt that has won.
func (w *world) settle(t *rapid.T) {
	s := pick(t, "send", w.sends, open)
	s.settling = true
	o := *s.op
	o.inDoubt, o.doubtVersion = false, 0
	o.goal, o.finished = goalRelease, func(Result, error) { s.ledgerEnd = true }
	if s.ran {
		o.goal, o.response = goalRecord, &Response{Status: 200 + s.key}
	} else {
		s.toldNotRun = true
	}
	w.daemons[s.daemon].add(&o)
}

// crash replaces a daemon. Its calls stay under way.
func (w *world) crash(t *rapid.T) {
	d := rapid.IntRange(0, 2).Draw(t, "daemon")
	for _, s := range w.sends {
		if s.daemon == d && !s.ledgerEnd {
			s.ledgerEnd, s.won, w.tainted[s.key] = true, false, true
		}
	}
	for _, s := range w.net {
		if s.cell == w.daemons[d] {
			s.cell = nil
		}
	}
	w.daemons[d] = newCell(w.limits, w.perKey)
}

func (w *world) must(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf(format, args...)
	}
}

// quiesce heals the platform and lets every daemon finish its work.
func (w *world) quiesce() {
	w.down = false
	for range 1000 {
		for _, c := range w.daemons {
			w.issue(c)
		}
		calls := slices.Clone(w.net)
		busy := false
		for _, s := range calls {
			if waiting(s) {
				w.deliver(s)
				busy = true
			}
		}
		if !busy {
			return
		}
	}
	w.must(false, "the daemons do not come to rest")
}

// checkReleased lets all late calls land and then wins every key that no
// attempt may hold any more.
func (w *world) checkReleased() {
	w.quiesce()
	for _, s := range w.sends {
		if !s.ledgerEnd && !s.won { // refused for want of room while in doubt
			w.daemons[s.daemon].abandon(s.op, func(Result, error) { s.ledgerEnd = true })
		}
	}
	w.quiesce()
	for _, s := range w.net {
		w.apply(s.call)
	}
	w.net = nil
	for key := range 3 {
		held := w.tainted[key]
		for _, s := range w.sends {
			held = held || s.key == key && (s.ran || s.won && !s.settling)
			w.must(s.ledgerEnd || s.won, "send was not answered")
		}
		if held || w.perKey && key > 0 {
			continue
		}
		var s *send
		for range 2 { // the first claim may only find that its state is old
			s = w.claim(key, key, 0)
			w.quiesce()
			if s.won || w.limits.maxBytes < 1000 {
				break
			}
		}
		w.must(s.won || w.limits.maxBytes < 1000, "key %d was released and can't be won", key)
	}
}

func (w *world) run(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"caller": w.caller, "caller2": w.caller, "daemon": w.daemon, "daemon2": w.daemon, "daemon3": w.daemon,
		"answer": w.answer, "answer2": w.answer, "loseReply": w.loseReply, "land": w.land, "giveUp": w.giveUp,
		"dispatch": w.dispatch, "settle": w.settle, "crash": w.crash,
		"outage": func(t *rapid.T) { w.down = rapid.IntRange(0, 3).Draw(t, "down") == 0 },
		"":       func(*rapid.T) {},
	})
	w.checkReleased()
}

var _ = Describe("cell", func() {
	// Guards against an order that runs twice, a "not run" or "ran" that is
	// false, and a key that stays blocked after its release, under any
	// interleaving of daemons, late writes, lost replies, crashes and outages.
	for _, perKey := range []bool{true, false} {
		It(fmt.Sprintf("runs each key at most once (per key: %v)", perKey), func() {
			testkit.Check(GinkgoT(), func(t *rapid.T) { newWorld(t, perKey).run(t) })
		})
	}

	// Guards against a ledger whose promise depends on clocks: the same
	// schedules make a ledger with expiring leases run an order twice.
	It("holds where leases fail", func() {
		twice := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			naive, w := &leases{term: 10}, newWorld(t, true)
			var held []*send
			var runs, now int
			t.Repeat(map[string]func(*rapid.T){
				"claim": func(t *rapid.T) {
					d := rapid.IntRange(0, 2).Draw(t, "daemon")
					naive.claim(d, now)
					held = append(held, w.claim(d, 0, 0))
					w.quiesce()
				},
				"dispatch": func(t *rapid.T) {
					if naive.dispatch(rapid.IntRange(0, 2).Draw(t, "daemon")) {
						runs++
					}
					w.dispatch(t)
				},
				"pause": func(t *rapid.T) { now += rapid.IntRange(1, 20).Draw(t, "pause") },
			})
			if runs > 1 {
				twice++
			}
			w.must(w.runs[0] <= 1, "ran %d times", w.runs[0])
		})
		Expect(twice).To(BeNumerically(">", 0), "the schedules never pause a lease holder")
	})

	// Guards against keys that are forgotten early, or kept for ever.
	It("keeps entries for the retention and prunes them in a later write", func() {
		w := &world{limits: limits{keep: time.Hour, maxBytes: 1000}}
		c := newCell(w.limits, true)
		claim := func(id byte, now time.Time) (state State) {
			c.add(&op{attempt: AttemptID{id}, finished: func(r Result, err error) { state = r.State }})
			for k, ok := c.next(now); ok; k, ok = c.next(now) {
				c.receive(w.apply(k))
			}
			return state
		}
		Expect(claim(1, epoch)).To(Equal(Won))
		Expect(claim(2, epoch.Add(time.Hour))).To(Equal(Unsettled))
		Expect(claim(3, epoch.Add(time.Hour+time.Second))).To(Equal(Won))
		Expect(w.entries).To(HaveLen(1))
	})
})

// leases is a ledger that hands a key to the next daemon when the holder's
// lease has run out. A holder checks its lease when it claims, as a process
// that is paused before it dispatches does.
type leases struct {
	term, until int
	holder      int
	granted     [3]bool
	done        bool
}

func (l *leases) claim(daemon, now int) {
	if l.done || l.until > now {
		return
	}
	l.holder, l.until = daemon, now+l.term
	l.granted[daemon] = true
}

func (l *leases) dispatch(daemon int) bool {
	if !l.granted[daemon] {
		return false
	}
	l.granted[daemon] = false
	l.done = l.holder == daemon
	return true
}
