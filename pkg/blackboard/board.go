package blackboard

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"shallotglade/pkg/document"
)

// Board is the shared state of one daemon.
type Board struct {
	self     string
	domain   string
	services *shards[*Service]

	generation atomic.Uint64
	// rebuild serializes the rebuilding of routes.
	rebuild sync.Mutex
	routes  atomic.Pointer[routeTable]
	// configured is the platform version of the configuration in force.
	configured    uint64
	configuration atomic.Pointer[document.Configuration]
}

// New returns the empty board of the daemon self in a failure domain.
func New(self, domain string) *Board {
	b := &Board{self: self, domain: domain, services: newShards[*Service]()}
	b.routes.Store(newRouteTable())
	return b
}

// Self returns the id of the daemon.
func (b *Board) Self() string { return b.self }

// Domain returns the failure domain of the daemon.
func (b *Board) Domain() string { return b.domain }

// Generation grows with each document that comes into or goes out of force.
func (b *Board) Generation() uint64 { return b.generation.Load() }

// Service returns the service of that name if its document is in force.
func (b *Board) Service(name string) (*Service, bool) {
	return b.services.get(name)
}

// Services returns all services, sorted by name.
func (b *Board) Services() []*Service {
	all := b.services.all()
	slices.SortFunc(all, func(x, y *Service) int { return strings.Compare(x.Name, y.Name) })
	return all
}

// Route returns the route of a request and the service that is to serve it:
// that of the service it names, else the one that fits host and path. If there is
// none, the route has nothing but the version that decided it: that of the
// configuration, or of the newest document, in force.
func (b *Board) Route(name, host, path string) (*Route, *Service, bool) {
	table := b.routes.Load()
	r, ok := table.named[name]
	if name == "" {
		r, ok = table.find(host, path)
	}
	if !ok {
		return &Route{Version: table.version}, nil, false
	}
	service, ok := r.next()
	return r, service, ok
}

// ServicesAt returns the names of the services behind the routes of a host, in
// no order.
func (b *Board) ServicesAt(host string) []string { return b.routes.Load().servicesAt(host) }

// Connections returns the bounds of callers' connections that the
// configuration in force states.
func (b *Board) Connections() document.Connections {
	if c := b.configuration.Load(); c != nil {
		return c.Connections
	}
	return document.Connections{}
}

// Configured reports whether a configuration or any document is in force. A caller
// that denies a request for lack of a route asks this before it looks for the route:
// the first configuration may come into force in between.
func (b *Board) Configured() bool { return b.routes.Load().configured }

// PutConfiguration puts all routes and services in force at once, unless a
// newer configuration is. It reports whether it is in force now. Requests that
// were routed before end by the rules under which they began.
func (b *Board) PutConfiguration(c *document.Configuration, version uint64) bool {
	b.rebuild.Lock()
	defer b.rebuild.Unlock()
	if version <= b.configured {
		return false
	}
	stated, groups := map[string]bool{}, c.Groups()
	for _, d := range c.Services {
		stated[d.Service] = true
		s := b.services.getOrCreate(d.Service, func() *Service { return newService(d, b.self, b.domain) })
		s.setDocument(d, version, nil)
		s.setGroup(groups[d.Service])
	}
	table := newRouteTable()
	table.version = version
	for i := range c.Routes {
		if r, ok := newRoute(&c.Routes[i], version, b.services.get); ok {
			table.add(r)
		}
	}
	table.configured = true
	b.configured = version
	b.configuration.Store(c)
	b.routes.Store(table)
	for _, s := range b.services.all() {
		if !stated[s.Name] {
			b.services.remove(s.Name)
		}
	}
	b.generation.Add(1)
	return true
}

// PutDocument puts a document in force, unless a newer version is. It reports
// whether the document is in force now.
func (b *Board) PutDocument(d *document.Service, version uint64, unknown []string) bool {
	s := b.services.getOrCreate(d.Service, func() *Service { return newService(d, b.self, b.domain) })
	if !s.setDocument(d, version, unknown) {
		return false
	}
	b.rebuildRoutes()
	return true
}

// RemoveDocument takes a service out of force.
func (b *Board) RemoveDocument(name string) {
	b.services.remove(name)
	b.rebuildRoutes()
}

// rebuildRoutes puts the routes of all documents in force.
func (b *Board) rebuildRoutes() {
	b.rebuild.Lock()
	defer b.rebuild.Unlock()
	table, services := newRouteTable(), b.Services()
	table.configured = b.configuration.Load() != nil || len(services) > 0
	for _, s := range services {
		d, version := s.Document(), s.Version()
		table.version = max(table.version, version)
		named, rules := d.Rule(), d.Rules()
		if r, ok := newRoute(&named, version, b.services.get); ok {
			table.named[s.Name] = r
		}
		for i := range rules {
			if r, ok := newRoute(&rules[i], version, b.services.get); ok {
				table.add(r)
			}
		}
	}
	b.routes.Store(table)
	b.generation.Add(1)
}
