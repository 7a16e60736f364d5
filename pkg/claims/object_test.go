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

// sentCall is a call on its way to the platform. object is nil if the daemon no
// longer waits for the reply; the call can still take effect.
type sentCall struct {
	object *claimObject
	call   call
}

// request is a request sent by a caller, with its result.
type request struct {
	daemon, key     int
	operation       *operation
	ledgerDone      bool // the last operation of the attempt is complete
	won             bool
	reportedNotRun  bool
	ran             bool
	outcomeRecorded bool
}

// simulation models a platform, daemons and an upstream. It advances one step at a
// time.
type simulation struct {
	t            *rapid.T
	limits       limits
	objectPerKey bool
	daemons      []*claimObject
	down         bool
	version      uint64
	revision     uint64
	entries      []*entry
	calls        []*sentCall
	requests     []*request
	runs         map[int]int
	blockedKeys  map[int]bool // keys that a crashed daemon may have claimed
	attempts     int
}

func newSimulation(t *rapid.T, perKey bool) *simulation {
	sim := &simulation{t: t, objectPerKey: perKey, runs: map[int]int{}, blockedKeys: map[int]bool{}}
	maxBytes := rapid.SampledFrom([]int{130, 10_000}).Draw(t, "maxBytes")
	sim.limits = limits{entryTTL: time.Hour, maxObjectBytes: maxBytes, maxResponseBytes: 100, maxBytesWithResponse: maxBytes / 2}
	for range 3 {
		sim.daemons = append(sim.daemons, newClaimObject(sim.limits, perKey))
	}
	return sim
}

