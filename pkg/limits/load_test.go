package limits_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/limits"
)

// loadAccount and loadRoute describe the requests of a simulated load. The rate of an
// account is divided over the routes by share.
type loadAccount struct {
	name         string
	rate, weight float64
}

type loadRoute struct {
	priority            int
	share               float64
	work, target, limit time.Duration
}

// load is a load on a service with the given slots, played in virtual time. surge is the
// factor on all rates at a time.
type load struct {
	slots    int
	length   time.Duration
	accounts []loadAccount
	routes   []loadRoute
	surge    func(time.Duration) float64
	// returnAfter is the time after which a refused request of an account is sent again
	// while it can still be served; nil means never.
	returnAfter func(account string, retryAfter time.Duration, rng *rand.Rand) (time.Duration, bool)
}

// served counts the requests of an account or a priority.
type served struct{ offered, inTime, inTarget int }

func (s served) share() float64       { return float64(s.inTime) / float64(max(s.offered, 1)) }
func (s served) targetShare() float64 { return float64(s.inTarget) / float64(max(s.offered, 1)) }

// loadResult holds what callers got, by account and by priority.
type loadResult struct {
	value         float64
	all           served
	accounts      map[string]served
	priorities    map[int]served
	late, returns int
}

func (r *loadResult) count(t limits.Ticket, change func(*served)) {
	a, p := r.accounts[t.Caller], r.priorities[t.Priority]
	change(&a)
	change(&p)
	change(&r.all)
	r.accounts[t.Caller], r.priorities[t.Priority] = a, p
}

// worstAccounts returns the mean share served over the tenth of the accounts with the
// lowest, without the largest account and those with few requests.
func (r *loadResult) worstAccounts() float64 {
	var shares []float64
	for name, a := range r.accounts {
		if name != "a00" && a.offered >= 10 {
			shares = append(shares, a.share())
		}
	}
	sort.Float64s(shares)
	n, sum := max(1, len(shares)/10), 0.0
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(n)
}

// play offers the load to a queue. The arrivals depend on the load and the seed only.
func (l *load) play(q queue) *loadResult {
	rng, work := rand.New(rand.NewPCG(testkit.Seed, 3)), rand.New(rand.NewPCG(testkit.Seed, 4))
	r := &loadResult{accounts: map[string]served{}, priorities: map[int]served{}}
	events, running := l.arrivals(rng), map[uint64]bool{}
	var now time.Time
	start := func(ts ...limits.Ticket) {
		for _, t := range ts {
			end := now.Add(time.Duration(float64(t.ExpectedDuration) * math.Exp(0.3*work.NormFloat64())))
			running[t.ID] = true
			heap.Push(&events, completion{at: end, ticket: t})
			if end.After(t.Deadline) {
				r.late++
				continue
			}
			if end.After(t.Target) {
				r.value += 0.8 * float64(t.Deadline.Sub(end)) / float64(t.Deadline.Sub(t.Target))
			} else {
				r.value++
			}
			r.count(t, func(s *served) {
				s.inTime++
				if !end.After(t.Target) {
					s.inTarget++
				}
			})
		}
	}
	again := func(t limits.Ticket, retryAfter time.Duration) {
		if l.returnAfter == nil {
			return
		}
		if d, ok := l.returnAfter(t.Caller, retryAfter, work); ok && now.Add(d).Before(t.Deadline) {
			r.returns++
			heap.Push(&events, completion{at: now.Add(d), ticket: t})
		}
	}
	var id uint64
	for len(events) > 0 {
		e := heap.Pop(&events).(completion)
		now = e.at
		if running[e.ticket.ID] {
			start(q.Done(now, e.ticket)...)
		} else {
			if e.ticket.ID == 0 {
				r.count(e.ticket, func(s *served) { s.offered++ })
			}
			id++
			e.ticket.ID = id
			switch d := q.Offer(now, e.ticket); d.Action {
			case limits.Run:
				start(e.ticket)
			case limits.Refuse:
				again(e.ticket, d.RetryAfter)
			}
		}
		for _, t := range q.Expire(now) {
			again(t, time.Second)
		}
	}
	r.value /= float64(r.all.offered)
	return r
}

