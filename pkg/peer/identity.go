package peer

import (
	"crypto/x509"
	"strings"

	"github.com/cockroachdb/errors"
)

// StartSeparator separates the daemon id of a certificate from the part of a
// host id that is unique to one process start, as in "host-12#18f3a2".
const StartSeparator = "#"

// Identity is a peer whose certificate was verified.
type Identity struct {
	// ID is the daemon id that the certificate names.
	ID string
	// Addr is the peer's UDP IP:port as seen here.
	Addr string
}

// Owns tells whether the peer may speak for the host id: its own daemon id, or
// that id followed by StartSeparator and the mark of a process start.
func (i Identity) Owns(hostID string) bool {
	daemon, _, _ := strings.Cut(hostID, StartSeparator)
	return daemon == i.ID && daemon != ""
}

// daemonID returns the id of the URI name shallotglade://daemon/<id>, or the
// common name.
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
