package blackboard

import (
	"math/bits"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shallotglade/pkg/account"
	"shallotglade/pkg/document"
)

// Route is an active routing rule with its backend services.
type Route struct {
	*document.Rule
	// Version is the platform version of the configuration or document.
	Version uint64
	// Accounts are the accounts whose keys the requests of the route need; nil if they need
	// no key.
	Accounts *account.Directory
	// ConcealsKeys is true if the caller's key and its statement of an account must not
	// reach upstreams. It is also true for open routes of a configuration with accounts.
	ConcealsKeys bool

	backends []backend

	mu sync.Mutex
	// accountRequests counts the requests of accounts, by a hash of their names. It is
	// nil before the first. An account with a hash in common only shares the count.
	accountRequests *[accountCounters]uint32
}

// accountCounters is the number of counters of a route with several services.
const accountCounters = 256

// backend is a service that receives a share of a route's requests. credit is the
// state of smooth weighted round robin, which keeps the shares accurate over few
// requests too.
type backend struct {
	service *Service
	weight  int
	credit  int
}

// next returns the service for the next request, by smooth weighted round robin.
func (r *Route) next() (*Service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, selected := 0, -1
	for i := range r.backends {
		b := &r.backends[i]
		b.credit += b.weight
		total += b.weight
		if b.weight > 0 && (selected < 0 || b.credit > r.backends[selected].credit) {
			selected = i
		}
	}
	if selected < 0 {
		return nil, false
	}
	r.backends[selected].credit -= total
	return r.backends[selected].service, true
}

// goldenRatio is 2^64 divided by the golden ratio. Multiples of it, modulo 2^64, are spread
// evenly, also if any regular part of them is left out.
const goldenRatio = 0x9E3779B97F4A7C15

// ServiceFor returns the service for the next request of an account. Each account's
// requests are divided by the weights: a round robin for all accounts can give one of them
// all of a short service, when they take turns. An account starts at a different point at
// each daemon and in each version, because a daemon may see few of its requests before
// the next configuration. An empty account stands for requests without one.
func (r *Route) ServiceFor(account string) (*Service, bool) {
	if account == "" || len(r.backends) < 2 {
		return r.next()
	}
	name := xxhash.Sum64String(account)
	var start xxhash.Digest
	start.ResetWithSeed(name ^ r.Version)
	_, _ = start.WriteString(r.backends[0].service.self)
	_, _ = start.Write([]byte{0})
	_, _ = start.WriteString(r.Name)
	r.mu.Lock()
	if r.accountRequests == nil {
		r.accountRequests = new([accountCounters]uint32)
	}
	counter := &r.accountRequests[name%accountCounters]
	n := *counter
	*counter++
	r.mu.Unlock()
	return r.at(start.Sum64() + uint64(n)*goldenRatio)
}

// at returns the service at a point of the circle of 2^64 points that the services divide
// by weight.
func (r *Route) at(point uint64) (*Service, bool) {
	total := 0
	for i := range r.backends {
		total += max(r.backends[i].weight, 0)
	}
	position, _ := bits.Mul64(point, uint64(total))
	for i := range r.backends {
		b := &r.backends[i]
		if position < uint64(max(b.weight, 0)) {
			return b.service, true
		}
		position -= uint64(max(b.weight, 0))
	}
	return nil, false
}

// routeTable maps requests to routes. The cost of a lookup depends on the number of
// path segments and not on the number of routes. An active table is immutable.
type routeTable struct {
	// byHost maps a host, or "" for any host, to routes by path.
	byHost map[string]map[string]*Route
	// byService maps a service name to the route of requests that name the service.
	byService map[string]*Route
	// accounts are the directories in force: that of the configuration, or those of the
	// documents that list accounts. It is nil if no request needs a key.
	accounts []*account.Directory
	// configured is true if a configuration or a document is active.
	configured bool
	// version is the platform version of the configuration, or of the newest
	// document, that the table was built from.
	version uint64
}

func newRouteTable() *routeTable {
	return &routeTable{byHost: map[string]map[string]*Route{}, byService: map[string]*Route{}}
}

// newRoute returns the route of a rule, or false if none of its services is active.
// accounts is nil if the requests of no route of the configuration or document need keys.
func newRoute(rule *document.Rule, version uint64, accounts *account.Directory, services func(name string) (*Service, bool)) (*Route, bool) {
	r := &Route{Rule: rule, Version: version, ConcealsKeys: accounts != nil}
	if !rule.Open {
		r.Accounts = accounts
	}
	for _, b := range rule.Backends {
		if s, ok := services(b.Service); ok {
			r.backends = append(r.backends, backend{service: s, weight: b.Weight})
		}
	}
	return r, len(r.backends) > 0
}

// add adds a route. Of two routes with the same host and path, the one whose name
// sorts first wins, so that all daemons agree.
func (t *routeTable) add(r *Route) {
	rule := r.Rule
	paths := t.byHost[rule.Host]
	if paths == nil {
		paths = map[string]*Route{}
		t.byHost[rule.Host] = paths
	}
	if old, exists := paths[rule.Path]; !exists || rule.Name < old.Name {
		paths[rule.Path] = r
	}
}

// withoutPort strips the port from a Host header. A colon within brackets is part
// of an IPv6 address.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		return host[:i]
	}
	return host
}

// find returns the route with the longest matching path. Of two routes with the
// same path, the one for the exact host wins.
func (t *routeTable) find(host, path string) (*Route, bool) {
	exactHost, any := t.byHost[strings.ToLower(withoutPort(host))], t.byHost[""]
	lookup := func(prefix string) (*Route, bool) {
		if r, ok := exactHost[prefix]; ok {
			return r, true
		}
		r, ok := any[prefix]
		return r, ok
	}
	if r, ok := lookup(path); ok {
		return r, true
	}
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r, ok := lookup(path[:i+1]); ok {
			return r, true
		}
		if r, ok := lookup(path[:i]); ok {
			return r, true
		}
	}
	return nil, false
}

// account returns the account of that name.
func (t *routeTable) account(name string) (*account.Account, bool) {
	for _, d := range t.accounts {
		if a, ok := d.ByName(name); ok {
			return a, true
		}
	}
	return nil, false
}

// servicesAt returns the names of the services of all routes of a host.
func (t *routeTable) servicesAt(host string) []string {
	var out []string
	seen := map[string]bool{}
	for _, r := range t.byHost[strings.ToLower(withoutPort(host))] {
		for _, b := range r.backends {
			if !seen[b.service.Name] {
				seen[b.service.Name] = true
				out = append(out, b.service.Name)
			}
		}
	}
	return out
}