// arrivals returns the requests, whose tickets have no ID yet.
func (l *load) arrivals(rng *rand.Rand) (events completionHeap) {
	for _, a := range l.accounts {
		for at := time.Duration(0); ; {
			surge := 1.0
			if l.surge != nil {
				surge = l.surge(at)
			}
			at += time.Duration(rng.ExpFloat64() / (a.rate * surge) * float64(time.Second))
			if at > l.length {
				break
			}
			x, i := rng.Float64(), 0
			for ; i < len(l.routes)-1 && x >= l.routes[i].share; i++ {
				x -= l.routes[i].share
			}
			route, sent := l.routes[i], epoch.Add(at)
			events = append(events, completion{at: sent, ticket: limits.Ticket{
				Caller: a.name, Deadline: sent.Add(route.limit), Target: sent.Add(route.target), ExpectedDuration: route.work,
				AccountPriority: route.priority, Priority: route.priority, Weight: a.weight,
			}})
		}
	}
	heap.Init(&events)
	return events
}

// oldOrder is the order of service before accounts had priorities and weights: callers
// share equally, a caller's tickets run in order of arrival whatever their priority, and
// a ticket that has missed its target runs after those that have not, or first if they
// can wait. Its estimate of the wait counts all waiting tickets of the callers before the
// new one. It is the baseline of the load tests.
type oldOrder struct {
	capacity    int
	running     map[uint64]time.Time
	waiting     []limits.Ticket // by arrival
	nextStart   map[string]float64
	virtualTime float64
	serviceTime time.Duration
}

func newOldOrder(capacity int) *oldOrder {
	return &oldOrder{capacity: capacity, running: map[uint64]time.Time{}, nextStart: map[string]float64{}, serviceTime: limits.DefaultServiceTime}
}

func targetStart(t limits.Ticket) time.Time { return t.Target.Add(-t.ExpectedDuration) }
func latestStart(now time.Time, t limits.Ticket) time.Time {
	if latest := t.Deadline.Add(-t.ExpectedDuration); latest.Before(now.Add(5 * time.Second)) {
		return latest
	}
	return now.Add(5 * time.Second)
}

// before reports whether a ticket precedes another, by the old order.
func (o *oldOrder) before(now time.Time, a, b limits.Ticket, startA, startB float64) bool {
	lateA, lateB := targetStart(a).Before(now), targetStart(b).Before(now)
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case lateA != lateB:
		return lateB
	case startA != startB:
		return startA < startB
	case !targetStart(a).Equal(targetStart(b)):
		return targetStart(a).Before(targetStart(b))
	}
	return a.ID < b.ID
}

func (o *oldOrder) Offer(now time.Time, t limits.Ticket) limits.Decision {
	own, ahead := 0, 0
	for _, w := range o.waiting {
		if w.Caller == t.Caller {
			own++
		}
	}
	if len(o.waiting) == 0 && len(o.running) < o.capacity {
		o.running[t.ID] = now
		return limits.Decision{Action: limits.Run}
	}
	start := max(o.virtualTime, o.nextStart[t.Caller])
	for _, w := range o.waiting {
		if w.Caller != t.Caller && o.before(now, w, t, o.nextStart[w.Caller], start+float64(own)) {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead+own+1) / float64(o.capacity) * float64(o.serviceTime))
	if excess := wait - latestStart(now, t).Sub(now)*3/4; excess > 0 {
		return limits.Decision{Reason: limits.TooLate, RetryAfter: max(excess, o.serviceTime)}
	}
	if own >= limits.DefaultMaxQueue-len(o.waiting) {
		return limits.Decision{Reason: limits.QueueFull, RetryAfter: max(wait, o.serviceTime)}
	}
	if own == 0 {
		o.nextStart[t.Caller] = start
	}
	o.waiting = append(o.waiting, t)
	return limits.Decision{Action: limits.Wait}
}

