package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/platform"
)

// span is an interval of a fault.
type span struct{ from, to time.Duration }

func (s span) contains(now time.Duration) bool { return now >= s.from && now < s.to }

func drawSpan(t *rapid.T, m *model, name string) span {
	from := m.now + time.Duration(rapid.IntRange(0, 20_000).Draw(t, name+" from"))*time.Millisecond
	return span{from, from + time.Duration(rapid.IntRange(50, 9_000).Draw(t, name+" for"))*time.Millisecond}
}

// drawFaults adds random faults to a model.
func drawFaults(t *rapid.T, m *model) {
	type cut struct {
		span
		from, to int
	}
	type outage struct {
		span
		host int
		err  error
	}
	var cuts []cut
	var outages []outage
	host := func(name string) int { return rapid.IntRange(-1, len(m.hosts)-1).Draw(t, name) }
	for range rapid.IntRange(0, 4).Draw(t, "cuts") {
		// -1 is every host, so that one host can be cut off in one direction or both.
		cuts = append(cuts, cut{drawSpan(t, m, "cut"), host("cut from host"), host("cut to host")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "outages") {
		err := rapid.SampledFrom([]error{platform.ErrUnavailable, platform.ErrUnknownOutcome}).Draw(t, "error")
		outages = append(outages, outage{drawSpan(t, m, "outage"), host("outage host"), err})
	}
	loss := rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
	matches := func(want, got int) bool { return want < 0 || want == got }
	m.cut = func(from, to int) bool {
		for _, c := range cuts {
			if c.contains(m.now) && matches(c.from, from) && matches(c.to, to) {
				return true
			}
		}
		return m.random.Float64() < loss
	}
	m.storeFault = func(h int) error {
		for _, o := range outages {
			if o.contains(m.now) && matches(o.host, h) {
				return o.err
			}
		}
		return nil
	}
	if rapid.Bool().Draw(t, "restored") {
		s := drawSpan(t, m, "copy")
		m.copyAndRestore(s.from, s.to)
	}
	for range rapid.IntRange(0, 4).Draw(t, "stops") {
		h := m.hosts[max(host("stopped host"), 0)]
		s := drawSpan(t, m, "stop")
		switch rapid.IntRange(0, 2).Draw(t, "kind of stop") {
		case 0: // Frozen or suspended: the clock counts, nothing else happens.
			m.after(s.from-m.now, func() { h.frozenUntil = s.to })
		case 1: // Killed and restarted.
			m.after(s.from-m.now, func() { h.alive = false })
			m.after(s.to-m.now, func() {
				if !h.alive {
					m.start(h)
				}
			})
		case 2: // Loss of power of all hosts.
			for _, h := range m.hosts {
				m.after(s.from-m.now, func() { h.alive = false })
				m.after(s.from+time.Second-m.now, func() {
					if !h.alive {
						m.start(h)
					}
				})
			}
		}
	}
}

// Guards against two grantors at a time, tokens that are used twice or too late, tokens that
// come back after their window, reserve tokens that add up over partitions, and a platform that comes
// back from a copy: each lets more requests run in some window than the allowance permits.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 5, 20, 80}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "burst in seconds")
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "hosts"), rate, burst)
		m.unserved = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "unserved")
		drawFaults(t, m)
		m.load(rate*rapid.SampledFrom([]float64{0.5, 1.5, 7}).Draw(t, "load"), rapid.SampledFrom([]float64{0, 0.8}).Draw(t, "skew"), 30*time.Second)
		m.run(32 * time.Second)
		if most, limit := m.most(), m.limits.Most(rate, burst); float64(most) > limit {
			t.Fatalf("%d requests ran in a window, the limit is %.1f; %d with reserve tokens, %d terms", most, limit, m.reserves, m.terms)
		}
	})
}

