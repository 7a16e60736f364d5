// Package placement says which daemons do what: which are the homes of a
// service, which watch the platform, and which addresses a caller is told.
package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is a live daemon.
type Host struct {
	ID          string
	Address     string
	PeerAddress string
	Domain      string
	Leaving     bool
}

func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// top returns the n hosts of a domain with the highest weights for key.
func top(key string, hosts []Host, n int) []Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Host) int {
		wa, wb := weight(key, a.ID), weight(key, b.ID)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out[:min(n, len(out))]
}

func byDomain(hosts []Host) (map[string][]Host, []string) {
	m := map[string][]Host{}
	for _, h := range hosts {
		if !h.Leaving {
			m[h.Domain] = append(m[h.Domain], h)
		}
	}
	var names []string
	for d := range m {
		names = append(names, d)
	}
	slices.Sort(names)
	return m, names
}

// Homes returns perDomain homes of a service in each failure domain.
func Homes(service string, hosts []Host, perDomain int) []Host {
	m, names := byDomain(hosts)
	var out []Host
	for _, d := range names {
		out = append(out, top("home/"+service, m[d], perDomain)...)
	}
	return out
}

// Relays returns the relays of a failure domain.
func Relays(domain string, hosts []Host, n int) []Host {
	m, _ := byDomain(hosts)
	return top("relay/"+domain, m[domain], n)
}

// Query is a caller's question.
type Query struct {
	Service, Domain, Caller string
	Failed                  []string
	Now                     time.Time
	Lifetime                time.Duration
}

// Addresses orders homes for a caller.
func Addresses(q Query, homes []Host) []string {
	ordered := slices.Clone(homes)
	rank := func(h Host) int {
		r := 0
		if h.Domain != q.Domain {
			r++
		}
		if slices.Contains(q.Failed, h.Address) {
			r += 2
		}
		return r
	}
	slices.SortFunc(ordered, func(a, b Host) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			return ra - rb
		}
		if weight(q.Caller, a.ID) > weight(q.Caller, b.ID) {
			return -1
		}
		return 1
	})
	var out []string
	for _, h := range ordered {
		out = append(out, h.Address)
	}
	return out
}
