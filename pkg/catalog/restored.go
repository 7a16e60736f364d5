package catalog

import (
	"shallotglade/pkg/document"
	"shallotglade/pkg/platform"
)

// configurationInForce is the configuration that this process has put in force last.
type configurationInForce struct {
	// configuration is nil before the first.
	configuration *document.Configuration
	// version is the platform version that it has, or under which it was kept.
	version uint64
	// kept is true while it is newer than what a restored store holds.
	kept bool
}

// supersedes reports whether it stays in force although the store has another configuration under
// a higher version. A store that was restored from a copy has an older one until the operators write
// again what it has lost, perhaps in several steps. Operators number configurations in rising order.
func (f *configurationInForce) supersedes(other *document.Configuration, version uint64) bool {
	if f.configuration == nil || version <= f.version || other.Version >= f.configuration.Version {
		return false
	}
	return f.kept || platform.EraOf(version) > platform.EraOf(f.version)
}
