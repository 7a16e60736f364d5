package routing

import (
	"cmp"
	"math"
	"slices"
)

// Home is a home of the service, as used by Quotas.
type Home struct {
	ID, Domain string
	// Demand is the mean number of requests that the home had in flight and waiting,
	// from its last report. For itself, each home uses the value that it last sent.
	// If all are zero, the homes get equal shares.
	Demand float64
}

// minDemandShare is the minimum demand of a home, as a fraction of the mean demand,
// so that an idle home has slots for its first requests.
const minDemandShare = 0.2

// Quotas assigns the slots of all upstreams to the homes in proportion to their
// demand. It returns the number of slots of the home self, by index of the upstream.
// Each slot goes to one home, so that homes with the same reports never use the same
// slot. Slots go to homes of the same failure domain first. Upstreams with a limited
// share are assigned separately, so that each home gets its part of the others;
// upstreams with no share are skipped. Only ID, Domain, Slots and Share of the
// candidates are used.
func Quotas(self string, homes []Home, upstreams []Candidate) []int {
	homes = slices.SortedFunc(slices.Values(homes), func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	var fullShare, limited []int
	for i := range upstreams {
		switch c := &upstreams[i]; {
		case c.Share >= 1:
			fullShare = append(fullShare, i)
		case c.Share > 0:
			limited = append(limited, i)
		}
	}
	quotas := make([]int, len(upstreams))
	for _, group := range [][]int{fullShare, limited} {
		slices.SortFunc(group, func(a, b int) int { return cmp.Compare(upstreams[a].ID, upstreams[b].ID) })
		assignSlots(quotas, self, homes, upstreams, group)
	}
	return quotas
}

// assignSlots assigns the slots of the upstreams in group and adds those of self to
// quotas.
func assignSlots(quotas []int, self string, homes []Home, upstreams []Candidate, group []int) {
	total, unassigned := 0, make(map[int]int, len(group))
	for _, i := range group {
		unassigned[i] = upstreams[i].slots()
		total += unassigned[i]
	}
	remaining := slotTargets(homes, total)
	for _, sameDomain := range []bool{true, false} {
		for _, i := range group {
			for unassigned[i] > 0 {
				h := homeWithMostRemaining(homes, remaining, upstreams[i].Domain, sameDomain)
				if h < 0 {
					break
				}
				remaining[h]--
				unassigned[i]--
				if homes[h].ID == self {
					quotas[i]++
				}
			}
		}
	}
}

// slotTargets divides total by demand, rounding up the largest remainders.
func slotTargets(homes []Home, total int) []int {
	var sum float64
	for _, h := range homes {
		sum += h.Demand
	}
	minDemand := minDemandShare * sum / float64(len(homes))
	if sum == 0 {
		minDemand = 1
	}
	sum = 0
	for _, h := range homes {
		sum += max(h.Demand, minDemand)
	}
	counts, order := make([]int, len(homes)), make([]int, len(homes))
	remainders := make([]float64, len(homes))
	for i, h := range homes {
		exact := float64(total) * max(h.Demand, minDemand) / sum
		counts[i] = int(exact)
		remainders[i], order[i] = exact-math.Floor(exact), i
	}
	unassigned := total
	for _, n := range counts {
		unassigned -= n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range order[:min(unassigned, len(order))] {
		counts[i]++
	}
	return counts
}

// homeWithMostRemaining returns the index of the home that has the most slots still
// to get, or -1.
func homeWithMostRemaining(homes []Home, remaining []int, domain string, sameDomain bool) int {
	found := -1
	for i, h := range homes {
		if remaining[i] <= 0 || (sameDomain && h.Domain != domain) {
			continue
		}
		if found < 0 || remaining[i] > remaining[found] {
			found = i
		}
	}
	return found
}

// MaxBorrowRisk is the highest probability of using an occupied slot at which a home
// borrows a slot assigned to another home. A request that finds the slot occupied is
// shed and retried from the retry budget, which allows for a tenth of all requests.
const MaxBorrowRisk = 0.03

// mayBorrow reports whether one more request is likely to find a free slot. The
// number of requests that other homes have in flight is modeled as binomial with mean
// Others.
func (c *Candidate) mayBorrow(ownInFlight int) bool {
	slots := c.slots()
	if ownInFlight >= slots || c.OthersCurrent {
		return false
	}
	p := min(1, c.OthersInFlight/float64(slots))
	if p <= 0 {
		return true
	}
	if p >= 1 {
		return false
	}
	// term is the probability that others have exactly k in flight. The sum runs from
	// all slots occupied down to the lowest number at which our request would be
	// shed.
	term, sum := math.Pow(p, float64(slots)), 0.0
	for k := slots; k >= slots-ownInFlight; k-- {
		sum += term
		term *= float64(k) / float64(slots-k+1) * (1 - p) / p
	}
	return sum <= MaxBorrowRisk
}
