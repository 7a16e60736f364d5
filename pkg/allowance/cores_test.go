package allowance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
)

const start = time.Hour

// Guards against a bucket that is filled by requests which queued for seconds and were then
// refused together: as many others would run within one window.
func TestReturnedTokensDoNotAddUp(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		rate, size := 100.0, rapid.SampledFrom([]float64{1, 10, 100}).Draw(t, "size")
		b := newBucket(rate, size, size, start)
		type grant struct {
			at    time.Duration
			stamp uint64
		}
		var kept, pending []grant
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Millisecond
			b.settle(now)
			for range min(int(b.level), rapid.IntRange(0, 40).Draw(t, "wanted")) {
				b.take(1)
				pending = append(pending, grant{now, stampOf(now)})
			}
			for range min(len(pending), rapid.IntRange(0, 60).Draw(t, "ended")) {
				if rapid.Bool().Draw(t, "returned") {
					b.giveBack(now, pending[0].stamp, 1)
				} else {
					kept = append(kept, pending[0])
				}
				pending = pending[1:]
			}
		}
		kept = append(kept, pending...)
		for i := range kept {
			for j := i; j < len(kept); j++ {
				if n, most := float64(j-i+1), size+rate*(kept[j].at-kept[i].at).Seconds(); n > most+1e-6 {
					t.Fatalf("%v tokens were kept of %v, more than %v", n, kept[j].at-kept[i].at, most)
				}
			}
		}
	})
}

// Guards against a bucket that does not get back the tokens of requests that did not run.
func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	b := newBucket(1, 100, 100, start)
	b.take(100)
	b.giveBack(start+200*time.Millisecond, stampOf(start), 60)
	if b.level < 60 {
		t.Fatalf("level %v", b.level)
	}
}

// Guards against reserve tokens that exceed their limit over lost replies, restarted entry
// daemons and hosts that are cut off.
func TestReservesStayWithinTheirLimit(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		limits := Limits{}.withDefaults()
		g := NewGrantor(limits, Tenure{Term: 7, First: true})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		wallets := make([]*Wallet, 3)
		for i := range wallets {
			wallets[i] = NewWallet(limits, "self", random)
		}
		var used []time.Duration
		now := start
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, len(wallets)-1).Draw(t, "entry")
			w := wallets[i]
			_, _ = w.Take(now, "a", 20, 20, now+time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0: // Restarted.
				wallets[i] = NewWallet(limits, "self", random)
			case 1, 2: // Cut off: every reserve token is used.
				for a := w.accounts["a"]; a.reserve > 0 && now < a.reserveUntil; {
					w.withoutGrantor(now, a)
					used = append(used, now)
				}
			default:
				call, _ := w.Next(now, func() []Candidate { return []Candidate{{ID: "g", Address: "g"}} }, 1)
				if call == nil {
					continue
				}
				reply := g.Handle(now, "e"+string(rune('0'+i)), call.Request, 1, func(string) (float64, float64, bool) { return 20, 20, true })
				if rapid.Bool().Draw(t, "lost") {
					w.Fail(now)
				} else {
					w.Reply(now, reply)
				}
			}
		}
		most, first := limits.reserveSize(20, 20), 0
		for i, at := range used {
			for used[first] <= at-limits.Window {
				first++
			}
			if n := i + 1 - first; float64(n) > most {
				t.Fatalf("%d reserve tokens were used in a window, the limit is %v", n, most)
			}
		}
	})
}

