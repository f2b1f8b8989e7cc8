package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// devCertificateLifetime is the validity period of certificates that a development
// authority issues.
const devCertificateLifetime = 30 * 24 * time.Hour

// Authority is a certificate authority for development and tests. Production fleets use
// their own authority.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// NewAuthority generates an authority with a new key. Nothing is written to disk.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority key")
	}
	tmpl := certificateTemplate("walldrift development authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	return &Authority{cert: cert, der: der, key: key}, nil
}

func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(devCertificateLifetime),
	}
}

// Issue generates a key and a certificate for the named instance.
func (a *Authority) Issue(name string) (*Identity, error) { return a.issue(name) }

// issue is Issue with one or more DNS names, of which the first is the instance name.
func (a *Authority) issue(names ...string) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "instance key")
	}
	tmpl := certificateTemplate(names[0])
	tmpl.DNSNames = names
	tmpl.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "instance certificate")
	}
	return &Identity{
		Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		Authority:   a.certPool(),
	}, nil
}

// certPool returns a pool that trusts only this authority.
func (a *Authority) certPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Names of the files that WriteFiles writes.
const (
	AuthorityFile = "ca.pem"
	certSuffix    = ".pem"
	keySuffix     = "-key.pem"
)

// CertFile returns the path of an instance's certificate file in dir.
func CertFile(dir, name string) string { return filepath.Join(dir, name+certSuffix) }

// KeyFile returns the path of an instance's private key file in dir.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+keySuffix) }

// WriteFiles issues an identity for each name and writes the authority, certificates
// and private keys to dir as PEM files.
func (a *Authority) WriteFiles(dir string, names []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "certificate directory")
	}
	if err := writePEM(filepath.Join(dir, AuthorityFile), "CERTIFICATE", a.der); err != nil {
		return err
	}
	for _, name := range names {
		id, err := a.Issue(name)
		if err != nil {
			return err
		}
		key, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
		if err != nil {
			return errors.Wrap(err, "private key")
		}
		if err := writePEM(CertFile(dir, name), "CERTIFICATE", id.Certificate.Certificate[0]); err != nil {
			return err
		}
		if err := writePEM(KeyFile(dir, name), "PRIVATE KEY", key); err != nil {
			return err
		}
	}
	return nil
}

func writePEM(path, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, b, 0o600), "write certificate")
}
