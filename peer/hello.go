package peer

import (
	"crypto/tls"

	"github.com/pkg/errors"
)

// The label and size of the TLS keying material that proofs are bound to.
const (
	exporterLabel = "EXPORTER-savoryfold-peer"
	exporterSize  = 32
)

// Side identifies an endpoint of a connection.
type Side byte

// The endpoints of a connection.
const (
	Dialer   Side = 'd'
	Listener Side = 'l'
)

// Hello proves that its sender knows a shared secret. The proof is an HMAC-SHA256
// bound to the TLS session, the side of the connection and the sender's ID, so
// that it cannot be replayed on another connection or reflected to its sender.
type Hello struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Proof []byte
}

// ErrHelloInvalid is returned if the other side did not prove that it knows a
// shared secret, or if the instance has no secret itself.
var ErrHelloInvalid = errors.New("no valid proof of a shared secret")

// NewHello returns the proof of the instance with the ID for a TLS session. It
// is made with the first secret.
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

// Verify checks a proof that was received from the given side against all
// secrets. It returns ErrHelloInvalid if none matches.
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

// proofSize is the size of an HMAC-SHA256 in bytes.
const proofSize = 32
