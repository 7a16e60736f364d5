package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/blackboard"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/health"
	"shallotglade/pkg/membership"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/verdict"
)

const (
	// relaysPerDomain is two, so that changes go on through the other while
	// one of them fails. Where the daemons of several domains watch, one in each
	// is enough: each passes changes on to the other domains too.
	relaysPerDomain = 2
	// leastRelays is how many relays a fleet has at least, if it has as many
	// daemons, where calls to the platform are dear.
	leastRelays = 3
	// refreshInterval is how soon homes follow a change of the daemons or
	// documents.
	refreshInterval = 100 * time.Millisecond
	// refreshPause times the length of a refresh is the least time until the
	// next. A refresh takes 36 ms at 1,600 daemons and 380 services, and a
	// failing domain brings a change with every tick.
	refreshPause = 50
	// referenceLifetime is the lifetime that placement gives answers; the
	// settings scale it.
	referenceLifetime = 10 * time.Second
)

// roster is what this daemon knows of the others, and the roles that follow.
type roster struct {
	d       *Daemon
	members *membership.Controller

	mu      sync.Mutex
	leaving bool
	// detached means that this daemon cannot reach the platform.
	detached bool
	version  uint64
	// generation is that of the board at the last refresh.
	generation uint64
	hosts      []placement.Host
	homes      map[string][]placement.Host
	// perDomain is the number of homes in each domain, by service.
	perDomain map[string]int
	relaysOf  map[string][]confsync.Peer
}

func newRoster(d *Daemon) (*roster, error) {
	config := membership.Config{Self: d.self, Node: d.node, Seed: rand.Uint64(), Logger: d.log}
	if d.adapter.DearDistance {
		config.Params = membership.DomainParams()
	}
	members, err := membership.Start(config)
	if err != nil {
		return nil, errors.Wrap(err, "membership")
	}
	r := &roster{d: d, members: members}
	r.refresh()
	return r, nil
}

// setRoster takes the platform's list of daemons.
func (r *roster) setRoster(members []platform.Member) { r.members.SetRoster(members) }

// run keeps the roles up to date until ctx ends.
func (r *roster) run(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			r.members.Close()
			return
		case now := <-tick.C:
			if now.Before(next) || !r.changed() {
				continue
			}
			r.refresh()
			next = time.Now().Add(refreshPause * time.Since(now))
		}
	}
}

func (r *roster) changed() bool {
	version, generation, perDomain := r.members.Version(), r.d.board.Generation(), homesPerDomain(r.d.board.Services())
	r.mu.Lock()
	defer r.mu.Unlock()
	return version != r.version || generation != r.generation || !maps.Equal(perDomain, r.perDomain)
}

// refresh works out the homes of all services and the relays of all domains.
func (r *roster) refresh() {
	states, version := r.members.Hosts()
	generation := r.d.board.Generation()
	hosts := make([]placement.Host, 0, len(states)+1)
	for _, s := range states {
		hosts = append(hosts, s.Placement())
	}
	r.mu.Lock()
	hosts = append(hosts, r.selfLocked())
	r.mu.Unlock()
	services := r.d.board.Services()
	homes, perDomain := map[string][]placement.Host{}, homesPerDomain(services)
	for _, s := range services {
		homes[s.Name] = placement.Homes(s.Group(), hosts, perDomain[s.Name])
	}
	r.mu.Lock()
	for name, placed := range r.homes {
		// A service that came into force meanwhile keeps what place worked out.
		_, done := homes[name]
		if _, inForce := r.d.board.Service(name); inForce && !done {
			homes[name], perDomain[name] = placed, r.perDomain[name]
		}
	}
	r.version, r.generation, r.hosts, r.homes, r.perDomain = version, generation, hosts, homes, perDomain
	r.relaysOf = r.relaysIn(hosts)
	r.mu.Unlock()
	for _, s := range r.d.board.Services() {
		r.setHomes(s, homes[s.Name])
	}
	if r.d.adapter.DearDistance {
		r.setCompanions()
	}
	r.count(states)
}

// place works out the homes of one service as soon as its document is in force.
// Until then this daemon would serve it alone, and tell no other home what it
// sees.
func (r *roster) place(s *blackboard.Service) {
	group := s.Group()
	mates := slices.DeleteFunc(r.d.board.Services(), func(o *blackboard.Service) bool { return o != s && o.Group() != group })
	// A service that has left the board meanwhile has no number.
	perDomain := max(homesPerDomain(mates)[s.Name], 1)
	r.mu.Lock()
	homes := placement.Homes(group, r.hosts, perDomain)
	r.homes[s.Name], r.perDomain[s.Name] = homes, perDomain
	r.mu.Unlock()
	r.setHomes(s, homes)
}