// pick draws one of the usable elements, or skips the step if there is none.
func pick[T any](t *rapid.T, label string, all []T, usable func(T) bool) T {
	var candidates []T
	for _, x := range all {
		if usable(x) {
			candidates = append(candidates, x)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no usable candidate")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, label)]
}

// sendRequest sends a request, possibly with a key that was sent before.
func (sim *simulation) sendRequest(t *rapid.T) {
	keys := 3
	if sim.objectPerKey {
		keys = 1
	}
	sim.claim(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.IntRange(0, keys-1).Draw(t, "key"),
		rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "body"))
}

func (sim *simulation) claim(daemon, key int, body byte) *request {
	sim.attempts++
	s := &request{daemon: daemon, key: key}
	s.operation = &operation{key: digest{byte(key)}, attempt: AttemptID{byte(sim.attempts), byte(sim.attempts >> 8), 1}, fingerprint: Fingerprint{body}}
	s.operation.onDone = func(r Result, err error) {
		sim.require(!s.ledgerDone && !s.reportedNotRun, "claim answered twice")
		s.won = err == nil && r.State == Won
		s.reportedNotRun = err != nil || r.State == Mismatch
		s.ledgerDone = !s.won
		if err == nil && r.State == Ran {
			sim.require(sim.runs[key] == 1, "result is Ran, but the request did not run")
			dropped := r.Response == nil && sim.limits.maxObjectBytes < 1000
			sim.require(dropped || r.Response != nil && r.Response.Status == 200+key, "response is missing or belongs to another key")
		}
	}
	sim.requests = append(sim.requests, s)
	sim.daemons[daemon].enqueue(s.operation)
	return s
}

// issueRandomCall lets a daemon send its next call.
func (sim *simulation) issueRandomCall(t *rapid.T) {
	sim.issueCall(pick(t, "object", sim.daemons, func(c *claimObject) bool { return !c.idle() && !c.inFlight }))
}

func (sim *simulation) issueCall(c *claimObject) {
	if k, ok := c.nextCall(epoch); ok {
		sim.calls = append(sim.calls, &sentCall{object: c, call: k})
	}
}

// applyCall applies a call to the platform and returns its reply.
func (sim *simulation) applyCall(k call) reply {
	switch {
	case k.kind == callGet:
		return reply{version: sim.version, entries: slices.Clone(sim.entries)}
	case k.kind == callCreate && sim.version != 0, k.kind == callUpdate && sim.version != k.version:
		return reply{err: platform.ErrConflict}
	}
	value, err := encode(k.entries, epoch)
	sim.require(err == nil && len(value) <= sim.limits.maxObjectBytes, "value of %d bytes exceeds the limit or was not encoded: %v", len(value), err)
	s, err := decode(value)
	sim.require(err == nil, "decode: %v", err)
	sim.revision++
	sim.version, sim.entries = sim.revision, s.Entries
	return reply{version: sim.version}
}

func (sim *simulation) removeCall(s *sentCall) {
	sim.calls = slices.DeleteFunc(sim.calls, func(o *sentCall) bool { return o == s })
}

func awaitsReply(s *sentCall) bool { return s.object != nil }

// deliverRandomCall delivers a call to the platform and its reply to the daemon.
func (sim *simulation) deliverRandomCall(t *rapid.T) {
	sim.deliverCall(pick(t, "call", sim.calls, awaitsReply))
}

func (sim *simulation) deliverCall(s *sentCall) {
	sim.removeCall(s)
	if sim.down {
		s.object.handleReply(reply{err: platform.ErrUnavailable})
		return
	}
	s.object.handleReply(sim.applyCall(s.call))
}

// loseReply ends the daemon's wait for a reply. A write stays in flight and takes
// effect at any later time, or never.
func (sim *simulation) loseReply(t *rapid.T) {
	s := pick(t, "call", sim.calls, awaitsReply)
	c := s.object
	s.object = nil
	err := platform.ErrUnknownOutcome
	if s.call.kind == callGet {
		sim.removeCall(s)
		err = platform.ErrUnavailable
	}
	c.handleReply(reply{err: err})
}

// applyLateCall applies a call whose reply was lost.
func (sim *simulation) applyLateCall(t *rapid.T) {
	s := pick(t, "call", sim.calls, func(s *sentCall) bool { return !awaitsReply(s) })
	sim.removeCall(s)
	sim.applyCall(s.call)
}

// abandonClaim ends the wait of a caller with the answer "not run".
func (sim *simulation) abandonClaim(t *rapid.T) {
	s := pick(t, "request", sim.requests, func(s *request) bool { return !s.won && !s.ledgerDone && !s.reportedNotRun })
	abandoned := sim.daemons[s.daemon].abandon(s.operation, func(Result, error) { s.ledgerDone = true })
	sim.require(abandoned, "a pending claim was not abandoned")
	s.reportedNotRun = true
}

func wonWithoutOutcome(s *request) bool { return s.won && !s.outcomeRecorded }

// dispatch runs a request that has won its key, after any pause of its daemon.
func (sim *simulation) dispatch(t *rapid.T) {
	s := pick(t, "request", sim.requests, func(s *request) bool { return wonWithoutOutcome(s) && !s.ran })
	sim.require(!s.reportedNotRun, "request was dispatched after it was reported as not run")
	s.ran = true
	sim.runs[s.key]++
	sim.require(sim.runs[s.key] <= 1, "key %d ran %d times", s.key, sim.runs[s.key])
}

// recordOutcome records the outcome of an attempt that has won its key.
func (sim *simulation) recordOutcome(t *rapid.T) {
	s := pick(t, "request", sim.requests, wonWithoutOutcome)
	s.outcomeRecorded = true
	o := *s.operation
	o.uncertainWrite, o.uncertainVersion = false, 0
	o.kind, o.onDone = releaseOperation, func(Result, error) { s.ledgerDone = true }
	if s.ran {
		o.kind, o.response = recordOperation, &Response{Status: 200 + s.key}
	} else {
		s.reportedNotRun = true
	}
	sim.daemons[s.daemon].enqueue(&o)
}

// crash replaces a daemon with a new one. Its calls stay in flight.
func (sim *simulation) crash(t *rapid.T) {
	d := rapid.IntRange(0, 2).Draw(t, "daemon")
	for _, s := range sim.requests {
		if s.daemon == d && !s.ledgerDone {
			s.ledgerDone, s.won, sim.blockedKeys[s.key] = true, false, true
		}
	}
	for _, s := range sim.calls {
		if s.object == sim.daemons[d] {
			s.object = nil
		}
	}
	sim.daemons[d] = newClaimObject(sim.limits, sim.objectPerKey)
}

func (sim *simulation) require(ok bool, format string, args ...any) {
	if !ok {
		sim.t.Fatalf(format, args...)
	}
}

// quiesce ends an outage and delivers calls until all daemons are idle.
func (sim *simulation) quiesce() {
	sim.down = false
	for range 1000 {
		for _, c := range sim.daemons {
			sim.issueCall(c)
		}
		calls := slices.Clone(sim.calls)
		delivered := false
		for _, s := range calls {
			if awaitsReply(s) {
				sim.deliverCall(s)
				delivered = true
			}
		}
		if !delivered {
			return
		}
	}
	sim.require(false, "the daemons do not become idle")
}

// checkReleased applies all late calls and then checks that every released key
// can be won again.
func (sim *simulation) checkReleased() {
	sim.quiesce()
	for _, s := range sim.requests {
		if !s.ledgerDone && !s.won { // the object was full while the write was uncertain
			sim.daemons[s.daemon].abandon(s.operation, func(Result, error) { s.ledgerDone = true })
		}
	}
	sim.quiesce()
	for _, s := range sim.calls {
		sim.applyCall(s.call)
	}
	sim.calls = nil
	for key := range 3 {
		claimed := sim.blockedKeys[key]
		for _, s := range sim.requests {
			claimed = claimed || s.key == key && (s.ran || s.won && !s.outcomeRecorded)
			sim.require(s.ledgerDone || s.won, "request was not answered")
		}
		if claimed || sim.objectPerKey && key > 0 {
			continue
		}
		var s *request
		for range 2 { // the first claim may only find that the known state is out of date
			s = sim.claim(key, key, 0)
			sim.quiesce()
			if s.won || sim.limits.maxObjectBytes < 1000 {
				break
			}
		}
		sim.require(s.won || sim.limits.maxObjectBytes < 1000, "key %d was released, but cannot be won", key)
	}
}

func (sim *simulation) run(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"caller": sim.sendRequest, "caller2": sim.sendRequest, "daemon": sim.issueRandomCall, "daemon2": sim.issueRandomCall, "daemon3": sim.issueRandomCall,
		"answer": sim.deliverRandomCall, "answer2": sim.deliverRandomCall, "loseReply": sim.loseReply, "land": sim.applyLateCall, "giveUp": sim.abandonClaim,
		"dispatch": sim.dispatch, "settle": sim.recordOutcome, "crash": sim.crash,
		"outage": func(t *rapid.T) { sim.down = rapid.IntRange(0, 3).Draw(t, "down") == 0 },
		"":       func(*rapid.T) {},
	})
	sim.checkReleased()
}

