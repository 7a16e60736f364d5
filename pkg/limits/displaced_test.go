package limits_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"shallotglade/pkg/limits"
	"shallotglade/pkg/verdict"
)

// TestDisplacedRequestIsRefusedAtOnce guards against a request that lost its place in a
// full queue and waits on until its time is over.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limits.NewGate(limits.Policy{MaxQueue: 1, MaxWait: time.Hour}, 1, time.Now, newRand())
		running, err := g.Acquire(context.Background(), limits.Request{Caller: "a", Priority: 2})
		if err != nil {
			t.Fatal(err)
		}
		displaced := make(chan error, 1)
		go func() {
			_, err := g.Acquire(context.Background(), limits.Request{Caller: "b", Priority: 2})
			displaced <- err
		}()
		synctest.Wait()
		urgent := make(chan error, 1)
		go func() {
			p, err := g.Acquire(context.Background(), limits.Request{Caller: "c", Priority: 1})
			if err == nil {
				p.Release()
			}
			urgent <- err
		}()
		synctest.Wait()
		var refusal *verdict.Error
		select {
		case err := <-displaced:
			if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun || refusal.Reason != limits.QueueFull.String() || refusal.RetryAfter <= 0 {
				t.Fatalf("the displaced request got %+v", err)
			}
		default:
			t.Fatal("the displaced request still waits")
		}
		running.Release()
		if err := <-urgent; err != nil {
			t.Fatal(err)
		}
	})
}
