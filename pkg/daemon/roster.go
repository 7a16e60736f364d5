package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/confsync"
	"shallotglade/pkg/health"
	"shallotglade/pkg/placement"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/proxy"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/verdict"
)

const relaysPerDomain = 2

// roster is what this daemon knows of the others.
type roster struct {
	d  *Daemon
	mu sync.Mutex

	hosts   []placement.Host
	homes   map[string][]placement.Host
	leaving bool
}

func newRoster(d *Daemon) (*roster, error) {
	return &roster{d: d, homes: map[string][]placement.Host{}}, nil
}

func (r *roster) self() placement.Host {
	return placement.Host{ID: r.d.node.ID(), Address: r.d.settings.Listen.Callers, PeerAddress: r.d.node.Addr(), Domain: r.d.settings.Domain, Leaving: r.leaving}
}

func (r *roster) setRoster(members []platform.Member) {
	r.mu.Lock()
	r.hosts = r.hosts[:0]
	for _, m := range members {
		if m.ID != r.d.node.ID() {
			r.hosts = append(r.hosts, placement.Host{ID: m.ID, Address: m.Address, PeerAddress: m.PeerAddress, Domain: m.Domain, Leaving: m.State == platform.Leaving})
		}
	}
	r.mu.Unlock()
}

func (r *roster) all() []placement.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.hosts), r.self())
}

func (r *roster) run(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.refresh()
		}
	}
}

func (r *roster) refresh() {
	hosts := r.all()
	for _, s := range r.d.board.Services() {
		perDomain := max(1, s.Document().Homes.PerDomain)
		homes := placement.Homes(s.Name, hosts, perDomain)
		var ids []routing.Home
		for _, h := range homes {
			ids = append(ids, routing.Home{ID: h.ID, Domain: h.Domain})
		}
		r.mu.Lock()
		r.homes[s.Name] = homes
		r.mu.Unlock()
		s.SetHomes(ids)
	}
}

func (r *roster) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.refresh()
}

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

// Homes implements proxy.Directory.
func (r *roster) Homes(service string) []proxy.Peer {
	var near, far []proxy.Peer
	for _, h := range r.others(service) {
		p := proxy.Peer{ID: h.ID, Address: h.PeerAddress, Domain: h.Domain}
		if h.Domain == r.d.settings.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return append(near, far...)
}

func (r *roster) reportPeers(service string) []health.Peer {
	var out []health.Peer
	for _, h := range r.others(service) {
		out = append(out, health.Peer{ID: h.ID, Address: h.PeerAddress})
	}
	return out
}

func (r *roster) syncPeers() []confsync.Peer {
	var out []confsync.Peer
	known := map[string]bool{}
	for _, h := range r.all() {
		known[h.PeerAddress] = true
		out = append(out, confsync.Peer{Address: h.PeerAddress, Domain: h.Domain})
	}
	if len(out) > 1 {
		return out
	}
	for _, seed := range r.d.settings.Peers.Seeds {
		if !known[seed.Address] {
			out = append(out, confsync.Peer{Address: seed.Address, Domain: seed.Domain})
		}
	}
	return out
}

func (r *roster) relays(domain string) []confsync.Peer {
	var out []confsync.Peer
	for _, h := range placement.Relays(domain, r.all(), relaysPerDomain) {
		out = append(out, confsync.Peer{Address: h.PeerAddress, Domain: h.Domain})
	}
	return out
}

func (d *Daemon) addresses(q proxy.AddressQuery) (proxy.AddressAnswer, *verdict.Error) {
	if _, ok := d.board.Service(q.Service); !ok {
		return proxy.AddressAnswer{}, verdict.Refuse(404, "unknown-service", "No service has this name.")
	}
	d.roster.mu.Lock()
	homes := d.roster.homes[q.Service]
	d.roster.mu.Unlock()
	life := d.settings.Addresses.Lifetime
	return proxy.AddressAnswer{
		Service: q.Service, LifetimeMs: life.Milliseconds(),
		Addresses: placement.Addresses(placement.Query{Service: q.Service, Domain: q.Domain, Caller: q.Caller, Failed: q.Failed}, homes),
	}, nil
}

// Daemons implements admin.Fleet.
func (d *Daemon) Daemons() []admin.Daemon {
	var out []admin.Daemon
	for _, h := range d.roster.all() {
		state := "live"
		if h.Leaving {
			state = "leaving"
		}
		out = append(out, admin.Daemon{ID: h.ID, Domain: h.Domain, Address: h.Address, State: state})
	}
	return out
}
