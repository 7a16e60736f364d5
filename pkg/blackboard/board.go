package blackboard

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shallotglade/pkg/account"
	"shallotglade/pkg/document"
)

// Board is the state shared by the controllers and the request path of a daemon.
type Board struct {
	self     string
	domain   string
	services *shards[*Service]

	generation atomic.Uint64
	// rebuildMu serializes the rebuilding of routes.
	rebuildMu sync.Mutex
	routes    atomic.Pointer[routeTable]
	// configurationVersion is the platform version of the active configuration.
	configurationVersion uint64
	configuration        atomic.Pointer[document.Configuration]

	retiredMu sync.Mutex
	// retired holds the removed services that requests may still use.
	retired []retiredService
}

// retiredService is a service that was removed from the board.
type retiredService struct {
	service *Service
	at      time.Time
}

// minRetirement is how long a removed service is kept at least. A request may have been
// routed to it and not be counted yet.
const minRetirement = 10 * time.Second

// New returns an empty board for the daemon with id self in a failure domain.
func New(self, domain string) *Board {
	b := &Board{self: self, domain: domain, services: newShards[*Service]()}
	b.routes.Store(newRouteTable())
	return b
}

// Self returns the id of the daemon.
func (b *Board) Self() string { return b.self }

// Domain returns the failure domain of the daemon.
func (b *Board) Domain() string { return b.domain }

// Generation returns a counter that grows whenever a configuration or document is
// activated or removed.
func (b *Board) Generation() uint64 { return b.generation.Load() }

// Service returns the service of that name if its document is active.
func (b *Board) Service(name string) (*Service, bool) {
	return b.services.get(name)
}

