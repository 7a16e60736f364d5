package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Slice is the length of a time slice: a caller is given its homes in the
	// same order within one, and in another order in the next.
	Slice = 10 * time.Second
	// MaxLifetime is the longest lifetime of an answer.
	MaxLifetime = 12 * time.Second
	// minLifetime is the shortest one. The jitter between both keeps callers
	// from asking at the same moment.
	minLifetime = 8 * time.Second
	// maxAddresses bounds an answer. Homes in 5 domains need 10.
	maxAddresses = 16
)

// Query is a caller's question which addresses to use for a service.
type Query struct {
	Service string
	// Domain is the caller's failure domain; empty or unknown means none.
	Domain string
	// Caller is the caller's account and address, which spread callers.
	Caller string
	// Failed lists addresses that have failed for this caller.
	Failed []string
	// Now chooses the time slice.
	Now time.Time
	// AnyOrder means that the caller uses the addresses in any order.
	AnyOrder bool
}

// Answer is the response to a Query.
type Answer struct {
	// Addresses are in the order in which the caller should try them.
	Addresses []string
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

// class orders addresses: lower ones are named first.
type class uint8

const (
	ownHome class = iota
	otherHome
	doubtfulHome
	otherDaemon
	failedForCaller
	leavingHost
	failedHost
)

// Addresses answers a query. Usable homes of the caller's own failure domain
// come first, then those of the other domains, at least one of each domain
// that has any. Addresses that failed for the caller follow; leaving and failed
// hosts are named only when there is nothing else. When every home has failed
// for the caller, other daemons are named before the failed ones. The answer
// is empty only when no host has an address.
func Addresses(q Query, hosts []Host, perDomain int) Answer {
	turn := callerTurn(q)
	homes := Homes(q.Service, hosts, perDomain)
	list := arrange(q, homes, turn)
	if !slices.ContainsFunc(list, func(c candidate) bool { return c.class < failedForCaller }) {
		list = append(list, others(q, hosts, homes, turn)...)
	}
	if len(list) == 0 {
		list = lastResort(hosts, turn)
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.round, b.round), cmp.Compare(a.domain, b.domain))
	})
	if q.AnyOrder {
		list = usableOnly(list)
	}
	answer := Answer{Lifetime: minLifetime + time.Duration(mix(turn)%uint64(MaxLifetime-minLifetime))}
	for _, c := range list {
		if len(answer.Addresses) < maxAddresses && !slices.Contains(answer.Addresses, c.address) {
			answer.Addresses = append(answer.Addresses, c.address)
		}
	}
	return answer
}

// usableOnly returns the usable homes of a sorted list, or without any the
// addresses of its first class.
func usableOnly(list []candidate) []candidate {
	if len(list) == 0 {
		return list
	}
	last := max(list[0].class, otherHome)
	n := len(list)
	if i := slices.IndexFunc(list, func(c candidate) bool { return c.class > last }); i >= 0 {
		n = i
	}
	return list[:n]
}

// candidate is an address with its place: by class, then by round (the first
// home of every domain before the second of any), then by the caller's order
// of domains.
type candidate struct {
	address string
	class   class
	round   uint64
	domain  uint64
}

// callerTurn is a hash of caller, service and time slice.
func callerTurn(q Query) uint64 {
	var slice [8]byte
	binary.BigEndian.PutUint64(slice[:], uint64(q.Now.UnixNano()/int64(Slice)))
	d := xxhash.New()
	for _, part := range []string{q.Caller, "\x00", q.Service, "\x00", string(slice[:])} {
		_, _ = d.WriteString(part) // never fails
	}
	return mix(d.Sum64())
}

// arrange gives the homes, sorted by domain, their places.
func arrange(q Query, homes []Host, turn uint64) []candidate {
	list := make([]candidate, 0, len(homes))
	for len(homes) > 0 {
		domain := homes[0].Domain
		n := len(homes)
		if next := slices.IndexFunc(homes, func(h Host) bool { return h.Domain != domain }); next > 0 {
			n = next
		}
		order := mix(turn ^ xxhash.Sum64String(domain))
		for i, h := range homes[:n] {
			if h.Address != "" {
				list = append(list, candidate{
					address: h.Address, class: classOf(q, h),
					round: (uint64(i) + order) % uint64(n), domain: order,
				})
			}
		}
		homes = homes[n:]
	}
	return list
}

func classOf(q Query, h Host) class {
	switch {
	case slices.Contains(q.Failed, h.Address):
		return failedForCaller
	case h.Condition == Doubtful:
		return doubtfulHome
	case h.Domain == q.Domain:
		return ownHome
	}
	return otherHome
}

// others returns daemons that are no homes, for callers whose homes have all
// failed; the daemons forward the requests. The caller's own domain comes
// first in the order of the list, and each domain contributes at least one.
func others(q Query, hosts, homes []Host, turn uint64) []candidate {
	perDomain := map[string]int{}
	var list []candidate
	for _, h := range best(homePurpose+q.Service, hosts, len(hosts)) {
		isHome := slices.ContainsFunc(homes, func(home Host) bool { return home.ID == h.ID })
		if isHome || h.Address == "" || perDomain[h.Domain] >= DefaultPerDomain || slices.Contains(q.Failed, h.Address) {
			continue
		}
		round := uint64(perDomain[h.Domain])
		if h.Domain != q.Domain {
			round++
		}
		perDomain[h.Domain]++
		list = append(list, candidate{
			address: h.Address, class: otherDaemon, round: round,
			domain: mix(turn ^ xxhash.Sum64String(h.Domain)),
		})
	}
	return list
}

// lastResort returns leaving hosts, and then failed ones: a belief about
// failure may be wrong, and an empty answer helps no caller.
func lastResort(hosts []Host, turn uint64) []candidate {
	var list []candidate
	for _, h := range hosts {
		if h.Address == "" {
			continue
		}
		c := candidate{address: h.Address, class: failedHost, domain: mix(turn ^ xxhash.Sum64String(h.ID))}
		if h.Condition == Leaving {
			c.class = leavingHost
		}
		list = append(list, c)
	}
	return list
}
