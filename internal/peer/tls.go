// Package peer is the transport between nodes: QUIC with mutual TLS over one UDP
// socket. ALPN separates control links, which carry framed messages, from connections
// that carry HTTP/3 requests.
//
// The handshake with a peer that has no certificate of the fleet's authority fails
// before any stream exists. A certificate names its instance in its first DNS name, and
// a dialling node accepts only the instance that it dialled.
package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Identity is a node's private key and certificate, and the authority it trusts.
type Identity struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadIdentity reads an identity from PEM files. It returns an error unless the
// certificate is valid under the authority and has the instance name as its first DNS
// name, as peers read no other.
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
	return id, id.verify(name)
}

// verify checks that the authority signed the certificate, that it is valid for name, and
// that peers read this name from it.
func (id *Identity) verify(name string) error {
	leaf, err := x509.ParseCertificate(id.Certificate.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		DNSName:   name,
		Roots:     id.Authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return errors.Wrapf(err, "certificate for instance %q", name)
	}
	if named, err := instanceName(leaf); err != nil || named != name {
		return errors.Newf("certificate for instance %q: its first DNS name is %q", name, named)
	}
	return nil
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

// statelessResetKey derives the QUIC stateless reset key from the private key. A restarted
// node therefore has the same key as before, so its peers drop the connections to the
// earlier process at once instead of waiting for a timeout.
func (id *Identity) statelessResetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(id.Certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("walldrift stateless reset"), der...)))
	return &key, nil
}

// peerName returns the instance name in the peer's certificate.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errNoInstance
	}
	return instanceName(state.PeerCertificates[0])
}

var errNoInstance = errors.New("peer certificate names no instance")

// instanceName returns the instance that a certificate names: its first DNS name.
func instanceName(cert *x509.Certificate) (string, error) {
	if len(cert.DNSNames) == 0 {
		return "", errNoInstance
	}
	return cert.DNSNames[0], nil
}