// Services returns all services, sorted by name.
func (b *Board) Services() []*Service {
	list := b.services.values()
	slices.SortFunc(list, func(x, y *Service) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// ServicesInUse returns all services, and the removed ones whose requests have not ended.
// A request that waits must hear of upstreams that leave, also when its service has been
// removed.
func (b *Board) ServicesInUse() []*Service {
	list := b.Services()
	b.retiredMu.Lock()
	defer b.retiredMu.Unlock()
	now := time.Now()
	b.retired = slices.DeleteFunc(b.retired, func(r retiredService) bool {
		return now.Sub(r.at) > minRetirement && r.service.idle()
	})
	for _, r := range b.retired {
		list = append(list, r.service)
	}
	return list
}

// removeService removes a service and keeps it among the retired ones.
func (b *Board) removeService(name string) {
	s, ok := b.services.get(name)
	if !ok {
		return
	}
	b.retiredMu.Lock()
	b.retired = append(b.retired, retiredService{service: s, at: time.Now()})
	b.retiredMu.Unlock()
	b.services.remove(name)
}

// Route returns the route of a request and the service that is to serve it. If the
// request names a service, the route is that of the service; otherwise it is the one
// that matches host and path. If there is none, the returned route has only the
// version of the active configuration or of the newest active document.
func (b *Board) Route(name, host, path string) (*Route, *Service, bool) {
	r, ok := b.FindRoute(name, host, path)
	if !ok {
		return r, nil, false
	}
	service, ok := r.next()
	return r, service, ok
}

// FindRoute is Route without the choice of a service, which counts towards the shares of
// the services. The result is the same object as long as no configuration or document
// changes.
func (b *Board) FindRoute(name, host, path string) (*Route, bool) {
	table := b.routes.Load()
	r, ok := table.byService[name]
	if name == "" {
		r, ok = table.find(host, path)
	}
	if !ok {
		return &Route{Version: table.version}, false
	}
	return r, true
}

// NeedsKeys reports whether the requests of any route need a key.
func (b *Board) NeedsKeys() bool { return len(b.routes.Load().accounts) > 0 }

// Account returns the account of that name in force. If several documents list an account
// of that name, it is any of them.
func (b *Board) Account(name string) (*account.Account, bool) { return b.routes.Load().account(name) }

// AccountCount returns the number of accounts in force.
func (b *Board) AccountCount() int {
	n := 0
	for _, d := range b.routes.Load().accounts {
		n += d.Len()
	}
	return n
}

// HasAllowances reports whether any account in force has an allowance.
func (b *Board) HasAllowances() bool {
	return slices.ContainsFunc(b.routes.Load().accounts, (*account.Directory).HasRates)
}

// RoutesVersion returns the platform version of the active configuration, or of the newest
// active document.
func (b *Board) RoutesVersion() uint64 { return b.routes.Load().version }

// ConfigurationVersion returns the platform version of the active configuration, or 0 if the
// routes come from documents.
func (b *Board) ConfigurationVersion() uint64 {
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	return b.configurationVersion
}

// ServicesAt returns the names of the services behind the routes of a host, in no
// particular order.
func (b *Board) ServicesAt(host string) []string { return b.routes.Load().servicesAt(host) }

// Connections returns the limits on callers' connections from the active
// configuration.
func (b *Board) Connections() document.Connections {
	if c := b.configuration.Load(); c != nil {
		return c.Connections
	}
	return document.Connections{}
}

// Configured reports whether a configuration or any document is active. Code that
// rejects a request because it has no route must call Configured before it looks up
// the route, because the first configuration may become active in between.
func (b *Board) Configured() bool { return b.routes.Load().configured }

// PutConfiguration activates all routes and services of a configuration at once,
// unless a configuration of the same or a newer version is active or the accounts are
// invalid. It reports whether c was activated. Requests already routed finish under their
// old rules.
func (b *Board) PutConfiguration(c *document.Configuration, version uint64) bool {
	accounts, err := c.Directory()
	if err != nil {
		return false
	}
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	if version <= b.configurationVersion {
		return false
	}
	present, groups := map[string]bool{}, c.Groups()
	for _, d := range c.Services {
		present[d.Service] = true
		s := b.services.getOrCreate(d.Service, func() *Service { return newService(d, b.self, b.domain) })
		s.setDocument(d, version, nil)
		s.setGroup(groups[d.Service])
	}
	table := newRouteTable()
	table.version = version
	if accounts != nil {
		table.accounts = []*account.Directory{accounts}
	}
	for i := range c.Routes {
		if r, ok := newRoute(&c.Routes[i], version, accounts, b.services.get); ok {
			table.add(r)
		}
	}
	table.configured = true
	b.configurationVersion = version
	b.configuration.Store(c)
	b.routes.Store(table)
	for _, s := range b.services.values() {
		if !present[s.Name] {
			b.removeService(s.Name)
		}
	}
	b.generation.Add(1)
	return true
}

// PutDocument activates a document, unless the same or a newer version is active.
// It reports whether d was activated.
func (b *Board) PutDocument(d *document.Service, version uint64, unknownFields []string) bool {
	s := b.services.getOrCreate(d.Service, func() *Service { return newService(d, b.self, b.domain) })
	if !s.setDocument(d, version, unknownFields) {
		return false
	}
	b.rebuildRoutes()
	return true
}

// RemoveDocument removes a service.
func (b *Board) RemoveDocument(name string) {
	b.removeService(name)
	b.rebuildRoutes()
}

// rebuildRoutes builds and activates the route table of all active documents.
func (b *Board) rebuildRoutes() {
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	table, services := newRouteTable(), b.Services()
	table.configured = b.configuration.Load() != nil || len(services) > 0
	for _, s := range services {
		d, version := s.Document(), s.Version()
		table.version = max(table.version, version)
		named, rules, accounts := d.Rule(), d.Rules(), d.Directory()
		if accounts != nil {
			table.accounts = append(table.accounts, accounts)
		}
		if r, ok := newRoute(&named, version, accounts, b.services.get); ok {
			table.byService[s.Name] = r
		}
		for i := range rules {
			if r, ok := newRoute(&rules[i], version, accounts, b.services.get); ok {
				table.add(r)
			}
		}
	}
	b.routes.Store(table)
	b.generation.Add(1)
}
