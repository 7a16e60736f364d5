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
// Own and Others of the candidates are not looked at.
func Quotas(self string, homes []Home, upstreams []Candidate) []int {
	homes = slices.Clone(homes)
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	order := make([]int, len(upstreams))
	total := 0
	for i := range upstreams {
		order[i] = i
		total += upstreams[i].slots()
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(upstreams[a].ID, upstreams[b].ID) })
	left := targets(homes, total)
	quotas, undealt := make([]int, len(upstreams)), make([]int, len(upstreams))
	for _, i := range order {
		undealt[i] = upstreams[i].slots()
	}
	for _, near := range []bool{true, false} {
		for _, i := range order {
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
	return quotas
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
		total0 := math.Floor(part)
		rest[i], order[i] = part-total0, i
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
	if own >= slots {
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
