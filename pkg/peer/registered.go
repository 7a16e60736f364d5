package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Registered is the trust of daemons that make a key at their start and enter
// its hash where all daemons can read it.
type Registered struct {
	// ID is the id of this daemon, new at each start.
	ID string
	// KeyOf returns the hash of the public key of a daemon, or an empty text
	// when the daemon is not known.
	KeyOf func(id string) string
	// OnMismatch is called, in a handshake, with the id that a peer's certificate
	// names when the peer is refused because KeyOf does not return its key. TLS
	// has shown that the peer holds the private key, and nothing else about it.
	// It must not block; nil means that nobody is told.
	OnMismatch func(id string)

	pair tls.Certificate
	hash string
}

// certificateLife is the life of a certificate that a daemon makes for itself.
// The entry of the daemon and not the certificate ends the trust.
const certificateLife = 10 * 365 * 24 * time.Hour

// NewRegistered makes the key of the daemon id. KeyOf must be set before the
// result is used.
func NewRegistered(id string) (*Registered, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make a key")
	}
	// The validity is wide, since the clocks of hosts may differ by years.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0), NotAfter: time.Now().Add(certificateLife),
		URIs: []*url.URL{{Scheme: "shallotglade", Host: "daemon", Path: "/" + id}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make a certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "peer: read the own certificate")
	}
	return &Registered{
		ID: id, pair: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, hash: keyHash(leaf),
	}, nil
}

// KeyHash returns the hash to enter for this daemon, in hexadecimal digits.
func (r *Registered) KeyHash() string { return r.hash }

func keyHash(cert *x509.Certificate) string {
	sum := sha256.Sum256(cert.RawSubjectPublicKeyInfo)
	return hex.EncodeToString(sum[:])
}

func (r *Registered) keys() *keys {
	verify := func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("no certificate")
		}
		return r.verify(state.PeerCertificates[0])
	}
	base := tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{r.pair},
		CurvePreferences: curves, VerifyConnection: verify,
	}
	server, client := base.Clone(), base.Clone()
	server.ClientAuth, server.SessionTicketsDisabled = tls.RequireAnyClientCert, true
	// No authority signs these certificates: verify compares the key with the
	// entry of the daemon.
	client.InsecureSkipVerify = true
	return &keys{id: r.ID, server: server, client: client}
}

// verify compares a certificate with the entry of the daemon that it names. TLS
// has shown that the peer holds its private key.
func (r *Registered) verify(cert *x509.Certificate) error {
	id, err := daemonID(cert)
	if err != nil {
		return err
	}
	entered := r.KeyOf(id)
	if entered == keyHash(cert) {
		return nil
	}
	if r.OnMismatch != nil {
		r.OnMismatch(id)
	}
	if entered == "" {
		return errors.Newf("daemon %s is not registered here", id)
	}
	return errors.Newf("the key of daemon %s is not the registered one", id)
}
