package blackboard

import (
	"strings"
	"sync"

	"shallotglade/pkg/document"
)

// Route is a rule in force with the services behind it.
type Route struct {
	*document.Rule
	// Version is the platform version of the configuration or document.
	Version  uint64
	backends []backend

	mu sync.Mutex
}

// backend is a part of a route's requests. credit implements smooth weighted
// round robin, which keeps the parts even over few requests too.
type backend struct {
	service *Service
	weight  int
	credit  int
}

// next returns the service of the next request. Parts follow the weights.
func (r *Route) next() (*Service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, best := 0, -1
	for i := range r.backends {
		b := &r.backends[i]
		b.credit += b.weight
		total += b.weight
		if b.weight > 0 && (best < 0 || b.credit > r.backends[best].credit) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	r.backends[best].credit -= total
	return r.backends[best].service, true
}

// routeTable finds the route of a request in a number of steps that depends on
// the segments of its path and not on the number of routes. It is not changed
// once it is in force.
type routeTable struct {
	// byHost maps a host, or "" for any, to paths and their routes.
	byHost map[string]map[string]*Route
	// named holds the routes of requests that name their service.
	named map[string]*Route
	// configured is whether the routes are those of a configuration or of documents.
	configured bool
	// version is the platform version of the configuration, or of the newest
	// document, that the table is made from.
	version uint64
}

func newRouteTable() *routeTable {
	return &routeTable{byHost: map[string]map[string]*Route{}, named: map[string]*Route{}}
}

// newRoute returns the route of a rule, or false when none of its services is in
// force.
func newRoute(rule *document.Rule, version uint64, services func(name string) (*Service, bool)) (*Route, bool) {
	r := &Route{Rule: rule, Version: version}
	for _, b := range rule.Backends {
		if s, ok := services(b.Service); ok {
			r.backends = append(r.backends, backend{service: s, weight: b.Weight})
		}
	}
	return r, len(r.backends) > 0
}

// add enters a route. Of two routes with the same host and path the one whose
// name sorts first wins, so that all daemons agree.
func (t *routeTable) add(r *Route) {
	rule := r.Rule
	paths := t.byHost[rule.Host]
	if paths == nil {
		paths = map[string]*Route{}
		t.byHost[rule.Host] = paths
	}
	if old, taken := paths[rule.Path]; !taken || rule.Name < old.Name {
		paths[rule.Path] = r
	}
}

// withoutPort returns the host of a Host header. A colon within brackets belongs
// to an IPv6 number.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		return host[:i]
	}
	return host
}

// find returns the route with the longest path; of two routes with the same
// path, the one that names the host.
func (t *routeTable) find(host, path string) (*Route, bool) {
	named, any := t.byHost[strings.ToLower(withoutPort(host))], t.byHost[""]
	look := func(prefix string) (*Route, bool) {
		if r, ok := named[prefix]; ok {
			return r, true
		}
		r, ok := any[prefix]
		return r, ok
	}
	if r, ok := look(path); ok {
		return r, true
	}
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r, ok := look(path[:i+1]); ok {
			return r, true
		}
		if r, ok := look(path[:i]); ok {
			return r, true
		}
	}
	return nil, false
}

// servicesAt returns the services of all routes of a host.
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
