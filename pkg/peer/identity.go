package peer

import (
	"crypto/x509"
	"strings"

	"github.com/cockroachdb/errors"
)

// StartSeparator separates the daemon id of a certificate from the part of a
// host id that is unique to one process start, as in "host-12#18f3a2".
const StartSeparator = "#"

// Identity identifies a peer whose certificate has been verified.
type Identity struct {
	// ID is the daemon id that the certificate names.
	ID string
	// Addr is the peer's UDP IP:port as seen by this node.
	Addr string
}

// Owns reports whether the host id belongs to the peer: it is the peer's daemon
// id, or that id followed by StartSeparator and a suffix for a process start.
func (i Identity) Owns(hostID string) bool {
	daemon, _, _ := strings.Cut(hostID, StartSeparator)
	return daemon == i.ID && daemon != ""
}

// daemonID returns the id from the certificate's URI name
// shallotglade://daemon/<id>, or else its common name.
func daemonID(cert *x509.Certificate) (string, error) {
	for _, uri := range cert.URIs {
		if id := strings.TrimPrefix(uri.Path, "/"); uri.Scheme == "shallotglade" && uri.Host == "daemon" && id != "" {
			return id, nil
		}
	}
	if cert.Subject.CommonName != "" {
		return cert.Subject.CommonName, nil
	}
	return "", errors.New("peer: the certificate names no daemon")
}