func (o *oldOrder) Done(now time.Time, t limits.Ticket) (out []limits.Ticket) {
	o.serviceTime += (now.Sub(o.running[t.ID]) - o.serviceTime) / 20
	delete(o.running, t.ID)
	for len(o.running) < o.capacity && len(o.waiting) > 0 {
		first, late, slack, seen := -1, -1, true, map[string]bool{}
		var targets []time.Time
		for i, w := range o.waiting {
			if !targetStart(w).Before(now) {
				targets = append(targets, targetStart(w))
			}
			if seen[w.Caller] {
				continue
			}
			seen[w.Caller] = true
			if first < 0 || o.before(now, w, o.waiting[first], o.nextStart[w.Caller], o.nextStart[o.waiting[first].Caller]) {
				first = i
			}
			if targetStart(w).Before(now) && (late < 0 || latestStart(now, w).Before(latestStart(now, o.waiting[late]))) {
				late = i
			}
		}
		sort.Slice(targets, func(i, j int) bool { return targets[i].Before(targets[j]) })
		for i, at := range targets {
			slack = slack && !at.Before(now.Add(time.Duration(i+2)*o.serviceTime/time.Duration(o.capacity)))
		}
		if late >= 0 && !targetStart(o.waiting[first]).Before(now) && o.waiting[late].Priority == o.waiting[first].Priority && slack {
			first = late
		}
		w := o.waiting[first]
		o.waiting = append(o.waiting[:first:first], o.waiting[first+1:]...)
		o.virtualTime = max(o.virtualTime, o.nextStart[w.Caller])
		o.nextStart[w.Caller]++
		o.running[w.ID] = now
		out = append(out, w)
	}
	return out
}

func (o *oldOrder) Expire(now time.Time) (out []limits.Ticket) {
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if w.Deadline.Add(-w.ExpectedDuration).Before(now) {
			out = append(out, w)
		} else {
			kept = append(kept, w)
		}
	}
	o.waiting = kept
	return out
}

// compare plays a load with the old order and with the queue.
func compare(l load) (old, now *loadResult) {
	old, now = l.play(newOldOrder(l.slots)), l.play(limits.NewQueue(limits.Policy{MaxWait: 5 * time.Second}, l.slots))
	for i, r := range []*loadResult{old, now} {
		GinkgoWriter.Printf("%s: %.3f served, %.3f in target, value %.3f, worst tenth %.3f", []string{"old", "new"}[i], r.all.share(), r.all.targetShare(), r.value, r.worstAccounts())
		for p, s := range r.priorities {
			GinkgoWriter.Printf(", priority %d %.3f served, %.3f in target", p, s.share(), s.targetShare())
		}
		GinkgoWriter.Println()
	}
	return old, now
}

var (
	lookups = loadRoute{priority: 0, share: 1, work: 290 * time.Millisecond, target: time.Second, limit: 2500 * time.Millisecond}
	orders  = loadRoute{priority: 1, share: 1, work: 220 * time.Millisecond, target: 1200 * time.Millisecond, limit: 3 * time.Second}
	uploads = loadRoute{priority: 2, share: 1, work: 260 * time.Millisecond, target: 4 * time.Second, limit: 5 * time.Second}
)

// mixed returns the three routes with the given shares.
func mixed(shares ...float64) []loadRoute {
	routes := []loadRoute{lookups, orders, uploads}
	for i, s := range shares {
		routes[i].share = s
	}
	return routes
}

// skewed returns 86 accounts of the given rate together, by a Zipf distribution with
// exponent 1.2. The weight of each is 1.6 times its rate.
func skewed(rate float64) []loadAccount {
	accounts, sum := make([]loadAccount, 86), 0.0
	for i := range accounts {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range accounts {
		r := rate * math.Pow(float64(i+1), -1.2) / sum
		accounts[i] = loadAccount{fmt.Sprintf("a%02d", i), r, 1.6 * r}
	}
	return accounts
}

func callers(n int, prefix string, rate float64) (list []loadAccount) {
	for i := range n {
		list = append(list, loadAccount{fmt.Sprint(prefix, i), rate, 0})
	}
	return list
}

// wave varies a rate by the given part with a period of 13 s.
func wave(part float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + part*math.Sin(at.Seconds()/13*2*math.Pi) }
}

