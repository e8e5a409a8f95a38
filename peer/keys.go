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

// clockSkewAllowance lets certificates begin before the clock of their maker, for
// hosts whose clocks are behind.
const clockSkewAllowance = time.Hour

// serialBits is the size of a certificate's serial number.
const serialBits = 127

// Authority is a small certificate authority that issues the certificates of
// instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// CertPEM is the authority's certificate, for tls_ca. Several may stand one
	// after another in the file, so that authorities rotate.
	CertPEM []byte
	// KeyPEM is the authority's key. It stays with the operators.
	KeyPEM []byte
}

// KeyPair is an instance's certificate and key in PEM, for tls_cert and tls_key.
type KeyPair struct {
	CertPEM, KeyPEM []byte
}

// NewAuthority makes an authority whose certificate is valid for a time.
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

// LoadAuthority reads an authority that NewAuthority made.
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

// Issue makes the key and certificate of the instance with the ID.
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

// selfSigned makes a certificate that proves nothing by itself.
func selfSigned(id string, validity time.Duration) (KeyPair, error) {
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
