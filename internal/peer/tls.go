// Package peer is the transport between nodes: QUIC with mutual TLS over one
// UDP socket. It carries framed control links and HTTP/3 requests, told apart
// by ALPN. Memory holds the in-memory twin of the control links for tests.
//
// A peer without a certificate of the fleet's authority gets nothing: the
// handshake fails before any stream exists. A certificate names its instance
// in its first DNS name, and a dialler accepts only the instance it meant.
package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Identity is the key, the certificate and the trusted authority of a node.
type Identity struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadIdentity reads PEM files. The first DNS name of the certificate must be
// the instance name.
func LoadIdentity(name, certFile, keyFile, authorityFile string) (*Identity, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("authority %s holds no certificate", authorityFile)
	}
	id := &Identity{Certificate: cert, Authority: pool}
	return id, id.check(name)
}

// check verifies the certificate against the authority and the name.
func (id *Identity) check(name string) error {
	leaf, err := x509.ParseCertificate(id.Certificate.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		DNSName:   name,
		Roots:     id.Authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrapf(err, "certificate for instance %q", name)
}

func (id *Identity) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    id.Authority,
		NextProtos:   []string{protoControl, protoRequests},
	}
}

func (id *Identity) clientTLS(name, proto string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.Certificate},
		RootCAs:      id.Authority,
		ServerName:   name,
		NextProtos:   []string{proto},
	}
}

// resetKey derives the stateless reset key from the private key, so that a
// restarted node resets the connections of its predecessor at once.
func (id *Identity) resetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("walldrift stateless reset"), der...)))
	return &key, nil
}

// peerName returns the instance name in the certificate of the other side.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.New("peer certificate names no instance")
	}
	return state.PeerCertificates[0].DNSNames[0], nil
}
