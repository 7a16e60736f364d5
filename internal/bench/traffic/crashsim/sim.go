// Package crashsim simulates, in virtual time, a service whose callers send a
// request that crashes the upstreams that run it. It drives pkg/poison, or a
// simpler Guard to compare with; tests and internal/bench/traffic use it.
package crashsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"shallotglade/internal/bench/traffic/vtime"
	"shallotglade/pkg/poison"
)

// Config describes one run.
type Config struct {
	// Homes, Upstreams and Floor are counts; Slots is per upstream.
	Homes, Upstreams, Slots, Floor int
	// SummaryDelay is the longest time that a summary takes to another home.
	SummaryDelay time.Duration
	// Hold is whether the answer to a lost request waits until the other homes
	// have the summary.
	Hold bool
	// Senders is how many callers send the crashing request, each again after
	// an answer and a gap of at least Gap, Resends times.
	Senders, Resends int
	Gap              time.Duration
	// Innocents is how many other requests are sent, each with its own
	// fingerprint, all within Span.
	Innocents int
	Span      time.Duration
}

// Result is what one run has shown.
type Result struct {
	// Crashes counts upstreams taken down.
	Crashes int
	// Blind counts copies of the crashing request dispatched by a home that
	// knew nothing against it.
	Blind int
	// Refused counts refusals of the crashing request as poison.
	Refused int
	// InnocentRefused counts refusals of other requests as poison.
	InnocentRefused int
	// InnocentLost counts other requests lost in crashes.
	InnocentLost int
	// FloorBreaches counts crashes by a known suspect that left the service
	// with fewer upstreams than its floor, although no other upstream was lost
	// since the suspect was sent.
	FloorBreaches int
	// Completed counts other requests that were answered.
	Completed int
}

// Guard is what a home asks and tells; *poison.Tracker is one.
type Guard interface {
	Check(now time.Time, fp poison.Fingerprint, usable, floor int) poison.Decision
	Place(now time.Time, fp poison.Fingerprint, options []poison.Option) (string, bool)
	Start(now time.Time, upstream string, fp poison.Fingerprint)
	Complete(now time.Time, upstream string, fp poison.Fingerprint) poison.Report
	Lost(now time.Time, upstream string, fp poison.Fingerprint) poison.Loss
	Dialed(now time.Time, upstream string, refused bool) poison.Report
	Summary(now time.Time) poison.Summary
	About(now time.Time, fp poison.Fingerprint) poison.Summary
	Merge(now time.Time, s poison.Summary) poison.Report
}

// Times of the simulated service.
const (
	hop         = 1500 * time.Microsecond // between failure domains
	dialTime    = time.Millisecond
	recheck     = 5 * time.Millisecond // of a request that waits
	restartTime = 2 * time.Second
	minRun      = 5 * time.Millisecond
	maxRun      = 50 * time.Millisecond
)

// crasher is the fingerprint of the request that crashes upstreams.
const crasher poison.Fingerprint = 1

type request struct {
	fp    poison.Fingerprint
	left  int // resends left
	alone bool
}

type upstream struct {
	id      string
	down    bool
	running map[*copyOf]bool
}

// copyOf is one copy of a request at an upstream.
type copyOf struct {
	req  *request
	home int
	up   *upstream
	// crashes is the number of crashes when the copy was sent.
	crashes int
}

type sim struct {
	cfg    Config
	rng    *rand.Rand
	loop   vtime.Loop
	guards []Guard
	homes  []string
	ups    []*upstream
	told   []time.Time // when all other homes have the home's last summary
	result Result
}

// Run simulates until all requests have ended.
func Run(cfg Config, rng *rand.Rand, guard func(self string, homes []string) Guard) Result {
	s := &sim{cfg: cfg, rng: rng, loop: vtime.Loop{Now: time.Unix(1_800_000_000, 0)}}
	for i := range cfg.Homes {
		s.homes = append(s.homes, fmt.Sprintf("home-%d", i))
	}
	for _, h := range s.homes {
		s.guards = append(s.guards, guard(h, s.homes))
	}
	s.told = make([]time.Time, cfg.Homes)
	for i := range cfg.Upstreams {
		s.ups = append(s.ups, &upstream{id: fmt.Sprintf("upstream-%d", i), running: map[*copyOf]bool{}})
	}
	for range cfg.Senders {
		s.send(s.within(cfg.Span), &request{fp: crasher, left: cfg.Resends})
	}
	for i := range cfg.Innocents {
		s.send(s.within(cfg.Span), &request{fp: crasher + 1 + poison.Fingerprint(i), left: cfg.Resends})
	}
	s.loop.Run()
	return s.result
}

// Tracker is the Guard under test.
func Tracker(self string, homes []string) Guard { return poison.NewTracker(self, homes) }

func (s *sim) send(after time.Duration, r *request) {
	home := s.rng.IntN(len(s.homes))
	s.loop.After(after, func() { s.arrive(home, r) })
}

