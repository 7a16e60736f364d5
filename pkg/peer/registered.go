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

// RegisteredKeys authenticates daemons without a CA: each daemon generates a key
// pair when it starts and registers the hash of its public key where all daemons can
// read it.
type RegisteredKeys struct {
	// ID is the id of this daemon, new at each start.
	ID string
	// KeyHashOf returns the registered hash of a daemon's public key, or an empty
	// string if the daemon is not known.
	KeyHashOf func(id string) string
	// OnMismatch, if not nil, is called during a handshake with the id in the
	// peer's certificate when the peer is refused because KeyHashOf does not
	// return the hash of its key. TLS has proven only that the peer holds the
	// private key, so the id may be false. OnMismatch must not block.
	OnMismatch func(id string)

	certificate tls.Certificate
	ownKeyHash  string
}

// certificateLifetime is the validity of a self-signed certificate. Trust ends
// when the registered hash is removed, not when the certificate expires.
const certificateLifetime = 10 * 365 * 24 * time.Hour

// NewRegisteredKeys generates a key pair and a self-signed certificate for the daemon
// id. The caller must set KeyHashOf before using the result.
func NewRegisteredKeys(id string) (*RegisteredKeys, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: generate a key")
	}
	// The validity is long because the clocks of hosts may differ by years.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0), NotAfter: time.Now().Add(certificateLifetime),
		URIs: []*url.URL{{Scheme: "shallotglade", Host: "daemon", Path: "/" + id}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "peer: create a certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "peer: parse the own certificate")
	}
	return &RegisteredKeys{
		ID: id, certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, ownKeyHash: keyHash(leaf),
	}, nil
}

// KeyHash returns the hash to register for this daemon, in hexadecimal.
func (r *RegisteredKeys) KeyHash() string { return r.ownKeyHash }

func keyHash(cert *x509.Certificate) string {
	sum := sha256.Sum256(cert.RawSubjectPublicKeyInfo)
	return hex.EncodeToString(sum[:])
}

func (r *RegisteredKeys) tlsConfigs() *tlsConfigs {
	verify := func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("no certificate")
		}
		return r.verify(state.PeerCertificates[0])
	}
	base := tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, Certificates: []tls.Certificate{r.certificate},
		CurvePreferences: curvePreferences, VerifyConnection: verify,
	}
	server, client := base.Clone(), base.Clone()
	server.ClientAuth, server.SessionTicketsDisabled = tls.RequireAnyClientCert, true
	// The certificates are self-signed: verify compares the key with the
	// registered hash.
	client.InsecureSkipVerify = true
	return &tlsConfigs{id: r.ID, server: server, client: client}
}

// verify compares the key of a certificate with the registered hash of the daemon
// that it names. TLS has proven that the peer holds the private key.
func (r *RegisteredKeys) verify(cert *x509.Certificate) error {
	id, err := daemonID(cert)
	if err != nil {
		return err
	}
	registeredHash := r.KeyHashOf(id)
	if registeredHash == keyHash(cert) {
		return nil
	}
	if r.OnMismatch != nil {
		r.OnMismatch(id)
	}
	if registeredHash == "" {
		return errors.Newf("daemon %s is not registered here", id)
	}
	return errors.Newf("the key of daemon %s is not the registered one", id)
}
