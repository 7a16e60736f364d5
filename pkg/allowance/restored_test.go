package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"shallotglade/pkg/platform"
)

// Guards against a second grantor after the platform came back from a copy. A holder that was
// cut off for longer than its lease finds itself in the copy, although another daemon took the
// lease over and lost only its record. A holder whose lease has not ended must keep it.
func TestHolderOfARestoredLease(t *testing.T) {
	era := versionOf(1, 0)
	for _, c := range []struct {
		name string
		// readAt is when the holder first hears of the copy, after its last write.
		readAt time.Duration
		// written makes the holder's next write reach the copy before it hears of it.
		written, kept bool
	}{
		{"lease valid", 2 * time.Second, false, true},
		{"lease valid, write accepted", 2 * time.Second, true, true},
		{"lease ended", 4 * time.Second, false, false},
		{"lease ended, write accepted", 4 * time.Second, true, false},
	} {
		s := NewShard(Limits{}, Self{ID: "h1.1", Host: "h1"}, 1, func(string) (string, uint64, bool) { return "", 0, false }, rand.New(rand.NewPCG(1, 1)))
		step := func(now time.Duration, kind OperationKind) Operation {
			s.Want(now)
			op, _ := s.Step(now)
			if op.Kind != kind {
				t.Fatalf("%s: call %v, want %v", c.name, op.Kind, kind)
			}
			return op
		}
		s.Done(start, start, step(start, ReadLease), platform.Object{}, platform.ErrNotFound)
		held := step(start, CreateLease)
		s.Done(start, start, held, platform.Object{Version: 5}, nil)
		now, copied, err := start+c.readAt, platform.Object{Version: era + 5, Value: held.Value}, platform.ErrConflict
		write := step(now, UpdateLease)
		if c.written {
			copied, err = platform.Object{Version: era + 6, Value: write.Value}, platform.ErrUnknownOutcome
		}
		s.Done(now, now, write, platform.Object{}, err)
		now += storeRetry
		s.Done(now, now, step(now, ReadLease), copied, nil)
		now += renewInterval
		if op, _ := s.Step(now); op.Kind == UpdateLease {
			s.Done(now, now, op, platform.Object{Version: era + 7}, nil)
		}
		if s.Holds(now) != c.kept {
			t.Errorf("%s: grants tokens: %t, want %t", c.name, s.Holds(now), c.kept)
		}
		if now += takeoverWait; !c.kept {
			s.Done(now, now, step(now, UpdateLease), platform.Object{Version: era + 8}, nil)
			if !s.Holds(now) || s.grantor.tenure.First || s.grantor.tenure.BucketsFrom < start+c.readAt+leaseDuration {
				t.Errorf("%s: not taken over with empty buckets after the wait", c.name)
			}
		}
	}
}

// Guards against a window above the limit when the platform comes back from a copy that names a
// frozen daemon as the holder of the lease, which another daemon has taken over since.
func TestLimitAfterARestoredLease(t *testing.T) {
	for _, restored := range []bool{false, true} {
		m := newModel(1, 3, 80, 240)
		m.load(10, 0, 10*time.Second)
		m.run(10 * time.Second)
		holder := m.hosts[0]
		for _, h := range m.hosts {
			if h.shard.Holds(m.now) {
				holder = h
			}
		}
		holder.frozenUntil = m.now + 7*time.Second
		if restored {
			m.copyAndRestore(m.now, holder.frozenUntil-10*time.Millisecond)
		}
		m.load(10, 0, 7*time.Second)
		m.run(7 * time.Second)
		m.load(7*80, 0.5, 8*time.Second)
		m.run(9 * time.Second)
		if most, limit := m.most(), m.limits.Most(80, 240); float64(most) > limit {
			t.Errorf("restored %t: %d requests ran in a window, the limit is %v", restored, most, limit)
		}
	}
}
