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
	"shallotglade/pkg/settings"
	"shallotglade/pkg/verdict"
)

const (
	// relaysPerDomain is two, so that changes still arrive through one relay
	// while the other fails. With Adapter.CrossDomainExpensive, one per domain is
	// enough, because each relay also passes changes on to the other domains.
	relaysPerDomain = 2
	// minRelays is the minimum number of relays in a fleet with
	// Adapter.CrossDomainExpensive, provided that it has as many daemons.
	minRelays = 3
	// standbysPerDomain is the number of daemons of each domain that replace its relays
	// while none of them answers. Many hosts may be lost at the same moment.
	standbysPerDomain = 2
	// refreshInterval is the time between checks for changed daemons or
	// documents, which may change the homes.
	refreshInterval = 100 * time.Millisecond
	// refreshPauseFactor times the duration of a refresh is the minimum pause
	// before the next one, up to maxRefreshPause. A refresh takes 36 ms with 1,600
	// daemons and 380 services, and while a domain fails, every tick brings a change.
	// If the process stands still during a refresh, its duration says nothing.
	refreshPauseFactor = 50
	maxRefreshPause    = 2 * time.Second
	// referenceLifetime is the mean lifetime that placement gives address
	// answers. The settings scale it.
	referenceLifetime = 10 * time.Second
)

// roster tracks the other daemons and computes the homes of services and the
// relays of domains.
type roster struct {
	d       *Daemon
	members *membership.Controller

	mu      sync.Mutex
	leaving bool
	// detached is true while this daemon cannot reach the platform.
	detached bool
	// membersVersion and boardGeneration are those of the membership and the
	// board at the last refresh.
	membersVersion  uint64
	boardGeneration uint64
	hosts           []placement.Host
	homes           map[string][]placement.Host
	// demands maps each service to its demand for homes.
	demands        map[string]placement.Demand
	relaysByDomain map[string][]confsync.Peer
	// standbys are the daemons that replace the relays of this daemon's domain while none of
	// them answers.
	standbys []confsync.Peer
}

func newRoster(d *Daemon) (*roster, error) {
	config := membership.Config{Self: d.self, Node: d.node, Seed: rand.Uint64(), Logger: d.log}
	if d.adapter.CrossDomainExpensive {
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

// setRoster passes the platform's list of daemons to the membership.
func (r *roster) setRoster(members []platform.Member) { r.members.SetRoster(members) }

// run keeps homes and relays up to date until ctx ends.
func (r *roster) run(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			r.members.Close()
			return
		case <-tick.C:
			// The time of the tick is that of the last one before the process stood still.
			now := time.Now()
			if now.Before(next) || !r.changed() {
				continue
			}
			r.refresh()
			next = nextRefresh(now, time.Now())
		}
	}
}

// nextRefresh returns the earliest time of the refresh after one from start to end.
func nextRefresh(start, end time.Time) time.Time {
	return end.Add(min(refreshPauseFactor*end.Sub(start), maxRefreshPause))
}

func (r *roster) changed() bool {
	version, generation, demands := r.members.Version(), r.d.board.Generation(), homeDemands(r.d.board.Services())
	r.mu.Lock()
	defer r.mu.Unlock()
	return version != r.membersVersion || generation != r.boardGeneration || !maps.Equal(demands, r.demands)
}

