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

// protocolName is the application protocol that both sides of a connection name.
const protocolName = "savoryfold-peer/1"

// selfSignedValidity is the life of a certificate that a process makes for
// itself.
const selfSignedValidity = 10 * 365 * 24 * time.Hour

// CredentialFiles names an instance's certificate, its key, and the
// certificates of the authorities that it trusts.
type CredentialFiles struct {
	Cert, Key, CA string
}

// Credentials prove the instance to others and check theirs. With files, the
// certificates of both sides are checked; they are read again when they change.
// Without files the instance makes a certificate for itself, and both sides
// prove that they know a shared secret by an HMAC over the TLS session.
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

// NewCredentials reads the files, or makes a certificate if none are named.
func NewCredentials(id string, files CredentialFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	if files == (CredentialFiles{}) {
		pair, err := selfSigned(id, selfSignedValidity)
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
		return nil, errors.New("tls_cert, tls_key and tls_ca go together")
	}
	c.watch.Paths = []string{files.Cert, files.Key, files.CA}
	_, err := c.Reload(time.Now())
	return c, err
}

// SelfMade reports whether the certificate proves nothing, so that the secret
// has to.
func (c *Credentials) SelfMade() bool { return c.state.Load().roots == nil }

// Reloads grows with every reload.
func (c *Credentials) Reloads() uint64 { return c.reloads.Load() }

// Reload reads the files again if they changed. Files that are not right leave
// the credentials as they are.
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

// ServerConfig is the TLS configuration of the listening side.
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

// ClientConfig is the TLS configuration of a connection to the instance with
// the ID.
func (c *Credentials) ClientConfig(id string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		ServerName: id,
		// VerifyConnection checks the chain and the name against the ID.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.state.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verify(s, id, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks the other side's certificate. An empty ID accepts any name.
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

// CertificateID is the ID of the instance that a certificate names.
func CertificateID(leaf *x509.Certificate) string {
	if len(leaf.DNSNames) > 0 {
		return leaf.DNSNames[0]
	}
	return leaf.Subject.CommonName
}