func (r *roster) selfLocked() placement.Host {
	h := placement.Host{
		ID: r.d.node.ID(), HashKey: r.d.self.HostName(), Domain: r.d.settings.Domain, Address: r.d.settings.Listen.Callers, PeerAddress: r.d.node.Addr(),
	}
	if r.leaving {
		h.Condition = placement.Leaving
	}
	h.Detached = r.detached
	return h
}

// homesPerDomain returns the number of homes in each domain, by service. services
// holds whole groups.
func homesPerDomain(services []*blackboard.Service) map[string]int {
	// slots is by group and domain.
	slots, groups := map[string]map[string]int{}, map[string]string{}
	for _, s := range services {
		group := s.Group()
		if slots[group] == nil {
			slots[group] = map[string]int{}
		}
		s.AddSlots(slots[group])
		groups[s.Name] = group
	}
	perDomain := make(map[string]int, len(services))
	for _, s := range services {
		perDomain[s.Name] = placement.HomesPerDomain(slots[groups[s.Name]])
		if n := s.Document().Homes.PerDomain; n > 0 {
			perDomain[s.Name] = n
		}
	}
	return perDomain
}

func (r *roster) relaysIn(hosts []placement.Host) map[string][]confsync.Peer {
	domains := map[string]bool{}
	for _, h := range hosts {
		domains[h.Domain] = true
	}
	perDomain := relaysPerDomain
	if r.d.adapter.DearDistance {
		perDomain = max(1, (leastRelays+len(domains)-1)/len(domains))
	}
	out := map[string][]confsync.Peer{}
	for _, h := range hosts {
		if _, done := out[h.Domain]; done {
			continue
		}
		out[h.Domain] = []confsync.Peer{}
		for _, relay := range placement.Relays(h.Domain, hosts, perDomain) {
			out[h.Domain] = append(out[h.Domain], confsync.Peer{Address: relay.PeerAddress, Domain: relay.Domain})
		}
	}
	return out
}

// setHomes gives a service its homes and logs when this daemon's role changes.
func (r *roster) setHomes(s *blackboard.Service, homes []placement.Host) {
	was := s.IsHome()
	list := make([]routing.Home, len(homes))
	for i, h := range homes {
		list[i] = routing.Home{ID: h.ID, Domain: h.Domain}
	}
	s.SetHomes(time.Now(), list)
	if is := s.IsHome(); is != was {
		r.d.log.Info().Str("service", s.Name).Bool("home", is).Int("homes", len(homes)).Msg("placement: role changed")
		if was {
			r.d.health.HandOver(s)
		}
	}
}

// setCompanions has membership watch the homes that this daemon names to callers
// of its domain, and the other homes of its own services.
func (r *roster) setCompanions() {
	var ids []string
	for _, s := range r.d.board.Services() {
		for _, h := range r.others(s.Name) {
			near := h.Domain == r.d.settings.Domain
			if (near || s.IsHome()) && !slices.Contains(ids, h.ID) {
				ids = append(ids, h.ID)
			}
		}
	}
	r.members.SetCompanions(ids)
}

func (r *roster) count(states []membership.HostState) {
	counts := map[string]int{"alive": 0, "suspect": 0, "dead": 0, "leaving": 0}
	for _, s := range states {
		counts[stateName(s)]++
	}
	for state, n := range counts {
		r.d.metrics.Peers.WithLabelValues(state).Set(float64(n))
	}
}

func stateName(s membership.HostState) string {
	if s.Departing {
		return "leaving"
	}
	return s.Liveness.String()
}

// leave makes this daemon no home and no relay any more, and tells the others.
func (r *roster) leave() {
	r.members.Leave()
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.refresh()
}

// setDetached makes another daemon the relay while this one cannot reach the
// platform.
func (r *roster) setDetached(detached bool) {
	r.mu.Lock()
	r.detached = detached
	r.mu.Unlock()
	r.members.SetDetached(detached)
	r.refresh()
}

// others returns the homes of a service but this daemon.
func (r *roster) others(service string) []placement.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []placement.Host
	for _, h := range r.homes[service] {
		if h.ID != r.d.node.ID() {
			out = append(out, h)
		}
	}
	return out
}

// Homes implements proxy.Directory: usable homes first, then those of the own
// failure domain.
func (r *roster) Homes(service string) []proxy.Peer {
	hosts := r.others(service)
	if r.d.adapter.DearDistance {
		hosts = slices.DeleteFunc(hosts, func(h placement.Host) bool {
			return h.Domain != r.d.settings.Domain || h.Condition != placement.Usable
		})
	}
	slices.SortStableFunc(hosts, func(a, b placement.Host) int { return r.cost(a) - r.cost(b) })
	out := make([]proxy.Peer, len(hosts))
	for i, h := range hosts {
		out[i] = proxy.Peer{ID: h.ID, Address: h.PeerAddress, Domain: h.Domain}
	}
	return out
}

