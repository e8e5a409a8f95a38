package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// clockSkewAllowance backdates the start of a certificate's validity, so that
// hosts whose clocks are behind the issuer's accept it.
const clockSkewAllowance = time.Hour

// serialBits is the size of a certificate's serial number in bits.
const serialBits = 127

// Authority is a certificate authority that issues the certificates of instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// CertPEM is the authority's certificate, for the file that tls_ca names. The
	// file may hold several certificates, so that authorities can be rotated.
	CertPEM []byte
	// KeyPEM is the authority's private key. Only operators keep it; instances
	// do not need it.
	KeyPEM []byte
}

// KeyPair is a certificate and its private key in PEM, for the files that tls_cert
// and tls_key name.
type KeyPair struct {
	CertPEM, KeyPEM []byte
}

// NewAuthority creates an authority with a new key. Its certificate is valid for
// the given time from now on.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return newAuthority(der, key)
}

// LoadAuthority parses the certificate and key of an authority that NewAuthority
// created.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.New("authority: no PEM block")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return newAuthority(certBlock.Bytes, key)
}

func newAuthority(der []byte, key *ecdsa.PrivateKey) (*Authority, error) {
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pair, err := encodePair(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key, CertPEM: pair.CertPEM, KeyPEM: pair.KeyPEM}, nil
}

// Issue creates a key and a certificate for the instance with the ID. The
// certificate is valid for both sides of a connection.
func (a *Authority) Issue(id string, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate")
	}
	template, err := newTemplate(id, validity)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{id}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate")
	}
	return encodePair(der, key)
}

// selfIssued creates a certificate that is issued by a temporary authority. Since
// nobody trusts that authority, the certificate does not authenticate the
// instance.
func selfIssued(id string, validity time.Duration) (KeyPair, error) {
	a, err := NewAuthority(id, validity)
	if err != nil {
		return KeyPair{}, err
	}
	return a.Issue(id, validity)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkewAllowance), NotAfter: now.Add(validity),
	}, nil
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "key")
	}
	return KeyPair{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
