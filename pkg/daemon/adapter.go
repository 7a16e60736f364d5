package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"shallotglade/pkg/catalog"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/settings"
)

// Adapter connects a daemon to a specific platform.
type Adapter struct {
	// Store is the platform's object API, with the members listed under
	// platform.MembersPrefix.
	Store platform.Store
	// DecodeConfiguration decodes the value of an object under
	// document.ConfigurationsPrefix. It is nil if Store returns such values in the
	// encoding of document.DecodeConfiguration.
	DecodeConfiguration catalog.ConfigurationDecoder
	// ConfigurationKey is the key of the one object that holds the configuration in force,
	// with all accounts. It is empty if each service has a document of its own, and then the
	// age of the accounts is not known.
	ConfigurationKey string
	// Prefixes are the key prefixes of the objects that the daemon replicates.
	Prefixes []string
	// Dialect holds the header names and formats that callers and upstreams use.
	Dialect *dialect.Dialect
	// ProbePlatform checks that the platform is reachable, with its cheapest call.
	// It is nil if the platform has no such call.
	ProbePlatform func(ctx context.Context, host string) error
	// RefusedEntries returns how many entries of upstreams the adapter has refused. It is nil if
	// it checks none.
	RefusedEntries func() uint64
	// SelfRegistration is true if the platform keeps no list of daemons, so each
	// daemon registers itself.
	SelfRegistration bool
	// CrossDomainExpensive is true if traffic between failure domains is expensive.
	// Only a few daemons then send periodic messages to other domains, and a daemon
	// that is not a home of a service forwards requests only to homes in its own
	// domain.
	CrossDomainExpensive bool
}

// AdapterFactory returns an adapter that sends its calls through transport.
type AdapterFactory func(s *settings.Settings, transport *platform.Transport, log zerolog.Logger) Adapter

// newNativeAdapter returns the adapter for the API of the stand-in platform.
func newNativeAdapter(_ *settings.Settings, transport *platform.Transport, _ zerolog.Logger) Adapter {
	client := platform.NewClient(transport)
	return Adapter{
		Store: platform.WithMembers(client, client), Prefixes: catalog.Prefixes(), Dialect: dialect.Native(),
	}
}