// refresh computes the homes of all services and the relays of all domains.
func (r *roster) refresh() {
	states, version := r.members.Hosts()
	generation := r.d.board.Generation()
	hosts := make([]placement.Host, 0, len(states)+1)
	for _, s := range states {
		hosts = append(hosts, s.Placement())
	}
	r.mu.Lock()
	hosts = append(hosts, r.selfHostLocked())
	r.mu.Unlock()
	services := r.d.board.Services()
	homes, demands := map[string][]placement.Host{}, homeDemands(services)
	for _, s := range services {
		homes[s.Name] = placement.Homes(s.Group(), hosts, demands[s.Name])
	}
	r.mu.Lock()
	for name, placed := range r.homes {
		// A service added during the refresh keeps the homes that placeService set.
		_, done := homes[name]
		if _, inForce := r.d.board.Service(name); inForce && !done {
			homes[name], demands[name] = placed, r.demands[name]
		}
	}
	r.membersVersion, r.boardGeneration, r.hosts, r.homes, r.demands = version, generation, hosts, homes, demands
	r.relaysByDomain = r.computeRelays(hosts)
	r.standbys = r.computeStandbys(hosts)
	r.mu.Unlock()
	for _, s := range r.d.board.Services() {
		r.setHomes(s, homes[s.Name])
	}
	if r.d.adapter.CrossDomainExpensive {
		r.setWatchedHomes()
	}
	r.updatePeerMetrics(states)
}

// placeService computes the homes of one service as soon as its document is in
// force. Without it, this daemon would be the only home that it knows of until the
// next refresh and would send its reports to no other home.
func (r *roster) placeService(s *blackboard.Service) {
	group := s.Group()
	groupServices := slices.DeleteFunc(r.d.board.Services(), func(o *blackboard.Service) bool { return o != s && o.Group() != group })
	// The result has no entry for a service that was removed from the board meanwhile.
	demand := homeDemands(groupServices)[s.Name]
	demand.PerDomain = max(demand.PerDomain, 1)
	r.mu.Lock()
	homes := placement.Homes(group, r.hosts, demand)
	r.homes[s.Name], r.demands[s.Name] = homes, demand
	r.mu.Unlock()
	r.setHomes(s, homes)
}

func (r *roster) selfHostLocked() placement.Host {
	h := placement.Host{
		ID: r.d.node.ID(), HashKey: r.d.self.HostName(), Domain: r.d.settings.Domain, Address: r.d.settings.Listen.Callers, PeerAddress: r.d.node.Addr(),
		Capacity: placement.RequestCapacity(r.d.self.Cores, r.d.self.LinkMbps),
	}
	if r.leaving {
		h.Condition = placement.Leaving
	}
	h.Detached = r.detached
	return h
}

// homeDemands maps each service to its demand for homes. If services contains one
// service of a group, it must contain all of them.
func homeDemands(services []*blackboard.Service) map[string]placement.Demand {
	// slots maps group and domain to a number of slots; groups maps service to group.
	slots, groups := map[string]map[string]int{}, map[string]string{}
	for _, s := range services {
		group := s.Group()
		if slots[group] == nil {
			slots[group] = map[string]int{}
		}
		s.AddSlots(slots[group])
		groups[s.Name] = group
	}
	demands := make(map[string]placement.Demand, len(services))
	for _, s := range services {
		demand := placement.GroupDemand(slots[groups[s.Name]])
		if n := s.Document().Homes.PerDomain; n > 0 {
			demand.PerDomain, demand.Fixed = n, true
		}
		demands[s.Name] = demand
	}
	return demands
}

func (r *roster) computeRelays(hosts []placement.Host) map[string][]confsync.Peer {
	domains := map[string]bool{}
	for _, h := range hosts {
		domains[h.Domain] = true
	}
	perDomain := relaysPerDomain
	if r.d.adapter.CrossDomainExpensive {
		perDomain = max(1, (minRelays+len(domains)-1)/len(domains))
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

// computeStandbys returns the daemons that replace the relays of this daemon's domain while
// none of them answers. The caller holds r.mu and has set r.relaysByDomain.
func (r *roster) computeStandbys(hosts []placement.Host) []confsync.Peer {
	domain := r.d.settings.Domain
	relays := r.relaysByDomain[domain]
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h placement.Host) bool {
		return h.Domain != domain || slices.ContainsFunc(relays, func(p confsync.Peer) bool { return p.Address == h.PeerAddress })
	})
	var standbys []confsync.Peer
	for _, h := range placement.Relays(domain, rest, standbysPerDomain) {
		standbys = append(standbys, confsync.Peer{Address: h.PeerAddress, Domain: h.Domain})
	}
	return standbys
}

