package peer

import (
	"crypto/hmac"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/policy"
)

// Sizes and limits of a datagram. Sizes are in bytes.
const (
	// MaxDatagramSize keeps datagrams below the path MTU, so that they are not
	// fragmented.
	MaxDatagramSize = 1200
	datagramVersion = 1
	macSize         = 16
	prefixSize      = 1 + macSize
	// MaxNameLength is the maximum length of the names of instances, availability
	// zones and digest kinds, and of addresses.
	MaxNameLength = 64
	// maxElements is the maximum number of elements of a list.
	maxElements = 512
	maxNesting  = 6
)

// Errors of Datagram.Encode and Decode.
var (
	ErrDatagramMalformed = errors.New("malformed datagram")
	ErrDatagramForged    = errors.New("datagram is not signed with a known secret")
	ErrDatagramTooLarge  = errors.New("datagram is larger than 1200 bytes")
)

// Header identifies a datagram, together with the sender's ID and boot number in
// its message.
type Header struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// SentAt is the sender's clock in Unix seconds.
	SentAt int64
	Kind   policy.MemberSendKind
}

// Datagram is a gossip message with digests that one instance sends to another
// over UDP.
type Datagram struct {
	_       struct{} `cbor:",toarray"`
	Header  Header
	Message policy.MemberMessage
	Digests []policy.Digest
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("peer: " + err.Error())
	}
	return m
}

// Encode encodes a datagram and signs it with the first secret. It returns
// ErrDatagramForged if there is no secret, and ErrDatagramTooLarge if the result
// is larger than MaxDatagramSize.
func (d *Datagram) Encode(s Secrets) ([]byte, error) {
	if len(s) == 0 {
		return nil, ErrDatagramForged
	}
	body, err := encoder.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	out := make([]byte, prefixSize, prefixSize+len(body))
	out[0] = datagramVersion
	out = append(out, body...)
	if len(out) > MaxDatagramSize {
		return nil, ErrDatagramTooLarge
	}
	copy(out[1:prefixSize], computeHMAC(s[0], out[:1], body))
	return out, nil
}

// Decode verifies and decodes a datagram. It verifies the signature before it
// decodes the body. It returns ErrDatagramForged if the signature matches none of
// the secrets, and ErrDatagramMalformed if size, version or content are invalid.
func Decode(raw []byte, s Secrets) (*Datagram, error) {
	if len(raw) <= prefixSize || len(raw) > MaxDatagramSize || raw[0] != datagramVersion {
		return nil, ErrDatagramMalformed
	}
	body := raw[prefixSize:]
	if !verifyHMAC(s, raw[1:prefixSize], raw[:1], body) {
		return nil, ErrDatagramForged
	}
	d := &Datagram{}
	if err := decoder.Unmarshal(body, d); err != nil {
		return nil, ErrDatagramMalformed
	}
	if !d.valid() {
		return nil, ErrDatagramMalformed
	}
	return d, nil
}

// verifyHMAC reports whether a possibly truncated HMAC matches one of the secrets.
// It always tries all secrets and compares in constant time.
func verifyHMAC(s Secrets, mac []byte, parts ...[]byte) bool {
	ok := false
	for _, secret := range s {
		if hmac.Equal(mac, computeHMAC(secret, parts...)[:len(mac)]) {
			ok = true
		}
	}
	return ok
}

// valid checks what the decoder does not: the lengths of names and addresses,
// the statuses, and the kind of message.
func (d *Datagram) valid() bool {
	self := &d.Message.Self
	if self.ObservedStatus != 0 || d.Header.Kind >= policy.SendKinds {
		return false
	}
	if !validRecord(self) {
		return false
	}
	for i := range d.Message.Records {
		if !validRecord(&d.Message.Records[i]) {
			return false
		}
	}
	for _, z := range d.Message.Zones {
		if !validName(z.Zone) {
			return false
		}
	}
	for _, digest := range d.Digests {
		if !validName(digest.Origin) || !validName(digest.Kind) {
			return false
		}
	}
	return true
}

func validRecord(r *policy.MemberRecord) bool {
	return validName(r.ID) && validName(r.Zone) && len(r.GossipAddress) <= MaxNameLength && len(r.PeerAddress) <= MaxNameLength &&
		r.Status >= policy.MemberStarting && r.Status <= policy.MemberGone && r.Status != policy.MemberSuspect &&
		(r.ObservedStatus == 0 || r.ObservedStatus == policy.MemberSuspect || r.ObservedStatus == policy.MemberGone)
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameLength }
