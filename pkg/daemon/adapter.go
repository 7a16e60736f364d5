package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"shallotglade/pkg/catalog"
	"shallotglade/pkg/dialect"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/settings"
)

// Adapter connects a daemon to a concrete platform.
type Adapter struct {
	// Store is the platform's object API with its members under MembersPrefix.
	Store platform.Store
	// Prefixes are the prefixes of the objects that the daemon copies.
	Prefixes []string
	// Dialect holds the names that callers and upstreams use.
	Dialect *dialect.Dialect
	// Reach makes the cheapest call to the platform; nil if none is known.
	Reach func(ctx context.Context, host string) error
	// Registers means that the platform keeps no list of daemons, so that each
	// daemon enters itself.
	Registers bool
	// DearDistance means that bytes between failure domains are dear: periodic
	// messages stay within a domain but for those of a few daemons, and a daemon
	// that is no home of a service passes requests to homes of its own domain
	// only.
	DearDistance bool
}

// AdapterFactory makes an adapter on a caller of the platform.
type AdapterFactory func(s *settings.Settings, caller *platform.Caller, log zerolog.Logger) Adapter

// native is the adapter for the API of the stand-in.
func native(_ *settings.Settings, caller *platform.Caller, _ zerolog.Logger) Adapter {
	client := platform.NewClient(caller)
	return Adapter{
		Store: platform.WithMembers(client, client), Prefixes: catalog.Prefixes(), Dialect: dialect.Native(),
	}
}