func (r *roster) standbyPeers() []confsync.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standbys
}

func (r *roster) isStandby() bool {
	return slices.ContainsFunc(r.standbyPeers(), func(p confsync.Peer) bool { return p.Address == r.d.node.Addr() })
}

// setHomes sets the homes of a service. If this daemon's role changes, it logs the
// change, and it hands the service over when it stops being a home.
func (r *roster) setHomes(s *blackboard.Service, homes []placement.Host) {
	wasHome := s.IsHome()
	routingHomes := make([]routing.Home, len(homes))
	for i, h := range homes {
		routingHomes[i] = routing.Home{ID: h.ID, Domain: h.Domain}
	}
	s.SetHomes(time.Now(), routingHomes)
	if isHome := s.IsHome(); isHome != wasHome {
		r.d.log.Info().Str("service", s.Name).Bool("home", isHome).Int("homes", len(homes)).Msg("placement: role changed")
		if wasHome {
			r.d.health.HandOver(s)
		}
	}
}

// setWatchedHomes makes membership probe more often the homes that this daemon
// returns to callers of its domain, and the other homes of its own services.
func (r *roster) setWatchedHomes() {
	var ids []string
	for _, s := range r.d.board.Services() {
		for _, h := range r.otherHomes(s.Name) {
			sameDomain := h.Domain == r.d.settings.Domain
			if (sameDomain || s.IsHome()) && !slices.Contains(ids, h.ID) {
				ids = append(ids, h.ID)
			}
		}
	}
	r.members.SetPriorityHosts(ids)
}

func (r *roster) updatePeerMetrics(states []membership.HostState) {
	counts := map[string]int{"alive": 0, "suspect": 0, "dead": 0, "leaving": 0}
	for _, s := range states {
		counts[stateName(s)]++
	}
	for state, n := range counts {
		r.d.metrics.Peers.WithLabelValues(state).Set(float64(n))
	}
}

func stateName(s membership.HostState) string {
	if s.Leaving {
		return "leaving"
	}
	return s.Liveness.String()
}

// leave announces to the other daemons that this one is leaving, and removes it
// from the homes and relays.
func (r *roster) leave() {
	r.members.Leave()
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.refresh()
}

// setDetached records and announces whether this daemon cannot reach the platform.
// While it cannot, another daemon is the relay.
func (r *roster) setDetached(detached bool) {
	r.mu.Lock()
	r.detached = detached
	r.mu.Unlock()
	r.members.SetDetached(detached)
	r.refresh()
}