// The service of these loads has 30 slots, which serve 99 lookups or 130 orders per
// second.
var _ = Describe("Queue under load", func() {
	const slots, length = 30, 20 * time.Second

	// Guards against an account that takes more than its share by sending more, and
	// against weights that do not count.
	It("shares the capacity of two accounts at 10 to 1 by weight", func() {
		l := load{slots: slots, length: length, routes: []loadRoute{lookups}, accounts: []loadAccount{{"a", 300, 10}, {"b", 30, 1}}}
		old, now := compare(l)
		ratio := func(r *loadResult) float64 { return float64(r.accounts["a"].inTime) / float64(r.accounts["b"].inTime) }
		GinkgoWriter.Printf("ratios %.1f and %.1f\n", ratio(old), ratio(now))
		Expect(ratio(old)).To(BeNumerically("<", 5), "the old order knows no weights")
		Expect(ratio(now)).To(BeNumerically("~", 10, 1.5))
		l.accounts[0].weight = 1
		_, now = compare(l)
		Expect(now.accounts["b"].share()).To(BeNumerically(">", 0.95), "with equal weights, b asks for less than its share")
	})

	// Guards against one account that costs the others.
	It("protects 86 accounts from one at 7 times its usual rate", func() {
		accounts := skewed(90)
		accounts[0].rate *= 7
		l := load{slots: slots, length: length, routes: []loadRoute{orders}, accounts: accounts}
		old, now := compare(l)
		Expect(now.worstAccounts()).To(BeNumerically(">", 0.95))
		Expect(now.value).To(BeNumerically(">", old.value))
		Expect(now.all.share()).To(BeNumerically(">", old.all.share()))
	})

	// Guards against requests that wait until they miss their target for the rest of an
	// overload. Callers without accounts, as in deployments that have none.
	It("serves a wave of 1.7 times over a full service within the target", func() {
		for _, accounts := range [][]loadAccount{skewed(100), callers(400, "caller", 0.25)} {
			old, now := compare(load{slots: slots, length: 2 * length, routes: []loadRoute{lookups}, accounts: accounts, surge: wave(0.7)})
			Expect(now.value).To(BeNumerically(">", old.value))
			Expect(now.all.targetShare()).To(BeNumerically(">", old.all.targetShare()))
			Expect(now.all.share()).To(BeNumerically(">", old.all.share()-0.02))
		}
	})

	// Guards against a less urgent route that is served better than a more urgent one,
	// also if all requests come from one caller.
	It("serves three priorities in their order at 1.5 times the capacity", func() {
		for _, accounts := range [][]loadAccount{skewed(170), callers(1, "only", 170)} {
			old, now := compare(load{slots: slots, length: length, routes: mixed(0.34, 0.33, 0.33), accounts: accounts})
			Expect(old.priorities[2].share()).To(BeNumerically(">", old.priorities[0].share()+0.05))
			for p := range 2 {
				Expect(now.priorities[p].share()).To(BeNumerically(">=", now.priorities[p+1].share()))
				Expect(now.priorities[p].targetShare()).To(BeNumerically(">=", now.priorities[p+1].targetShare()))
			}
			Expect(now.priorities[0].targetShare()).To(BeNumerically(">", 0.99))
			Expect(now.value).To(BeNumerically(">", old.value))
		}
	})

	// Guards against the least urgent requests being given up while the capacity serves
	// all but short surges, and against slots that go to those that end too late.
	It("finishes uploads of the lowest priority", func() {
		l := load{slots: slots, length: 2 * length, routes: mixed(0.25, 0.68, 0.07), accounts: skewed(95), surge: wave(0.4)}
		_, now := compare(l)
		Expect(now.priorities[2].share()).To(BeNumerically(">", 0.95))
		Expect(now.priorities[0].targetShare()).To(BeNumerically(">", 0.99))
		Expect(float64(now.late)).To(BeNumerically("<", 0.002*float64(now.all.offered)))
	})

	// Guards against callers that return at once after each refusal and so displace those
	// that wait.
	It("serves patient callers as well while others return at once", func() {
		l := load{slots: slots, length: length, routes: []loadRoute{lookups}, accounts: append(callers(40, "patient", 2), callers(40, "returns", 2)...)}
		patient := func(r *loadResult) (s served) {
			for name, a := range r.accounts {
				if name[0] == 'p' {
					s.offered, s.inTime = s.offered+a.offered, s.inTime+a.inTime
				}
			}
			return s
		}
		_, alone := compare(l)
		l.returnAfter = func(account string, _ time.Duration, _ *rand.Rand) (time.Duration, bool) {
			return 5 * time.Millisecond, account[0] == 'r'
		}
		_, now := compare(l)
		Expect(now.returns).To(BeNumerically(">", 1000))
		Expect(patient(now).share()).To(BeNumerically(">", patient(alone).share()-0.05))
	})
})
