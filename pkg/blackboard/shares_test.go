package blackboard

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"shallotglade/pkg/document"
)

// weightedRoute returns a route of a daemon with three services of weights 5, 3 and 2.
func weightedRoute(daemon string, version uint64) *Route {
	rule := &document.Rule{Name: "uploads"}
	for i, weight := range []int{5, 3, 2} {
		rule.Backends = append(rule.Backends, document.Backend{Service: fmt.Sprint("s", i), Weight: weight})
	}
	r, _ := newRoute(rule, version, nil, func(name string) (*Service, bool) { return &Service{Name: name, self: daemon}, true })
	return r
}

// TestEachAccountKeepsTheSharesOfARoute guards against accounts that get all of one
// service because their requests alternate with those of others. One service that is
// short of capacity is then short for one account only.
func TestEachAccountKeepsTheSharesOfARoute(t *testing.T) {
	const requests = 1000
	var sharedByAll [3]int
	shared, r := weightedRoute("d1", 1), weightedRoute("d1", 1)
	counts := map[string]*[3]int{}
	for i := range 10 * requests {
		account := fmt.Sprint("account-", i%10)
		if counts[account] == nil {
			counts[account] = new([3]int)
		}
		s, ok := r.ServiceFor(account)
		if !ok {
			t.Fatal("no service")
		}
		counts[account][s.Name[1]-'0']++
		if s, _ := shared.next(); i%10 == 0 {
			sharedByAll[s.Name[1]-'0']++
		}
	}
	if sharedByAll[0] != requests {
		t.Fatalf("the load does not show the fault: with a round robin for all, account-0 got %v", sharedByAll)
	}
	for account, n := range counts {
		for i, want := range []int{500, 300, 200} {
			if n[i] < want-20 || n[i] > want+20 {
				t.Errorf("%s: requests per service %v", account, n)
			}
		}
	}
}

// TestFewRequestsOfAnAccountPerDaemonKeepTheShares guards against daemons, or versions of
// the configuration, that all send the first request of an account to the same service.
func TestFewRequestsOfAnAccountPerDaemonKeepTheShares(t *testing.T) {
	var counts [3]int
	rng := rand.New(rand.NewPCG(20261206, 1))
	const daemons = 130
	for version := range uint64(20) {
		for d := range daemons {
			r := weightedRoute(fmt.Sprint("d", d), version)
			for range rng.IntN(3) {
				s, _ := r.ServiceFor("account")
				counts[s.Name[1]-'0']++
			}
		}
	}
	total := counts[0] + counts[1] + counts[2]
	for i, want := range []float64{0.5, 0.3, 0.2} {
		if share := float64(counts[i]) / float64(total); share < want-0.04 || share > want+0.04 {
			t.Errorf("requests per service %v", counts)
		}
	}
}
