package routing

import (
	"cmp"
	"math"
	"slices"
)

// Home is a home of the service, for Quotas.
type Home struct {
	ID, Domain string
	// Demand is the mean number of requests that the home had in flight and
	// waiting, from its last report; each home uses the value it has sent for
	// itself. When all are zero the shares are equal.
	Demand float64
}

// leastDemand is the part of the mean demand that every home counts with, so
// that an idle home has slots for its first requests.
const leastDemand = 0.2

// Quotas deals the slots of all upstreams to the homes in proportion to their
// demand and returns those of the home self, by position of the upstream. Each
// slot goes to one home, so that homes that know the same reports never send
// two requests to one slot. Slots go to homes of the same failure domain first.
// Upstreams with a limited share are dealt apart, so that each home gets its
// part of the others; those with no share are not dealt. Only ID, Domain, Slots
// and Share are looked at.
func Quotas(self string, homes []Home, upstreams []Candidate) []int {
	homes = slices.SortedFunc(slices.Values(homes), func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	var normal, limited []int
	for i := range upstreams {
		switch c := &upstreams[i]; {
		case c.Share >= 1:
			normal = append(normal, i)
		case c.Share > 0:
			limited = append(limited, i)
		}
	}
	quotas := make([]int, len(upstreams))
	for _, group := range [][]int{normal, limited} {
		slices.SortFunc(group, func(a, b int) int { return cmp.Compare(upstreams[a].ID, upstreams[b].ID) })
		deal(quotas, self, homes, upstreams, group)
	}
	return quotas
}

// deal deals the slots of the upstreams in group.
func deal(quotas []int, self string, homes []Home, upstreams []Candidate, group []int) {
	total, undealt := 0, make(map[int]int, len(group))
	for _, i := range group {
		undealt[i] = upstreams[i].slots()
		total += undealt[i]
	}
	left := targets(homes, total)
	for _, near := range []bool{true, false} {
		for _, i := range group {
			for undealt[i] > 0 {
				h := neediest(homes, left, upstreams[i].Domain, near)
				if h < 0 {
					break
				}
				left[h]--
				undealt[i]--
				if homes[h].ID == self {
					quotas[i]++
				}
			}
		}
	}
}

// targets divides total by demand, with the largest remainders rounded up.
func targets(homes []Home, total int) []int {
	var sum float64
	for _, h := range homes {
		sum += h.Demand
	}
	least := leastDemand * sum / float64(len(homes))
	if sum == 0 {
		least = 1
	}
	sum = 0
	for _, h := range homes {
		sum += max(h.Demand, least)
	}
	out, order := make([]int, len(homes)), make([]int, len(homes))
	rest := make([]float64, len(homes))
	for i, h := range homes {
		part := float64(total) * max(h.Demand, least) / sum
		out[i] = int(part)
		rest[i], order[i] = part-math.Floor(part), i
	}
	left := total
	for _, n := range out {
		left -= n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	for _, i := range order[:min(left, len(order))] {
		out[i]++
	}
	return out
}

// neediest is the home with the most slots still to get, or -1.
func neediest(homes []Home, left []int, domain string, near bool) int {
	best := -1
	for i, h := range homes {
		if left[i] <= 0 || (near && h.Domain != domain) {
			continue
		}
		if best < 0 || left[i] > left[best] {
			best = i
		}
	}
	return best
}

// BorrowRisk is the highest expected chance of meeting a taken slot at which a
// home uses a slot that is dealt to another. Such a request is shed and paid
// for from the retry budget, which allows for a tenth of all requests.
const BorrowRisk = 0.03

// mayBorrow reports whether one more request is likely to find a free slot. The
// number that others have in flight is taken as binomial with mean Others.
func (c *Candidate) mayBorrow(own int) bool {
	slots := c.slots()
	if own >= slots || c.OthersKnown {
		return false
	}
	p := min(1, c.Others/float64(slots))
	if p <= 0 {
		return true
	}
	if p >= 1 {
		return false
	}
	// term is the probability of exactly k in flight; the sum runs from all
	// slots taken down to the number at which ours would be shed.
	term, sum := math.Pow(p, float64(slots)), 0.0
	for k := slots; k >= slots-own; k-- {
		sum += term
		term *= float64(k) / float64(slots-k+1) * (1 - p) / p
	}
	return sum <= BorrowRisk
}