// Guards against tokens and reserve tokens of a higher allowance that are used more than a window
// after it was lowered.
func TestLoweredAllowanceHoldsAfterAWindow(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "hosts"), 80, 160)
		drawFaults(t, m)
		m.load(80, 0, 30*time.Second)
		m.run(time.Duration(rapid.IntRange(1_000, 15_000).Draw(t, "lowered at")) * time.Millisecond)
		m.rate, m.burst = 1, 2
		m.run(m.limits.Window)
		m.ran = nil
		m.run(15 * time.Second)
		if most, limit := m.most(), m.limits.Most(1, 2); float64(most) > limit {
			t.Fatalf("%d requests ran in a window, the limit is %.1f; %d with reserve tokens", most, limit, m.reserves)
		}
	})
}

// Guards against allowance that is lost in tokens that no host needs, in an even split over
// hosts with unequal demand, in pauses between messages, or in tokens of requests that did
// not run.
func TestAllowanceIsUsedWithoutFaults(t *testing.T) {
	testkit.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2, 20, 80}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "burst in seconds")
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "hosts"), rate, burst)
		m.unserved = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "unserved")
		// A token that is held for longer than the burst lasts is lost to the bucket.
		m.held = 300 * time.Millisecond
		load := rate * rapid.SampledFrom([]float64{1.3, 2, 7}).Draw(t, "load") / (1 - m.unserved)
		m.load(load, rapid.SampledFrom([]float64{0, 0.8}).Draw(t, "skew"), 42*time.Second)
		m.run(2 * time.Second)
		before, start := len(m.ran), m.now
		m.run(40 * time.Second)
		// Even one bucket for all hosts loses tokens while no request arrives.
		owed := min(40*rate, float64(m.admissible(start)))
		if used := float64(len(m.ran)-before) / owed; used < 0.95 {
			t.Fatalf("%.3f of the allowance was used; refused: %v", used, m.refused)
		}
	})
}

// Guards against a fleet that stays without a grantor after the loss of its host, a restart,
// a cut to other hosts, or a loss of power of all hosts.
func TestGrantorIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(m *model, holder *modelHost)
		// within is the longest time until tokens are granted again.
		within time.Duration
	}{
		{"host lost", func(_ *model, h *modelHost) { h.alive = false }, takeoverWait + 500*time.Millisecond},
		{"host frozen", func(m *model, h *modelHost) { h.frozenUntil = m.now + time.Minute }, takeoverWait + 500*time.Millisecond},
		{"process restarted", func(m *model, h *modelHost) { m.start(h) }, 800 * time.Millisecond},
		{"host without the platform", func(m *model, h *modelHost) {
			m.storeFault = func(i int) (err error) {
				if i == h.index {
					err = platform.ErrUnavailable
				}
				return err
			}
		}, 0},
		{"loss of power", func(m *model, _ *modelHost) {
			for _, h := range m.hosts {
				m.start(h)
			}
		}, 800 * time.Millisecond},
	} {
		m := newModel(1, 8, 24, 24)
		m.load(15, 0, 20*time.Second)
		m.run(10 * time.Second)
		var holder *modelHost
		for _, h := range m.hosts {
			if h.shard.Holds(m.now) {
				holder = h
			}
		}
		faultAt, refused, reserves := m.now, m.refused[NoGrantor], m.reserves
		c.fault(m, holder)
		granting := func() bool {
			for _, h := range m.hosts {
				if h.shard.Holds(m.now) && h.alive && m.now >= h.frozenUntil && (h != holder || c.name != "host without the platform") {
					return true
				}
			}
			return false
		}
		for m.run(10 * time.Millisecond); !granting() && m.now < faultAt+9*time.Second; {
			m.run(10 * time.Millisecond)
		}
		gap := m.now - faultAt
		m.run(8 * time.Second)
		t.Logf("%s: another grantor after %v, %d requests of 15/s refused without one, %d admitted by reserve", c.name, gap,
			m.refused[NoGrantor]-refused, m.reserves-reserves)
		if c.within > 0 && gap > c.within {
			t.Errorf("%s: no grantor for %v", c.name, gap)
		}
		if c.within == 0 && (m.refused[NoGrantor] > refused || !granting()) {
			t.Errorf("%s: %d requests refused", c.name, m.refused[NoGrantor]-refused)
		}
	}
}