// Guards against a token that is used after its lifetime, and against a reply that arrives
// after its message was given up.
func TestLateTokensAreNotUsed(t *testing.T) {
	w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
	candidates := func() []Candidate { return []Candidate{{ID: "g"}} }
	take := func(now time.Duration) (Outcome, *Waiter) { return w.Take(now, "a", 10, 10, now+maxWait) }
	_, first := take(start)
	call, _ := w.Next(start, candidates, 1)
	if call == nil || call.Request.Asks[0].Need != 1 {
		t.Fatalf("call %+v", call)
	}
	grant := &Reply{Status: Granted, Term: 1, Stamp: 1, Grants: []Grant{{Tokens: 3}}}
	w.Reply(start+100*time.Millisecond, grant)
	w.Reply(start+100*time.Millisecond, grant)
	if first.Outcome.Ticket == nil || w.accounts["a"].tokens() != 2 {
		t.Fatalf("first request %+v, %d tokens", first.Outcome, w.accounts["a"].tokens())
	}
	if o, _ := take(start + 249*time.Millisecond); o.Ticket == nil {
		t.Fatal("no token before the end of the lifetime")
	}
	if o, _ := take(start + 250*time.Millisecond); o.Ticket != nil {
		t.Fatal("a token was used after its lifetime")
	}
	if returns := w.accounts["a"].returns; len(returns) != 1 || returns[0].Count != 1 {
		t.Fatalf("returns %v", returns)
	}
}

// Guards against reserve tokens that are not counted as used, because the first message after a
// change of the grantor stated a larger count of the term before.
func TestReservesOfAnEarlierTermAreNotSubtracted(t *testing.T) {
	g := NewGrantor(Limits{}, Tenure{Term: 2, First: true})
	policy := func(string) (float64, float64, bool) { return 20, 20, true }
	handle := func(now time.Duration, r *Request) Grant { return g.Handle(now, "e", r, 1, policy).Grants[0] }
	handle(start, &Request{Seq: 1, Term: 1, Asks: []Ask{{Name: "a", Need: 1, Spent: 9}}})
	held := handle(start+time.Second, &Request{Seq: 2, Acked: 1, Term: 2, Asks: []Ask{{Name: "a", Need: 1}}}).Reserve
	most := Limits{}.withDefaults().reserveSize(20, 20)
	left := handle(start+2*time.Second, &Request{Seq: 3, Acked: 2, Term: 2, Asks: []Ask{{Name: "a", Need: 1, Spent: 9}}}).Reserve
	if held < 9 || float64(left+9) > most {
		t.Fatalf("%d reserve tokens held, 9 used, and %d held again; the limit is %v", held, left, most)
	}
}

// Guards against a reserve token whose use is reported before it happened, because a request
// whose use was reported earlier has returned its token.
func TestReportedUseOfAReserveTokenIsFinal(t *testing.T) {
	w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
	_, _ = w.Take(start, "a", 10, 10, start+maxWait)
	a := w.accounts["a"]
	a.reserve, a.reserveUntil = 5, start+DefaultWindow
	first := w.withoutGrantor(start, a)
	ask, _ := w.ask(start, a)
	second := w.withoutGrantor(start+time.Second, a)
	w.Release(start+time.Second, first.Ticket)
	if a.spent != ask.Spent+1 || a.reserve != 3 {
		t.Fatalf("%d uses counted and %d tokens left after a reported and an unreported use", a.spent, a.reserve)
	}
	if w.Release(start+time.Second, second.Ticket); a.spent != ask.Spent || a.reserve != 4 {
		t.Fatalf("%d uses counted and %d tokens left after the unreported use was returned", a.spent, a.reserve)
	}
}

// leaseStep is one event in the life of a lease that another daemon has written.
type leaseStep struct {
	name   string
	record Record
	// version and base tell whether the platform came back from a copy.
	version      uint64
	entryID      string
	entryVersion uint64
	resigned     uint32
	// immediately tells whether the lease is taken over at the first look.
	immediately bool
}

