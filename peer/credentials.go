package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/filewatch"
)

// protocolName is the application protocol (ALPN) of connections between
// instances.
const protocolName = "savoryfold-peer/1"

// selfIssuedValidity is the validity of a certificate that an instance creates
// for itself.
const selfIssuedValidity = 10 * 365 * 24 * time.Hour

// CredentialFiles holds the paths of an instance's certificate, its private key,
// and the certificates of the authorities that it trusts.
type CredentialFiles struct {
	Cert, Key, CA string
}

// Credentials authenticates the instance to other instances and verifies theirs.
// With files, both sides verify each other's certificate; Reload picks up changed
// files. Without files, the instance creates a certificate that does not
// authenticate it, and both sides have to prove with a Hello that they know a
// shared secret. Credentials is safe for concurrent use.
type Credentials struct {
	files   CredentialFiles
	state   atomic.Pointer[credentialState]
	mu      sync.Mutex
	watch   filewatch.Watch // guarded by mu
	reloads atomic.Uint64
}

type credentialState struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewCredentials reads the files, or creates a certificate for the instance with
// the ID if no files are given. It returns an error if only some are given.
func NewCredentials(id string, files CredentialFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	if files == (CredentialFiles{}) {
		pair, err := selfIssued(id, selfIssuedValidity)
		if err != nil {
			return nil, err
		}
		certificate, err := tls.X509KeyPair(pair.CertPEM, pair.KeyPEM)
		if err != nil {
			return nil, errors.Wrap(err, "certificate")
		}
		c.state.Store(&credentialState{certificate: certificate})
		return c, nil
	}
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		return nil, errors.New("tls_cert, tls_key and tls_ca must be set together")
	}
	c.watch.Paths = []string{files.Cert, files.Key, files.CA}
	_, err := c.Reload(time.Now())
	return c, err
}

// SelfIssued reports whether the instance created its certificate itself. If so, the
// TLS handshake does not authenticate either side, and the caller has to exchange
// Hello frames.
func (c *Credentials) SelfIssued() bool { return c.state.Load().roots == nil }

// Reloads returns how many times the files were read successfully.
func (c *Credentials) Reloads() uint64 { return c.reloads.Load() }

// Reload reads the files if they changed, and reports whether the credentials
// were replaced. On an error it keeps the current credentials, and the next check
// reads the files again.
func (c *Credentials) Reload(now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.watch.Paths) == 0 {
		return false, nil
	}
	changed, err := c.watch.Changed(now)
	if err != nil || !changed {
		return false, err
	}
	state, err := c.files.read()
	if err != nil {
		c.watch.Retry()
		return false, err
	}
	c.state.Store(state)
	c.reloads.Add(1)
	return true, nil
}

// read reads the certificate, its key and the authorities.
func (f CredentialFiles) read() (*credentialState, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, errors.New("tls_ca holds no certificate")
	}
	return &credentialState{certificate: certificate, roots: roots}, nil
}

// ServerConfig returns the TLS configuration of the listening side. It requires a
// client certificate.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.state.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verify(s, "", x509.ExtKeyUsageClientAuth)
		},
		SessionTicketsDisabled: true,
	}
}

// ClientConfig returns the TLS configuration for connections to the instance with
// the ID.
func (c *Credentials) ClientConfig(id string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		ServerName: id,
		// VerifyConnection verifies the chain and the ID instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.state.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verify(s, id, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify verifies the chain of the other side's certificate and that it names the
// instance with the ID. An empty ID accepts any instance. Without trusted
// authorities, verify accepts every certificate.
func (c *Credentials) verify(s tls.ConnectionState, id string, usage x509.ExtKeyUsage) error {
	roots := c.state.Load().roots
	if roots == nil {
		return nil
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	leaf := s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	if name := CertificateID(leaf); name == "" || (id != "" && name != id) {
		return errors.Errorf("certificate is of instance %q, want %q", name, id)
	}
	return nil
}

// CertificateID returns the ID of the instance that a certificate was issued for:
// its first DNS name or, if it has none, its common name.
func CertificateID(leaf *x509.Certificate) string {
	if len(leaf.DNSNames) > 0 {
		return leaf.DNSNames[0]
	}
	return leaf.Subject.CommonName
}
