package daemon

import (
	"runtime/debug"

	"shallotglade/pkg/settings"
	"shallotglade/pkg/telemetry"
)

// Reload applies the reloadable settings of a new file and rereads the peer keys.
// Keys that the daemon generated itself do not change.
func (d *Daemon) Reload(next *settings.Settings) error {
	pending := d.settings.RestartRequired(next)
	d.reloadable.Store(next.Reloadable())
	telemetry.SetLevel(next.Log.Level)
	d.log.Info().Str("level", next.Log.Level).Bool("decisions", next.Log.Decisions).
		Dur("lifetime_ms", next.Addresses.Lifetime).Int("connections", next.Callers.MaxConnections).
		Strs("pending", pending).Msg("daemon: settings reloaded; pending groups take effect after a restart")
	if d.settings.Peers.Trust == settings.TrustRegistered {
		return nil
	}
	return d.node.Reload(d.credentials())
}

// logsDecisions reports whether each routing decision is logged.
func (d *Daemon) logsDecisions() bool { return d.reloadable.Load().Decisions }

// Version returns the program version recorded by the Go toolchain.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
