package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultHomesPerDomain is the default number of homes of a service in each failure
// domain. With two, the caller's own domain still has a home after the loss of one.
const DefaultHomesPerDomain = 2

// slotsPerHome is the number of slots that one home per failure domain serves well
// (docs/decisions/homes-per-service.md).
const slotsPerHome = 64

// HomesPerDomain returns the number of homes in each failure domain for a group of
// services that share their homes. slots maps each domain to the slots of the group's
// upstreams there. A second home halves the load of a small host, but it also splits
// the outcomes observed for each upstream and its slots between the homes. The number
// therefore grows with the square root of the slots.
func HomesPerDomain(slots map[string]int) int {
	totalSlots := 0
	for _, n := range slots {
		totalSlots += n
	}
	if totalSlots == 0 {
		return 1
	}
	meanSlots := float64(totalSlots) / float64(len(slots))
	return max(1, int(math.Round(math.Sqrt(meanSlots/slotsPerHome))))
}

// Expected load of a home. A service's slots bound its requests; how often a slot is
// reused depends on the work, which daemons that are not homes do not observe.
const (
	// peakRequestsPerSlot is the expected number of requests per second and slot at
	// peak. The users' services get 0.45 to 1.7.
	peakRequestsPerSlot = 1.5
	// requestCores is the processor time, in core seconds, that a home spends on a
	// request, with its reports and connections.
	requestCores = 0.001
	// requestMegabits is the traffic of one request in the busier direction of the
	// home's link: request and response each cross it once.
	requestMegabits = 0.04
	// usableShare is the share of a host's processor time and link that requests may
	// use at peak. The rest serves bursts, membership and address queries.
	usableShare = 0.6
)

// RequestCapacity returns how many requests per second a host serves as a home, given
// its share of processor cores and the bandwidth of its link in Mbit/s. A value of 0
// is unknown and sets no limit; the result is 0 if both are.
func RequestCapacity(cores, linkMbps float64) float64 {
	byProcessor, byLink := usableShare*cores/requestCores, usableShare*linkMbps/requestMegabits
	switch {
	case cores <= 0:
		return max(byLink, 0)
	case linkMbps <= 0:
		return byProcessor
	}
	return min(byProcessor, byLink)
}

// Demand states how many homes a group of services needs in each failure domain.
type Demand struct {
	// PerDomain is the number of homes in a domain whose hosts' capacity is unknown, at
	// least 1. If Fixed is set, it is the smallest number in any domain.
	PerDomain int
	Fixed     bool
	// Rate is the expected number of requests per second in a domain at peak; 0 is
	// unknown.
	Rate float64
}

// GroupDemand returns the demand of a group of services that share their homes. slots
// maps each domain to the slots of the group's upstreams there.
func GroupDemand(slots map[string]int) Demand {
	totalSlots := 0
	for _, n := range slots {
		totalSlots += n
	}
	rate := peakRequestsPerSlot * float64(totalSlots) / float64(max(1, len(slots)))
	return Demand{PerDomain: HomesPerDomain(slots), Rate: rate}
}

// Key prefixes make the scores for homes and relays independent of each other.
const (
	homeKeyPrefix  = "home/"
	relayKeyPrefix = "relay/"
)

// Homes returns the homes of a service, sorted by domain and then by descending score.
// In each failure domain these are the fewest hosts with capacity for equal parts of the
// domain's requests, because each home sees only its part of the outcomes. Among as many
// hosts, those with the highest scores are chosen. If maxSplit times d.PerDomain hosts
// cannot carry the load, the homes are as many hosts as carry the most. There are
// d.PerDomain homes in a domain while no capacity is known, and at least as many if d.Fixed
// is set.
func Homes(service string, hosts []Host, d Demand) []Host {
	key, fewest := homeKeyPrefix+service, d.PerDomain
	if !d.Fixed && slices.ContainsFunc(hosts, func(h Host) bool { return h.Capacity > 0 }) {
		fewest = 1
	}
	homes := selectHosts(key, hosts, fewest, d.share(fewest))
	for _, domain := range domainsOf(hosts) {
		if countIn(homes, domain) < fewest {
			homes = slices.DeleteFunc(homes, func(h Host) bool { return h.Domain == domain })
			homes = append(homes, domainHomes(key, hosts, domain, fewest+1, d)...)
		}
	}
	slices.SortStableFunc(homes, func(a, b Host) int { return cmp.Compare(a.Domain, b.Domain) })
	return homes
}

// share returns the requests per second of each of n homes in a domain.
func (d Demand) share(n int) float64 { return d.Rate / float64(max(1, n)) }

// domainHomes returns the homes of a domain in which at least n are needed.
func domainHomes(key string, hosts []Host, domain string, n int, d Demand) []Host {
	inDomain := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Domain != domain || !h.eligible() })
	most := min(maxSplit*d.PerDomain, len(inDomain))
	for ; n < most; n++ {
		if homes := selectHosts(key, inDomain, n, d.share(n)); len(homes) == n {
			return homes
		}
	}
	return strongestHomes(key, inDomain, most)
}

// strongestHomes returns at most n hosts of a domain that carry the most if each gets an
// equal part.
func strongestHomes(key string, hosts []Host, n int) []Host {
	capacities := make([]float64, len(hosts))
	for i := range hosts {
		if capacities[i] = hosts[i].Capacity; capacities[i] == 0 {
			capacities[i] = math.Inf(1)
		}
	}
	slices.SortFunc(capacities, func(a, b float64) int { return cmp.Compare(b, a) })
	count, most := 0, 0.0
	for i, smallest := range capacities[:n] {
		if together := float64(i+1) * smallest; together >= most {
			count, most = i+1, together
		}
	}
	if count == 0 {
		return nil
	}
	return selectHosts(key, hosts, count, capacities[count-1])
}

