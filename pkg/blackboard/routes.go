package blackboard

import (
	"strings"

	"shallotglade/pkg/document"
)

// routeTable finds the service of a request in a number of steps that depends
// on the segments of its path and not on the number of routes.
type routeTable struct {
	// byHost maps a host, or "" for any, to paths and their services.
	byHost map[string]map[string]string
}

func newRouteTable(documents []*document.Service) *routeTable {
	t := &routeTable{byHost: map[string]map[string]string{}}
	for _, d := range documents {
		for _, r := range d.Routes {
			t.add(r, d.Service)
		}
	}
	return t
}

// add enters a route. Of two services with the same route the one whose name
// sorts first gets it, so that all daemons agree.
func (t *routeTable) add(r document.Route, service string) {
	paths := t.byHost[r.Host]
	if paths == nil {
		paths = map[string]string{}
		t.byHost[r.Host] = paths
	}
	path := strings.TrimSuffix(r.Path, "/")
	if old, taken := paths[path]; !taken || service < old {
		paths[path] = service
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

// find returns the service whose route has the longest path; of two routes with
// the same path, the one that names the host.
func (t *routeTable) find(host, path string) (string, bool) {
	named, any := t.byHost[strings.ToLower(withoutPort(host))], t.byHost[""]
	path = strings.TrimSuffix(path, "/")
	for {
		if s, ok := named[path]; ok {
			return s, true
		}
		if s, ok := any[path]; ok {
			return s, true
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return "", false
		}
		path = path[:i]
	}
}