// Guards against two grantors at a time, and against seconds without one after a restart,
// a shutdown or a loss of power.
func TestTakeover(t *testing.T) {
	other := Record{Holder: "h2.1", Host: "h2", Term: 5, Base: 9, Shards: 1}
	with := func(change func(*Record)) Record {
		r := other
		change(&r)
		return r
	}
	era := versionOf(1, 0)
	for _, c := range []leaseStep{
		{name: "alive", record: other, version: 10, entryID: "h2.1", entryVersion: 3},
		{name: "released", record: with(func(r *Record) { r.Released = true }), version: 10, immediately: true},
		{name: "resigned by message", record: other, version: 10, resigned: 5, immediately: true},
		{name: "another term resigned", record: other, version: 10, resigned: 4},
		{name: "host restarted", record: other, version: 10, entryID: "h2.2", entryVersion: 11, immediately: true},
		{name: "entry older than the lease", record: other, version: 10, entryID: "h2.0", entryVersion: 8},
		{name: "this host restarted", record: with(func(r *Record) { r.Host = "h1" }), version: 10, immediately: true},
		{name: "another number of shards", record: with(func(r *Record) { r.Released, r.Shards = true, 2 }), version: 10},
		{name: "released, from before the copy", record: with(func(r *Record) { r.Released = true }), version: era + 10},
		{name: "restarted, entry from before the copy", record: with(func(r *Record) { r.Base = era + 9 }), version: era + 10, entryID: "h2.2", entryVersion: 11},
	} {
		s := NewShard(Limits{}, Self{ID: "h1.1", Host: "h1"}, 1, func(string) (string, uint64, bool) { return c.entryID, c.entryVersion, c.entryID != "" }, rand.New(rand.NewPCG(1, 1)))
		s.lease.resigned, s.lease.resignedAt = c.resigned, start
		l := &s.lease
		op, _ := l.step(start, true, s.entry, s.random.Uint32)
		if op.Kind != ReadLease {
			t.Fatalf("%s: first call %v", c.name, op.Kind)
		}
		l.done(start, start, op, platform.Object{Version: c.version, Value: encodeRecord(c.record)}, nil)
		op, at := l.step(start, true, s.entry, s.random.Uint32)
		if got := op.Kind == UpdateLease; got != c.immediately {
			t.Errorf("%s: taken over at once: %v", c.name, got)
		}
		if c.immediately {
			continue
		}
		if op, _ := l.step(start+takeoverWait-1, true, s.entry, s.random.Uint32); at != start+takeoverWait || op.Kind != NoOperation {
			t.Errorf("%s: next look at %v, call %v before", c.name, at-start, op.Kind)
		}
		if op, _ := l.step(start+takeoverWait, true, s.entry, s.random.Uint32); op.Kind != UpdateLease || op.Version != c.version {
			t.Errorf("%s: no takeover after the wait: %+v", c.name, op)
		}
	}
}

// Guards against buckets that start empty after a loss of power of all hosts, although
// nobody has granted since the holder's host stopped, and against head starts of two
// tenures in one window.
func TestBucketsAtTheStartOfATenure(t *testing.T) {
	const start, waited = time.Hour, 400 * time.Millisecond
	limits := Limits{}.withDefaults()
	for _, c := range []struct {
		name      string
		host      string
		sequence  uint64
		base      uint64
		headStart bool
		from      time.Duration
	}{
		{name: "own host restarted", host: "h1", sequence: 7, headStart: true, from: start - waited},
		{name: "the earlier tenure was short", host: "h1", sequence: 6, from: start - waited},
		{name: "another host's holder", host: "h2", sequence: 7, headStart: true, from: start + leaseDuration},
		{name: "record from before a restoration", host: "h1", sequence: 7, base: 1 << 44, from: start + leaseDuration},
	} {
		l := lease{self: Self{ID: "h1.1", Host: "h1", Started: start - waited}, shards: 1, window: limits.Window}
		record := Record{Holder: c.host + ".0", Host: c.host, Term: 5, Shards: 1, Sequence: c.sequence, Base: c.base}
		l.done(start, start, Operation{Kind: ReadLease}, platform.Object{Version: 10, Value: encodeRecord(record)}, nil)
		now := start
		tenure, free := l.free(now, func(string) (string, uint64, bool) { return "", 0, false })
		if !free {
			now += takeoverWait
			tenure, _ = l.free(now, nil)
		}
		if tenure.HeadStart != c.headStart || tenure.BucketsFrom != c.from {
			t.Errorf("%s: head start %v, buckets from %v", c.name, tenure.HeadStart, tenure.BucketsFrom-start)
		}
		level := NewGrantor(limits, tenure).account(now, "a", 100, 100).bucket.level
		want := 100 * (now - c.from).Seconds()
		if c.headStart {
			want += limits.headStart(100, 100)
		}
		if math.Abs(level-want) > 1e-9 {
			t.Errorf("%s: level %v, want %v", c.name, level, want)
		}
	}
	for _, rate := range []float64{0.5, 2, 33, 240} {
		most := limits.bucketRate(rate)*(limits.Window+limits.TokenLifetime()).Seconds() + limits.bucketSize(rate, rate) + limits.headStart(rate, rate) + limits.reserveSize(rate, rate)
		if most > limits.Most(rate, rate)+1e-9 && limits.headStart(rate, rate) > 0 {
			t.Errorf("rate %v: up to %v requests in a window, allowed %v", rate, most, limits.Most(rate, rate))
		}
	}
}

