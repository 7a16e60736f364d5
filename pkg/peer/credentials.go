package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// protocol is the ALPN name; it changes with an incompatible frame format.
const protocol = "shallotglade-peer/1"

// Credentials are the keys of a daemon. Each field is PEM text or the path of
// a PEM file; files are read at Listen and at Reload.
type Credentials struct {
	// CA lists the authorities that sign daemon certificates; each entry may
	// hold several certificates.
	CA []string
	// Cert is the certificate (chain) of this daemon.
	Cert string
	// Key is its private key.
	Key string
}

// keys are loaded credentials.
type keys struct {
	id     string
	server *tls.Config
	client *tls.Config
}

func (c Credentials) load() (*keys, error) {
	roots := x509.NewCertPool()
	for _, ca := range c.CA {
		text, err := readPEM(ca)
		if err != nil {
			return nil, errors.Wrap(err, "peer: read an authority")
		}
		if !roots.AppendCertsFromPEM(text) {
			return nil, errors.New("peer: an authority holds no certificate")
		}
	}
	cert, err := readPEM(c.Cert)
	if err != nil {
		return nil, errors.Wrap(err, "peer: read the certificate")
	}
	key, err := readPEM(c.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peer: read the key")
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "peer: certificate and key")
	}
	id, err := daemonID(pair.Leaf)
	if err != nil {
		return nil, err
	}
	if err := verifyChain(roots, []*x509.Certificate{pair.Leaf}, x509.ExtKeyUsageClientAuth); err != nil {
		return nil, errors.Wrap(err, "peer: own certificate does not match the authorities")
	}
	return &keys{id: id, server: serverTLS(roots, pair), client: clientTLS(roots, pair)}, nil
}

func readPEM(s string) ([]byte, error) {
	if strings.Contains(s, "-----BEGIN") {
		return []byte(s), nil
	}
	return os.ReadFile(s)
}

// curves leaves out the post-quantum key exchange of the library's default: it
// adds about 2.1 KB to a handshake, and daemons talk within a private network.
var curves = []tls.CurveID{tls.X25519, tls.CurveP256}

func serverTLS(roots *x509.CertPool, pair tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       []string{protocol},
		Certificates:     []tls.Certificate{pair},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		CurvePreferences: curves,
		ClientCAs:        roots,
		// Without resumption every connection is verified against the
		// authorities in force.
		SessionTicketsDisabled: true,
	}
}

func clientTLS(roots *x509.CertPool, pair tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       []string{protocol},
		Certificates:     []tls.Certificate{pair},
		CurvePreferences: curves,
		// Certificates name daemons, not addresses: VerifyConnection checks
		// the chain instead of the usual verification with a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(roots, state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}

func verifyChain(roots *x509.CertPool, chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}
