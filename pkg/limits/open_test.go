package limits_test

import (
	"testing"
	"time"

	"shallotglade/pkg/limits"
)

// TestCallerWithoutAccountGetsItsShareBesideAccounts guards against a caller of an open route that
// gets tens of slots before all accounts of its class: each ticket of an account with a small
// weight moved the virtual time, from which the lead of such a caller counts, by 1/weight.
func TestCallerWithoutAccountGetsItsShareBesideAccounts(t *testing.T) {
	const work, waiting, completions = 100 * time.Millisecond, 3, 2000
	for _, weight := range []float64{10, 100, 0.5} {
		q := limits.NewQueue(limits.DefaultPolicy(), 1)
		q.SetCapacity(epoch, 1, 0)
		weights := map[string]float64{"open": 0, "account-1": weight, "account-2": weight, "small": 0.1}
		now, id := epoch, uint64(0)
		inQueue, started := map[string]int{}, map[string]int{}
		var running limits.Ticket
		offer := func() {
			for _, caller := range []string{"open", "account-1", "account-2", "small"} {
				for tries := 0; inQueue[caller] < waiting && tries < waiting; tries++ {
					id++
					ticket := limits.Ticket{
						ID: id, Caller: caller, Weight: weights[caller], ExpectedDuration: work,
						Target: now.Add(30 * time.Second), Deadline: now.Add(time.Minute),
					}
					switch q.Offer(now, ticket).Action {
					case limits.Run:
						running = ticket
					case limits.Wait:
						inQueue[caller]++
					}
				}
			}
		}
		offer()
		for range completions {
			now = now.Add(work)
			next := q.Done(now, running)
			if len(next) != 1 {
				t.Fatalf("%d tickets started", len(next))
			}
			running = next[0]
			inQueue[running.Caller]--
			started[running.Caller]++
			for _, expired := range q.Expire(now) {
				inQueue[expired.Caller]--
			}
			offer()
		}
		share := 1 / (1 + 2*weight + 0.1)
		if got := float64(started["open"]) / completions; got < share*0.6 || got > share*1.6 {
			t.Errorf("accounts of weight %v: the caller without account got %.3f of the slots, its share is %.3f: %v", weight, got, share, started)
		}
	}
}
