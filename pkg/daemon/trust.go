package daemon

import (
	"strings"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
)

// keyOf returns the registered key of a daemon, or an empty text.
func (d *Daemon) keyOf(id string) string {
	if !d.provisioned.Load() {
		return ""
	}
	if m, ok := d.catalog.Daemon(registration.HostOf(id)); ok && m.ID == id {
		return m.PeerKey
	}
	return ""
}

// rosterRead takes over the list of daemons that was read.
func (d *Daemon) rosterRead() {
	d.rostered.Store(true)
	d.roster.refresh()
}

// entryChanged takes a change of a daemon's entry. A new entry tells that the daemon of
// the host has started again: the connection to its former start leads nowhere.
func (d *Daemon) entryChanged(o platform.Object) {
	d.registration.Seen(o)
	if m, ok := d.catalog.Daemon(strings.TrimPrefix(o.Key, platform.DaemonsPrefix)); ok && m.ID != d.self.ID {
		d.node.Renew(m.PeerAddress)
	}
}

// refusedPeer takes the id that the certificate of a refused daemon names. The
// daemon may have started after the list of daemons was read here.
func (d *Daemon) refusedPeer(id string) {
	d.metrics.PeersRefused.Inc()
	if !d.provisioned.Load() {
		return
	}
	// Before the list was read, all daemons of a fleet that starts refuse each other.
	if d.lookup != nil && (d.rostered.Load() || d.syncer.Ready()) {
		d.lookup.Request(id)
	}
	if d.refusedLog.Allow() {
		held, _ := d.catalog.Daemon(registration.HostOf(id))
		d.log.Warn().Str("peer", id).Str("held", held.ID).Uint64("held_version", held.Version).
			Msg("peer: refused a daemon whose key is not the registered one")
	}
}

// provisionLookup prepares the lookup, which applies entries like those that other
// daemons bring.
func (d *Daemon) provisionLookup() {
	d.lookup = &registration.Lookup{
		Store: d.store, Log: d.log,
		Held: func(host string) string {
			m, _ := d.catalog.Daemon(host)
			return m.ID
		},
		Apply: func(o platform.Object) { d.replica.Apply(o) },
		Found: func(m platform.Member) {
			d.syncer.Compare(confsync.Peer{Address: m.PeerAddress, Domain: m.Domain})
		},
	}
	d.lookup.Provision()
}
