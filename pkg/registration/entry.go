package registration

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// ErrInvalidEntry means that an entry does not have the fields of a daemon's entry.
var ErrInvalidEntry = errors.New("invalid entry of a daemon")

// CheckEntry returns an ErrInvalidEntry unless the member has the fields of a daemon's entry with
// the given name: that of its host, or the id of a daemon that keeps it. Other daemons and callers
// connect to the addresses of an entry, so an incomplete one names no daemon.
func CheckEntry(name string, m *platform.Member) error {
	switch {
	case m.Host == "" && m.ID != name, m.Host != "" && (m.Host != name || HostOf(m.ID) != name):
		return errors.Wrapf(ErrInvalidEntry, "id %q and host %q", m.ID, m.Host)
	case !isAddress(m.Address):
		return errors.Wrapf(ErrInvalidEntry, "address %q", m.Address)
	case !isAddress(m.PeerAddress):
		return errors.Wrapf(ErrInvalidEntry, "address for daemons %q", m.PeerAddress)
	case m.Domain == "":
		return errors.Wrap(ErrInvalidEntry, "no failure domain")
	case m.State != platform.Live && m.State != platform.Leaving:
		return errors.Wrapf(ErrInvalidEntry, "state %q", m.State)
	case m.Cores < 0 || m.LinkMbps < 0:
		return errors.Wrapf(ErrInvalidEntry, "%v cores and %v Mbit/s", m.Cores, m.LinkMbps)
	}
	return nil
}

// isAddress reports whether a text has the form that the settings require of an address.
func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