// maxSplit limits the number of homes in a domain of small hosts to a multiple of
// Demand.PerDomain. Every home reports to all others, so the cost of reports grows with the
// square of their number: fifty homes of 0.16 cores could do nothing else.
const maxSplit = 2

// domainsOf returns the domains that have an eligible host, each once.
func domainsOf(hosts []Host) []string {
	var domains []string
	for i := range hosts {
		if h := &hosts[i]; h.eligible() && !slices.Contains(domains, h.Domain) {
			domains = append(domains, h.Domain)
		}
	}
	return domains
}

func countIn(hosts []Host, domain string) int {
	n := 0
	for i := range hosts {
		if hosts[i].Domain == domain {
			n++
		}
	}
	return n
}

// Relays returns the n eligible hosts of the domain with the highest scores, in
// descending order. Hosts with the largest capacity in the domain go first, since a relay
// sends every change to all daemons of the domain. When one fails, leaves or loses its
// connection to the platform, the host with the next highest score replaces it.
func Relays(domain string, hosts []Host, n int) []Host {
	var attached, detached []Host
	largest := 0.0
	for _, h := range hosts {
		if h.Domain != domain || !h.eligible() {
			continue
		}
		if h.Detached {
			detached = append(detached, h)
			continue
		}
		attached = append(attached, h)
		largest = max(largest, h.Capacity)
	}
	key := relayKeyPrefix + domain
	if chosen := selectHosts(key, attached, n, largest); len(chosen) == n {
		return chosen
	}
	if chosen := selectHosts(key, attached, n, 0); len(chosen) > 0 {
		return chosen
	}
	return selectHosts(key, detached, n, 0)
}

type scoredHost struct {
	score uint64
	host  *Host
}

// domainSelection holds the selected hosts of one domain by descending score.
type domainSelection struct {
	domain string
	list   []scoredHost
}

// selectHosts returns the n eligible hosts with the highest scores in each domain among
// those with at least minCapacity, in requests per second, or unknown capacity, sorted by domain and then by descending score. A single pass, without sorting all
// hosts, keeps a call for 1,600 hosts far below a millisecond.
func selectHosts(key string, hosts []Host, n int, minCapacity float64) []Host {
	if n <= 0 {
		return nil
	}
	seed := xxhash.Sum64String(key)
	var selections []domainSelection
	for i := range hosts {
		h := &hosts[i]
		if !h.eligible() || !h.hasCapacity(minCapacity) {
			continue
		}
		index := slices.IndexFunc(selections, func(t domainSelection) bool { return t.domain == h.Domain })
		if index < 0 {
			index = len(selections)
			selections = append(selections, domainSelection{domain: h.Domain, list: make([]scoredHost, 0, min(n, len(hosts))+1)})
		}
		selections[index].insert(scoredHost{score: mix(seed ^ xxhash.Sum64String(h.hashKey())), host: h}, n)
	}
	slices.SortFunc(selections, func(a, b domainSelection) int { return cmp.Compare(a.domain, b.domain) })
	var chosen []Host
	for _, t := range selections {
		for _, s := range t.list {
			chosen = append(chosen, *s.host)
		}
	}
	return chosen
}

// insert adds s and keeps the n hosts with the highest scores.
func (t *domainSelection) insert(s scoredHost, n int) {
	if len(t.list) == n && s.compare(t.list[n-1]) > 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(t.list, s, scoredHost.compare)
	t.list = slices.Insert(t.list, index, s)
	t.list = t.list[:min(len(t.list), n)]
}

// compare orders by descending score and then by ID.
func (s scoredHost) compare(other scoredHost) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.host.ID, other.host.ID))
}

// mix is the finalizer of splitmix64. Combining two hashes by exclusive or alone
// would rank hosts similarly for similar keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// grantorKeyPrefix makes the scores for grantors independent of those for homes and relays.
const grantorKeyPrefix = "grantor/"

// Grantors returns at most n eligible hosts in the order in which they are preferred for a
// task that one daemon of the fleet has, here the allowances of a shard. Attached hosts
// precede detached ones, usable hosts suspect ones, and hosts with the largest capacity all
// others, because every daemon asks the grantor. The score decides among equals.
func Grantors(shard string, hosts []Host, n int) []Host {
	largest := 0.0
	for i := range hosts {
		if hosts[i].eligible() {
			largest = max(largest, hosts[i].Capacity)
		}
	}
	seed := xxhash.Sum64String(grantorKeyPrefix + shard)
	list := make([]scoredHost, 0, len(hosts))
	for i := range hosts {
		if h := &hosts[i]; h.eligible() {
			list = append(list, scoredHost{score: mix(seed ^ xxhash.Sum64String(h.hashKey())), host: h})
		}
	}
	class := func(h *Host) (c int) {
		if h.Detached {
			c += 4
		}
		if h.Condition != Usable {
			c += 2
		}
		if !h.hasCapacity(largest) {
			c++
		}
		return c
	}
	slices.SortFunc(list, func(a, b scoredHost) int { return cmp.Or(cmp.Compare(class(a.host), class(b.host)), a.compare(b)) })
	out := make([]Host, min(n, len(list)))
	for i := range out {
		out[i] = *list[i].host
	}
	return out
}