// arrive handles a request at a home.
func (s *sim) arrive(home int, r *request) {
	g := s.guards[home]
	d := g.Check(s.loop.Now, r.fp, s.usable(), s.cfg.Floor)
	switch d.Action {
	case poison.Run:
		s.dispatch(home, r, s.anyFree())
	case poison.RunAlone:
		id, ok := g.Place(s.loop.Now, r.fp, s.options())
		r.alone = ok
		s.dispatch(home, r, s.find(id, ok))
	case poison.Wait:
		s.loop.After(recheck, func() { s.arrive(home, r) })
	case poison.Forward:
		about := g.About(s.loop.Now, r.fp)
		s.loop.After(s.within(hop)+hop/2, func() {
			to := s.home(d.Home)
			s.guards[to].Merge(s.loop.Now, about)
			s.arrive(to, r)
		})
	default:
		if d.Reason == poison.ReasonPoison {
			if r.fp == crasher {
				s.result.Refused++
			} else {
				s.result.InnocentRefused++
			}
		}
		s.again(0, r)
	}
}

func (s *sim) dispatch(home int, r *request, up *upstream) {
	if up == nil {
		s.loop.After(recheck, func() { s.arrive(home, r) })
		return
	}
	if r.fp == crasher && !r.alone {
		s.result.Blind++
	}
	c := &copyOf{req: r, home: home, up: up, crashes: s.result.Crashes}
	up.running[c] = true
	s.guards[home].Start(s.loop.Now, up.id, r.fp)
	s.loop.After(minRun+s.within(maxRun-minRun), func() { s.finish(c) })
}

// finish completes a copy, or crashes its upstream.
func (s *sim) finish(c *copyOf) {
	if !c.up.running[c] {
		return // lost in a crash
	}
	if c.req.fp == crasher {
		s.crash(c)
		return
	}
	delete(c.up.running, c)
	s.result.Completed++
	if s.guards[c.home].Complete(s.loop.Now, c.up.id, c.req.fp).Changed {
		s.share(c.home)
	}
}

func (s *sim) crash(by *copyOf) {
	up := by.up
	s.result.Crashes++
	up.down = true
	if by.req.alone && by.crashes+1 == s.result.Crashes && s.usable() < s.cfg.Floor {
		s.result.FloorBreaches++
	}
	s.loop.After(restartTime, func() { up.down = false })
	// The order of the losses must not depend on the order of a map.
	for _, c := range sorted(up.running) {
		s.loop.After(s.within(dialTime), func() { s.lose(c) })
	}
	up.running = map[*copyOf]bool{}
}

func (s *sim) lose(c *copyOf) {
	if c.req.fp != crasher {
		s.result.InnocentLost++
	}
	c.req.alone = false
	loss := s.guards[c.home].Lost(s.loop.Now, c.up.id, c.req.fp)
	if loss.CheckDial {
		s.loop.After(dialTime, func() {
			s.answer(c, s.guards[c.home].Dialed(s.loop.Now, c.up.id, true))
		})
		return
	}
	s.answer(c, loss.Report)
}

// answer tells the other homes and then the caller.
func (s *sim) answer(c *copyOf, report poison.Report) {
	if report.Changed {
		s.share(c.home)
	}
	// All requests lost in a crash are held, not only the one whose loss
	// showed it: any of them may be sent again to a home that knows nothing.
	var told time.Duration
	if s.cfg.Hold {
		told = max(0, s.told[c.home].Sub(s.loop.Now))
	}
	s.again(told, c.req)
}

// share sends the summary of a home and notes when the last one has it.
func (s *sim) share(from int) {
	summary := s.guards[from].Summary(s.loop.Now)
	for to := range s.guards {
		if to == from {
			continue
		}
		delay := s.within(s.cfg.SummaryDelay)
		if at := s.loop.Now.Add(delay); at.After(s.told[from]) {
			s.told[from] = at
		}
		s.loop.After(delay, func() { s.guards[to].Merge(s.loop.Now, summary) })
	}
}

// again lets the caller send its request once more.
func (s *sim) again(after time.Duration, r *request) {
	if r.left--; r.left >= 0 {
		s.send(after+s.cfg.Gap+s.within(3*s.cfg.Gap), r)
	}
}

func (s *sim) usable() int {
	n := 0
	for _, u := range s.ups {
		if !u.down {
			n++
		}
	}
	return n
}

func (s *sim) options() []poison.Option {
	var out []poison.Option
	for _, u := range s.ups {
		out = append(out, poison.Option{Upstream: u.id, Usable: !u.down, Free: len(u.running) < s.cfg.Slots})
	}
	return out
}

func (s *sim) anyFree() *upstream {
	first := s.rng.IntN(len(s.ups))
	for i := range s.ups {
		if u := s.ups[(first+i)%len(s.ups)]; !u.down && len(u.running) < s.cfg.Slots {
			return u
		}
	}
	return nil
}

func (s *sim) find(id string, ok bool) *upstream {
	for _, u := range s.ups {
		if ok && u.id == id {
			return u
		}
	}
	return nil
}

func (s *sim) home(name string) int {
	for i, h := range s.homes {
		if h == name {
			return i
		}
	}
	return 0
}

// within draws a time from [0, limit].
func (s *sim) within(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit) + 1))
}

func sorted(running map[*copyOf]bool) []*copyOf {
	out := make([]*copyOf, 0, len(running))
	for c := range running {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *copyOf) int {
		return cmp.Or(cmp.Compare(a.req.fp, b.req.fp), cmp.Compare(a.home, b.home), cmp.Compare(a.req.left, b.req.left))
	})
	return out
}