func encodeRecord(r Record) []byte {
	l := lease{version: r.Base}
	return l.write(r, Tenure{}).Value
}

// Guards against a lease that is used before its write is known to have succeeded, that
// counts from a later time than the start of that write, or that is used after its end.
func TestLeaseCountsFromTheKnownWrite(t *testing.T) {
	s := NewShard(Limits{}, Self{ID: "h1.1", Host: "h1"}, 1, nil, rand.New(rand.NewPCG(1, 1)))
	l := &s.lease
	step := func(now time.Duration) Operation {
		op, _ := l.step(now, true, s.entry, s.random.Uint32)
		return op
	}
	l.done(start, start, step(start), platform.Object{}, platform.ErrNotFound)
	create := step(start)
	l.done(start+500*time.Millisecond, start, create, platform.Object{}, platform.ErrUnknownOutcome)
	if l.valid(start + 500*time.Millisecond) {
		t.Fatal("valid although the outcome of the write is unknown")
	}
	read := step(start + time.Second)
	tenure := l.done(start+1200*time.Millisecond, start+time.Second, read, platform.Object{Version: 4, Value: create.Value}, nil)
	if read.Kind != ReadLease || tenure == nil || !tenure.First {
		t.Fatalf("call %v, tenure %+v", read.Kind, tenure)
	}
	if !l.valid(start+leaseDuration-1) || l.valid(start+leaseDuration) {
		t.Fatal("the lease does not end 3 s after the start of the write")
	}
	renew := step(start + 2*time.Second)
	l.done(start+2100*time.Millisecond, start+2*time.Second, renew, platform.Object{}, platform.ErrUnavailable)
	if l.valid(start + leaseDuration) {
		t.Fatal("valid after a failed renewal")
	}
	again := step(start + 10*time.Second)
	l.done(start+10*time.Second, start+10*time.Second, again, platform.Object{Version: 5}, nil)
	if again.Version != 4 || !l.valid(start+11*time.Second) {
		t.Fatal("not renewed although nobody else has taken the lease over")
	}
}

