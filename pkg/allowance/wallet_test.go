package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a request that is refused without asking because a message failed long ago,
// when the daemon had its last request.
func TestFirstRequestAfterAPauseAsksAgain(t *testing.T) {
	w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
	candidates := func() []Candidate { return []Candidate{{ID: "g"}} }
	now := start
	w.link.firstGrantAt = now - startTime // At the start of a daemon requests wait longer.
	_, waiter := w.Take(now, "a", 10, 10, now+maxWait)
	for range 2 {
		if call, _ := w.Next(now, candidates, 1); call == nil {
			t.Fatal("no message")
		}
		now += callTimeout
		w.Fail(now)
	}
	w.Expire(now, waiter)
	if o, other := w.Take(now, "a", 10, 10, now+maxWait); other != nil || o.Reason != NoGrantor {
		t.Fatalf("request while no grantor answers: %+v, waits %t", o, other != nil)
	}
	now += time.Minute
	if o, other := w.Take(now, "a", 10, 10, now+maxWait); other == nil {
		t.Fatalf("request a minute later: %+v", o)
	}
}

// Guards against a wallet that keeps every account that ever had a request while others have
// requests, and looks at all of them for each message.
func TestIdleAccountsAreForgotten(t *testing.T) {
	w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
	g := NewGrantor(Limits{}, Tenure{Term: 1, First: true})
	policy := func(string) (float64, float64, bool) { return 10, 10, true }
	for i := range 300 {
		now := start + time.Duration(i)*100*time.Millisecond
		for _, name := range []string{"busy", fmt.Sprint("idle after ", min(i, 99))} {
			if i < 100 || name == "busy" {
				_, _ = w.Take(now, name, 10, 10, now+maxWait)
			}
		}
		if call, _ := w.Next(now, func() []Candidate { return []Candidate{{ID: "g"}} }, 1); call != nil {
			w.Reply(now, g.Handle(now, "e", call.Request, 1, policy))
		}
	}
	if len(w.order) != 1 || len(w.accounts) != 1 {
		t.Fatalf("%d accounts remembered, one had requests in the last 20 s", len(w.order))
	}
}
