package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RotationPeriod is the length of a time slice. The order of a caller's homes
	// stays the same within a slice and changes with the next.
	RotationPeriod = 10 * time.Second
	// MaxLifetime is the maximum lifetime of an answer.
	MaxLifetime = 12 * time.Second
	// minLifetime is the minimum lifetime. The jitter between the two keeps callers
	// from refreshing at the same time.
	minLifetime = 8 * time.Second
	// maxAddresses limits the addresses of an answer. A domain of small hosts may need
	// a dozen homes.
	maxAddresses = 64
)

// Query is a caller's request for the addresses to use for a service.
type Query struct {
	Service string
	// Domain is the caller's failure domain; empty or unknown means none.
	Domain string
	// Caller is the caller's account and address, by which callers are spread over
	// homes.
	Caller string
	// Failed lists addresses that have failed for this caller.
	Failed []string
	// Now selects the time slice.
	Now time.Time
	// AnyOrder is true if the caller uses the addresses in any order.
	AnyOrder bool
}

// Answer is the response to a Query.
type Answer struct {
	// Addresses are in the order in which the caller should try them.
	Addresses []string
	// Lifetime is how long the caller may use the answer.
	Lifetime time.Duration
}

// class is the preference class of an address; lower classes are listed first.
type class uint8

const (
	ownDomainHome class = iota
	otherDomainHome
	suspectHome
	otherDaemon
	failedForCaller
	leavingHost
	failedHost
)

// Addresses answers a query. Usable homes in the caller's failure domain come first,
// then those in other domains, at least one for each domain that has any. Addresses
// that failed for the caller follow. If every home has failed for the caller, other
// daemons are listed before the failed homes. Leaving and failed hosts are listed
// only if there is nothing else. The answer is empty only if no host has an address.
func Addresses(q Query, hosts []Host, d Demand) Answer {
	seed := rotationSeed(q)
	homes := Homes(q.Service, hosts, d)
	list := homeCandidates(q, homes, seed)
	if !slices.ContainsFunc(list, func(c candidate) bool { return c.class < failedForCaller }) {
		list = append(list, otherDaemonCandidates(q, hosts, homes, seed)...)
	}
	if len(list) == 0 {
		list = lastResortCandidates(hosts, seed)
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.round, b.round), cmp.Compare(a.domainOrder, b.domainOrder))
	})
	if q.AnyOrder {
		list = usableOnly(list)
	}
	answer := Answer{Lifetime: minLifetime + time.Duration(mix(seed)%uint64(MaxLifetime-minLifetime))}
	for _, c := range list {
		if len(answer.Addresses) < maxAddresses && !slices.Contains(answer.Addresses, c.address) {
			answer.Addresses = append(answer.Addresses, c.address)
		}
	}
	return answer
}

// usableOnly returns the usable homes of a sorted list or, if there are none, the
// addresses of the best class present.
func usableOnly(list []candidate) []candidate {
	if len(list) == 0 {
		return list
	}
	maxClass := max(list[0].class, otherDomainHome)
	n := len(list)
	if i := slices.IndexFunc(list, func(c candidate) bool { return c.class > maxClass }); i >= 0 {
		n = i
	}
	return list[:n]
}

// candidate is an address with its sort keys: class, then round (the first home of
// every domain before the second of any), then the caller's order of domains.
type candidate struct {
	address     string
	class       class
	round       uint64
	domainOrder uint64
}

// rotationSeed returns a hash of caller, service and time slice.
func rotationSeed(q Query) uint64 {
	var period [8]byte
	binary.BigEndian.PutUint64(period[:], uint64(q.Now.UnixNano()/int64(RotationPeriod)))
	d := xxhash.New()
	for _, part := range []string{q.Caller, "\x00", q.Service, "\x00", string(period[:])} {
		_, _ = d.WriteString(part) // never fails
	}
	return mix(d.Sum64())
}

// homeCandidates returns candidates for the homes, which must be sorted by domain.
func homeCandidates(q Query, homes []Host, seed uint64) []candidate {
	list := make([]candidate, 0, len(homes))
	for len(homes) > 0 {
		domain := homes[0].Domain
		n := len(homes)
		if next := slices.IndexFunc(homes, func(h Host) bool { return h.Domain != domain }); next > 0 {
			n = next
		}
		order := mix(seed ^ xxhash.Sum64String(domain))
		for i, h := range homes[:n] {
			if h.Address != "" {
				list = append(list, candidate{
					address: h.Address, class: classOf(q, h),
					round: (uint64(i) + order) % uint64(n), domainOrder: order,
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
	case h.Condition == Suspect:
		return suspectHome
	case h.Domain == q.Domain:
		return ownDomainHome
	}
	return otherDomainHome
}

// otherDaemonCandidates returns daemons that are not homes, for callers whose homes
// have all failed; these daemons forward the requests. Daemons in the caller's domain
// come first, and each domain contributes at least one.
func otherDaemonCandidates(q Query, hosts, homes []Host, seed uint64) []candidate {
	perDomain := map[string]int{}
	var list []candidate
	for _, h := range selectHosts(homeKeyPrefix+q.Service, hosts, len(hosts), 0) {
		isHome := slices.ContainsFunc(homes, func(home Host) bool { return home.ID == h.ID })
		if isHome || h.Address == "" || perDomain[h.Domain] >= DefaultHomesPerDomain || slices.Contains(q.Failed, h.Address) {
			continue
		}
		round := uint64(perDomain[h.Domain])
		if h.Domain != q.Domain {
			round++
		}
		perDomain[h.Domain]++
		list = append(list, candidate{
			address: h.Address, class: otherDaemon, round: round,
			domainOrder: mix(seed ^ xxhash.Sum64String(h.Domain)),
		})
	}
	return list
}

// lastResortCandidates returns leaving hosts and hosts believed to have failed. That
// belief may be wrong, and an empty answer helps no caller.
func lastResortCandidates(hosts []Host, seed uint64) []candidate {
	var list []candidate
	for _, h := range hosts {
		if h.Address == "" {
			continue
		}
		c := candidate{address: h.Address, class: failedHost, domainOrder: mix(seed ^ xxhash.Sum64String(h.ID))}
		if h.Condition == Leaving {
			c.class = leavingHost
		}
		list = append(list, c)
	}
	return list
}