// Guards against a fleet in which every daemon that lost the lease to another one keeps reading
// it and trying to take it, although nobody asks for that.
func TestLoserOfALeaseStopsTrying(t *testing.T) {
	s := NewShard(Limits{}, Self{ID: "h1.1", Host: "h1"}, 1, func(string) (string, uint64, bool) { return "", 0, false }, rand.New(rand.NewPCG(1, 1)))
	s.Want(start)
	var calls []OperationKind
	for now := start; now < start+10*time.Second; now += 100 * time.Millisecond {
		op, _ := s.Step(now)
		if op.Kind == NoOperation {
			continue
		}
		calls = append(calls, op.Kind)
		switch {
		case op.Kind != ReadLease:
			s.Done(now, now, op, platform.Object{}, platform.ErrConflict)
		case len(calls) == 1:
			s.Done(now, now, op, platform.Object{}, platform.ErrNotFound)
		default:
			s.Done(now, now, op, platform.Object{Version: 7, Value: encodeRecord(Record{Holder: "h2.1", Host: "h2", Term: 5, Shards: 1})}, nil)
		}
	}
	if want := []OperationKind{ReadLease, CreateLease, ReadLease}; !slices.Equal(calls, want) {
		t.Fatalf("calls %v, want %v", calls, want)
	}
	s.Handle(start+20*time.Second, "e", &Request{Unreachable: "h2.1"}, 1, nil)
	if op, _ := s.Step(start + 20*time.Second); op.Kind != ReadLease {
		t.Fatalf("call %v after a daemon has asked for a grantor", op.Kind)
	}
}

// Guards against a fleet without a grantor because the last renewal of the holder that resigned
// came before the write of its successor.
func TestSuccessorTriesAgainAfterALateRenewal(t *testing.T) {
	s := NewShard(Limits{}, Self{ID: "h1.1", Host: "h1"}, 1, func(string) (string, uint64, bool) { return "", 0, false }, rand.New(rand.NewPCG(1, 1)))
	s.Handle(start, "h2.1", &Request{Resigned: 5}, 1, nil)
	for i, want := range []OperationKind{ReadLease, UpdateLease, ReadLease, UpdateLease} {
		now := start + time.Duration(i)*10*time.Millisecond
		op, _ := s.Step(now)
		if op.Kind != want {
			t.Fatalf("call %d is %v, want %v", i, op.Kind, want)
		}
		lease, err := platform.Object{Version: 7 + uint64(i), Value: encodeRecord(Record{Holder: "h2.1", Host: "h2", Term: 5, Shards: 1, Base: 6})}, error(nil)
		if i == 1 {
			lease, err = platform.Object{}, platform.ErrConflict
		}
		s.Done(now, now, op, lease, err)
	}
	if !s.Holds(start + 40*time.Millisecond) {
		t.Fatal("the successor does not hold the lease")
	}
}

// Guards against an account that is refused while the grantor has an older configuration,
// or is limited by the allowance of the entry daemon's older one.
func TestConfigurationsThatDiffer(t *testing.T) {
	for _, c := range []struct {
		name           string
		version        uint64
		rate           float64
		known          bool
		tokens, reason int
	}{
		{"account unknown to an older grantor", 1, 0, false, 1, 0},
		{"account removed in the grantor's newer one", 3, 0, false, 0, int(UnknownAccount)},
		{"limit removed at the grantor", 3, 0, true, 5, 0},
		{"limit lowered at the grantor", 3, 0.001, true, 2, int(Exhausted)},
	} {
		g := NewGrantor(Limits{}, Tenure{Term: 1, First: true})
		w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
		admitted, reason := 0, Reason(0)
		for i := range 5 {
			now := start + time.Duration(i)*20*time.Millisecond
			o, waiter := w.Take(now, "a", 10, 1, now+time.Millisecond)
			for range 2 {
				if call, _ := w.Next(now, func() []Candidate { return []Candidate{{ID: "self"}} }, 2); call != nil {
					w.Reply(now, g.Handle(now, "self", call.Request, c.version, func(string) (float64, float64, bool) { return c.rate, 1, c.known }))
				}
				now += selfSpacing
			}
			if waiter != nil {
				w.Expire(now, waiter)
				o = waiter.Outcome
			}
			if o.Ticket != nil {
				admitted++
			} else {
				reason = o.Reason
			}
		}
		if admitted < c.tokens || c.reason != 0 && (reason != Reason(c.reason) || admitted != c.tokens) {
			t.Errorf("%s: %d admitted, refused for %d", c.name, admitted, reason)
		}
	}
}
