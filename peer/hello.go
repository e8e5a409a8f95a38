package peer

import (
	"crypto/tls"

	"github.com/pkg/errors"
)

// exporterLabel names the key material that proofs are bound to.
const (
	exporterLabel = "EXPORTER-savoryfold-peer"
	exporterSize  = 32
)

// Side is a side of a connection.
type Side byte

// The sides.
const (
	Dialer   Side = 'd'
	Listener Side = 'l'
)

// Hello proves that its sender knows a shared secret. The proof is bound to the
// TLS session and to the side, so that it is of no use on another connection.
type Hello struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Proof []byte
}

// ErrHelloInvalid tells that the other side did not prove that it knows a secret.
var ErrHelloInvalid = errors.New("the other side does not know the shared secret")

// NewHello makes the proof of an instance for a session.
func NewHello(id string, side Side, s tls.ConnectionState, secrets Secrets) (Hello, error) {
	if len(secrets) == 0 {
		return Hello{}, ErrHelloInvalid
	}
	material, err := s.ExportKeyingMaterial(exporterLabel, nil, exporterSize)
	if err != nil {
		return Hello{}, errors.Wrap(err, "hello")
	}
	return Hello{ID: id, Proof: computeHMAC(secrets[0], material, []byte{byte(side)}, []byte(id))}, nil
}

// Verify checks the proof of the other side.
func (h *Hello) Verify(side Side, s tls.ConnectionState, secrets Secrets) error {
	material, err := s.ExportKeyingMaterial(exporterLabel, nil, exporterSize)
	if err != nil {
		return errors.Wrap(err, "hello")
	}
	if !validName(h.ID) || len(h.Proof) != proofSize {
		return ErrHelloInvalid
	}
	if !verifyHMAC(secrets, h.Proof, material, []byte{byte(side)}, []byte(h.ID)) {
		return ErrHelloInvalid
	}
	return nil
}

// proofSize is the size of an HMAC-SHA256.
const proofSize = 32