// cost orders homes for a forwarded request.
func (r *roster) cost(h placement.Host) int {
	cost := 0
	if h.Condition != placement.Usable {
		cost += 2
	}
	if h.Domain != r.d.settings.Domain {
		cost++
	}
	return cost
}

func (r *roster) reportPeers(service string) []health.Peer {
	var out []health.Peer
	for _, h := range r.others(service) {
		out = append(out, health.Peer{ID: h.ID, Address: h.PeerAddress})
	}
	return out
}

// syncPeers returns the daemons to exchange documents with. A daemon that knows
// no other yet uses the seeds of its settings.
func (r *roster) syncPeers() []confsync.Peer {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	var out []confsync.Peer
	for _, h := range hosts {
		if h.Condition != placement.Failed {
			out = append(out, confsync.Peer{Address: h.PeerAddress, Domain: h.Domain})
		}
	}
	if len(out) > 1 {
		return out
	}
	for _, seed := range r.d.settings.Peers.Seeds {
		out = append(out, confsync.Peer{Address: seed.Address, Domain: seed.Domain})
	}
	return out
}

// nearPeers returns the daemons that membership probes in turn.
func (r *roster) nearPeers() []confsync.Peer {
	partners := r.members.Partners()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []confsync.Peer
	for _, h := range r.hosts {
		if h.Condition != placement.Failed && slices.Contains(partners, h.ID) {
			out = append(out, confsync.Peer{Address: h.PeerAddress, Domain: h.Domain})
		}
	}
	return out
}

func (r *roster) relays(domain string) []confsync.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relaysOf[domain]
}

// scaledLifetime turns a lifetime that placement gave into one for the mean
// lifetime of the settings.
func scaledLifetime(given, mean time.Duration) time.Duration {
	return time.Duration(float64(given) * float64(mean) / float64(referenceLifetime))
}

// addresses answers a caller's question which addresses to use.
func (d *Daemon) addresses(q dialect.AddressQuery) (dialect.AddressAnswer, *verdict.Error) {
	configured := d.board.Configured()
	if q.Service == "" {
		q.Service = d.serviceAt(q.Host)
	}
	s, ok := d.board.Service(q.Service)
	switch {
	case !ok && !configured:
		return dialect.AddressAnswer{}, verdict.Refuse(503, "no-configuration", "The daemon has not learned any route yet.")
	case !ok:
		return dialect.AddressAnswer{}, verdict.Refuse(404, "unknown-service", "No service has this name.")
	}
	d.roster.mu.Lock()
	hosts, perDomain := d.roster.hosts, max(d.roster.perDomain[q.Service], 1)
	d.roster.mu.Unlock()
	a := placement.Addresses(placement.Query{
		Service: s.Group(), Domain: q.Domain, Caller: q.Caller, Failed: q.Failed, Now: time.Now(),
		AnyOrder: d.adapter.Dialect.Addresses.AnyOrder,
	}, hosts, perDomain)
	lifetime := scaledLifetime(a.Lifetime, d.dynamic.Load().Addresses.Lifetime)
	if d.logsDecisions() {
		d.log.Info().Str("service", q.Service).Str("caller", q.Caller).Str("domain", q.Domain).Strs("failed", q.Failed).
			Strs("addresses", a.Addresses).Msg("placement: addresses given")
	}
	return dialect.AddressAnswer{Service: q.Service, Addresses: a.Addresses, Lifetime: lifetime}, nil
}

// serviceAt returns the service whose homes are named to callers of a host: of
// the services behind it, the one whose name sorts first, so that all daemons
// agree.
func (d *Daemon) serviceAt(host string) string {
	services := d.board.ServicesAt(host)
	if len(services) == 0 {
		return ""
	}
	return slices.Min(services)
}

// Daemons implements admin.Fleet.
func (d *Daemon) Daemons() []admin.Daemon {
	states, _ := d.roster.members.Hosts()
	d.roster.mu.Lock()
	self := d.roster.selfLocked()
	d.roster.mu.Unlock()
	out := []admin.Daemon{{ID: self.ID, Domain: self.Domain, Address: self.Address, State: "self"}}
	for _, s := range states {
		out = append(out, admin.Daemon{ID: s.ID, Domain: s.Domain, Address: s.Address, State: stateName(s)})
	}
	return out
}