var _ = Describe("claimObject", func() {
	// Guards against a request that runs twice, a false answer "not run" or
	// "ran", and a key that stays blocked after its release, with any
	// interleaving of daemons, late writes, lost replies, crashes and outages.
	for _, perKey := range []bool{true, false} {
		It(fmt.Sprintf("runs each key at most once (object per key: %v)", perKey), func() {
			testkit.Check(GinkgoT(), func(t *rapid.T) { newSimulation(t, perKey).run(t) })
		})
	}

	// Guards against a ledger whose guarantee depends on clocks. With the same
	// schedules, a ledger with expiring leases runs a request twice.
	It("runs a key at most once where expiring leases run it twice", func() {
		repeatedRuns := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			leasing, sim := &leaseLedger{term: 10}, newSimulation(t, true)
			var requests []*request
			var runs, now int
			t.Repeat(map[string]func(*rapid.T){
				"claim": func(t *rapid.T) {
					d := rapid.IntRange(0, 2).Draw(t, "daemon")
					leasing.claim(d, now)
					requests = append(requests, sim.claim(d, 0, 0))
					sim.quiesce()
				},
				"dispatch": func(t *rapid.T) {
					if leasing.dispatch(rapid.IntRange(0, 2).Draw(t, "daemon")) {
						runs++
					}
					sim.dispatch(t)
				},
				"pause": func(t *rapid.T) { now += rapid.IntRange(1, 20).Draw(t, "pause") },
			})
			if runs > 1 {
				repeatedRuns++
			}
			sim.require(sim.runs[0] <= 1, "ran %d times", sim.runs[0])
		})
		Expect(repeatedRuns).To(BeNumerically(">", 0), "no schedule made the ledger with leases run a request twice")
	})

	// Guards against entries that are removed too early or never.
	It("keeps entries for the retention and prunes them in a later write", func() {
		sim := &simulation{limits: limits{entryTTL: time.Hour, maxObjectBytes: 1000}}
		c := newClaimObject(sim.limits, true)
		claim := func(id byte, now time.Time) (state State) {
			c.enqueue(&operation{attempt: AttemptID{id}, onDone: func(r Result, err error) { state = r.State }})
			for k, ok := c.nextCall(now); ok; k, ok = c.nextCall(now) {
				c.handleReply(sim.applyCall(k))
			}
			return state
		}
		Expect(claim(1, epoch)).To(Equal(Won))
		Expect(claim(2, epoch.Add(time.Hour))).To(Equal(Unresolved))
		Expect(claim(3, epoch.Add(time.Hour+time.Second))).To(Equal(Won))
		Expect(sim.entries).To(HaveLen(1))
	})
})

// leaseLedger is a ledger that grants a key to another daemon after the holder's
// lease has expired. The holder checks its lease only when it claims, like a
// process that is paused between claim and dispatch.
type leaseLedger struct {
	term, expiresAt int
	holder          int
	granted         [3]bool
	ran             bool
}

func (l *leaseLedger) claim(daemon, now int) {
	if l.ran || l.expiresAt > now {
		return
	}
	l.holder, l.expiresAt = daemon, now+l.term
	l.granted[daemon] = true
}

func (l *leaseLedger) dispatch(daemon int) bool {
	if !l.granted[daemon] {
		return false
	}
	l.granted[daemon] = false
	l.ran = l.holder == daemon
	return true
}
