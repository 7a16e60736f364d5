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
}

// New returns the empty board of the daemon self in a failure domain.
func New(self, domain string) *Board {
	b := &Board{self: self, domain: domain, services: newShards[*Service]()}
	b.routes.Store(newRouteTable(nil))
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

// Route returns the service of a request: the one it names, else the one whose
// route fits host and path.
func (b *Board) Route(name, host, path string) (*Service, bool) {
	if name == "" {
		var ok bool
		if name, ok = b.routes.Load().find(host, path); !ok {
			return nil, false
		}
	}
	return b.services.get(name)
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

func (b *Board) rebuildRoutes() {
	b.rebuild.Lock()
	defer b.rebuild.Unlock()
	services := b.Services()
	documents := make([]*document.Service, len(services))
	for i, s := range services {
		documents[i] = s.Document()
	}
	b.routes.Store(newRouteTable(documents))
	b.generation.Add(1)
}
