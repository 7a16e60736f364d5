package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkFleet reports the figures of docs/design/allowances.md: the shares of the allowance
// that were used and of the requests that were refused, the largest window as a share of the
// limit, and the traffic of the account. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	const seconds = 60
	for _, rate := range []float64{4, 240} {
		for _, load := range []float64{0.625, 7} {
			for _, hosts := range []int{1, 4, 130} {
				b.Run(fmt.Sprintf("rate=%v/load=%v/hosts=%d", rate, load, hosts), func(b *testing.B) {
					for range b.N {
						m := newModel(1, hosts, rate, rate)
						m.load(load*rate, 0, (seconds+2)*time.Second)
						m.run(2 * time.Second)
						before, messages, bytes := len(m.ran), m.messages, m.bytes
						refused := func() int { return m.refused[Exhausted] + m.refused[NoGrantor] }
						refusedBefore := refused()
						m.run(seconds * time.Second)
						ran := float64(len(m.ran) - before)
						b.ReportMetric(ran/(seconds*rate), "used")
						b.ReportMetric(float64(refused()-refusedBefore)/(ran+float64(refused()-refusedBefore)), "refused")
						b.ReportMetric(float64(m.most())/m.limits.Most(rate, rate), "window/limit")
						b.ReportMetric(float64(m.messages-messages)/seconds, "messages/s")
						b.ReportMetric(float64(m.bytes-bytes)/seconds, "B/s")
					}
				})
			}
		}
	}
}

// BenchmarkTake measures one admitted request at an entry daemon that holds tokens.
func BenchmarkTake(b *testing.B) {
	w := NewWallet(Limits{}, "self", rand.New(rand.NewPCG(1, 1)))
	w.Take(start, "a", 1e6, 1e6, start)
	w.accounts["a"].batches = []batch{{n: 1 << 40, expires: never}}
	w.accounts["a"].waiters = nil
	for b.Loop() {
		if o, _ := w.Take(start, "a", 1e6, 1e6, start); o.Ticket == nil {
			b.Fatal("no token")
		}
	}
}

// BenchmarkGrant measures one account of a message at the grantor of 130 entry daemons.
func BenchmarkGrant(b *testing.B) {
	g := NewGrantor(Limits{}, Tenure{Term: 1, First: true})
	policy := func(string) (float64, float64, bool) { return 1e6, 1e6, true }
	now, i := start, 0
	for b.Loop() {
		i++
		now += 100 * time.Microsecond
		r := &Request{Seq: uint64(i), Acked: uint64(i), Term: 1, Nonce: uint32(i % 130), Asks: []Ask{{Name: "a", Need: 2}}}
		if reply := g.Handle(now, "h", r, 1, policy); reply.Grants[0].Tokens != 2 {
			b.Fatal(reply)
		}
	}
}
