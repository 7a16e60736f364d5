// Package testcerts creates a certificate authority and daemon certificates for
// tests and the demo. A production fleet uses its own.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// certLifetime is long enough that certificates of tests and demos do not expire.
const certLifetime = 10 * 365 * 24 * time.Hour

// CA is a certificate authority with its key in memory.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewCA creates a certificate authority with the given common name.
func NewCA(name string) (*CA, error) {
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the authority")
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the certificate of the authority")
	}
	return &CA{cert: cert, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// PEM returns the certificate of the authority, PEM-encoded.
func (ca *CA) PEM() string { return string(ca.pem) }

// Issue returns a certificate and its key for the daemon with the given id, both
// PEM-encoded. The common name is the id, and the URI SAN is shallotglade://daemon/<id>.
func (ca *CA) Issue(id string) (cert, key string, err error) {
	template, err := newTemplate(id)
	if err != nil {
		return "", "", err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: "shallotglade", Host: "daemon", Path: "/" + id}}
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Wrapf(err, "generate the key of %s", id)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, privateKey.Public(), ca.key)
	if err != nil {
		return "", "", errors.Wrapf(err, "sign the certificate of %s", id)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return "", "", errors.Wrapf(err, "encode the key of %s", id)
	}
	return string(encode("CERTIFICATE", der)), string(encode("PRIVATE KEY", keyDER)), nil
}

// WriteDir creates dir, an authority and a certificate for each daemon id, and writes
// ca.pem, <id>.pem and <id>-key.pem into dir.
func WriteDir(dir string, ids ...string) error {
	ca, err := NewCA("shallotglade test authority")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create the certificate directory")
	}
	files := map[string]string{"ca.pem": ca.PEM()}
	for _, id := range ids {
		cert, key, err := ca.Issue(id)
		if err != nil {
			return err
		}
		files[id+".pem"], files[id+"-key.pem"] = cert, key
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return errors.Wrapf(err, "write %s", name)
		}
	}
	return nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "choose a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		// Tolerates an hour of clock skew between hosts.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(certLifetime),
	}, nil
}

func encode(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
