package daemon

import (
	"strings"

	"shallotglade/pkg/confsync"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/registration"
)

// registeredKeyHash returns the registered hash of a daemon's key, or "" if none is known.
func (d *Daemon) registeredKeyHash(id string) string {
	if !d.provisioned.Load() {
		return ""
	}
	if m, ok := d.catalog.Daemon(registration.HostOf(id)); ok && m.ID == id {
		return m.PeerKey
	}
	return ""
}

// onRosterLoaded refreshes the roster after the list of daemons has been read.
func (d *Daemon) onRosterLoaded() {
	d.roster.refresh()
	d.rosterLoaded.Store(true)
}

// onEntryChanged handles a change of a daemon's registration entry. A new entry means
// that the daemon of the host has restarted, so the connection to the previous process
// is dead and is replaced.
func (d *Daemon) onEntryChanged(o platform.Object) {
	d.registration.HandleChange(o)
	if m, ok := d.catalog.Daemon(strings.TrimPrefix(o.Key, platform.DaemonsPrefix)); ok && m.ID != d.self.ID {
		d.node.RenewConnection(m.PeerAddress)
	}
}

// onPeerRefused handles the refusal of a daemon; id is the one in its certificate.
// The daemon may have started after this one read the list of daemons, so its
// entry is looked up.
func (d *Daemon) onPeerRefused(id string) {
	d.metrics.PeersRefused.Inc()
	if !d.provisioned.Load() {
		return
	}
	// While a whole fleet starts, all daemons refuse each other until they have read the
	// list, so no lookups are made before then.
	if d.lookup != nil && (d.rosterLoaded.Load() || d.syncer.Ready()) {
		d.lookup.Request(id)
	}
	if d.refusedLog.Allow() {
		held, _ := d.catalog.Daemon(registration.HostOf(id))
		d.log.Warn().Str("peer", id).Str("held", held.ID).Uint64("held_version", held.Version).
			Msg("peer: daemon refused, its key does not match the registered one")
	}
}

// provisionLookup creates the lookup of registration entries. It applies entries to
// the replica in the same way as entries received from other daemons.
func (d *Daemon) provisionLookup() {
	d.lookup = &registration.Lookup{
		Store: d.store, Log: d.log,
		LocalID: func(host string) string {
			m, _ := d.catalog.Daemon(host)
			return m.ID
		},
		Apply: func(o platform.Object) { d.replica.ApplyFrom(confsync.Origin{Source: confsync.SourceRead}, o) },
		ApplyList: func(objects []platform.Object, revision uint64) {
			d.replica.ApplyList(platform.DaemonsPrefix, objects, revision)
		},
		OnFound: func(m platform.Member) {
			d.syncer.Compare(confsync.Peer{Address: m.PeerAddress, Domain: m.Domain})
		},
	}
	d.lookup.Provision()
}