// otherHomes returns the homes of a service except this daemon.
func (r *roster) otherHomes(service string) []placement.Host {
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

// Homes implements proxy.Directory. Usable homes come first, and among equally
// usable ones those of this daemon's failure domain.
func (r *roster) Homes(service string) []proxy.Peer {
	hosts := r.otherHomes(service)
	if r.d.adapter.CrossDomainExpensive {
		hosts = slices.DeleteFunc(hosts, func(h placement.Host) bool {
			return h.Domain != r.d.settings.Domain || h.Condition != placement.Usable
		})
	}
	slices.SortStableFunc(hosts, func(a, b placement.Host) int { return r.forwardCost(a) - r.forwardCost(b) })
	out := make([]proxy.Peer, len(hosts))
	for i, h := range hosts {
		out[i] = proxyPeer(h)
	}
	return out
}

// Home implements proxy.Directory.
func (r *roster) Home(service, id string) (proxy.Peer, bool) {
	hosts := r.otherHomes(service)
	i := slices.IndexFunc(hosts, func(h placement.Host) bool { return h.ID == id })
	if i < 0 {
		return proxy.Peer{}, false
	}
	return proxyPeer(hosts[i]), true
}

func proxyPeer(h placement.Host) proxy.Peer {
	return proxy.Peer{ID: h.ID, Address: h.PeerAddress, Domain: h.Domain}
}

// forwardCost returns the sort key of a home for forwarded requests; lower is
// better.
func (r *roster) forwardCost(h placement.Host) int {
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
	for _, h := range r.otherHomes(service) {
		out = append(out, health.Peer{ID: h.ID, Address: h.PeerAddress})
	}
	return out
}

// syncPeers returns the daemons to exchange documents with. A daemon that does not
// know any other daemon yet uses the seeds from its settings.
func (r *roster) syncPeers() []confsync.Peer {
	if r.d.adapter.SelfRegistration && r.d.settings.Peers.Trust == settings.TrustRegistered && !r.d.rosterLoaded.Load() {
		// No key is known yet, so every handshake fails. After a loss of power, all
		// daemons would dial the same few seeds ten times a second.
		return nil
	}
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

// probedPeers returns the daemons that membership regularly probes, to which
// connections are already open.
func (r *roster) probedPeers() []confsync.Peer {
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

func (r *roster) relaysFor(domain string) []confsync.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relaysByDomain[domain]
}

// scaledLifetime scales a lifetime returned by placement to the mean lifetime of
// the settings.
func scaledLifetime(lifetime, mean time.Duration) time.Duration {
	return time.Duration(float64(lifetime) * float64(mean) / float64(referenceLifetime))
}

// resolveAddresses answers a caller's address query.
func (d *Daemon) resolveAddresses(q dialect.AddressQuery) (dialect.AddressAnswer, *verdict.Error) {
	configured := d.board.Configured()
	if q.Service == "" {
		q.Service = d.serviceForHost(q.Host)
	}
	s, ok := d.board.Service(q.Service)
	switch {
	case !ok && !configured:
		return dialect.AddressAnswer{}, verdict.Refuse(503, "no-configuration", "The daemon has not learned any route yet.")
	case !ok:
		return dialect.AddressAnswer{}, verdict.Refuse(404, "unknown-service", "No service has this name.")
	}
	d.roster.mu.Lock()
	hosts, demand := d.roster.hosts, d.roster.demands[q.Service]
	d.roster.mu.Unlock()
	demand.PerDomain = max(demand.PerDomain, 1)
	query := placement.Query{
		Service: s.Group(), Domain: q.Domain, Caller: q.Caller, Failed: q.Failed, Now: time.Now(),
		AnyOrder: d.adapter.Dialect.Addresses.AnyOrder,
	}
	answer := d.freshness.addresses(query, d.settings.Listen.Callers, func(q placement.Query) placement.Answer {
		return placement.Addresses(q, hosts, demand)
	})
	lifetime := scaledLifetime(answer.Lifetime, d.reloadable.Load().Addresses.Lifetime)
	if d.logsDecisions() {
		d.log.Info().Str("service", q.Service).Str("caller", q.Caller).Str("domain", q.Domain).Strs("failed", q.Failed).
			Strs("addresses", answer.Addresses).Msg("placement: address query answered")
	}
	return dialect.AddressAnswer{Service: q.Service, Addresses: answer.Addresses, Lifetime: lifetime}, nil
}

// serviceForHost returns the service whose homes are returned to callers of a host.
// If several services are routed from the host, it is the one whose name sorts
// first, so that all daemons choose the same.
func (d *Daemon) serviceForHost(host string) string {
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
	self := d.roster.selfHostLocked()
	d.roster.mu.Unlock()
	out := []admin.Daemon{{ID: self.ID, Domain: self.Domain, Address: self.Address, State: "self"}}
	for _, s := range states {
		out = append(out, admin.Daemon{ID: s.ID, Domain: s.Domain, Address: s.Address, State: stateName(s)})
	}
	return out
}
