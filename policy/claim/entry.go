package claim

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ID names a request that may run at most once.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	// Key is the caller's idempotency key, a UUIDv7 in canonical form.
	Key string `cbor:"3,keyasint"`
}

// Attempt is the unique number of one try to claim a key.
type Attempt [16]byte

// String returns the attempt in the form of a UUID.
func (a Attempt) String() string { return uuid.UUID(a).String() }

// Hash is the hash of a request's body.
type Hash [32]byte

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entries.
const (
	// KindClaim asks for a key.
	KindClaim Kind = iota + 1
	// KindRelease gives an attempt's claim back: it sent nothing and never will.
	KindRelease
	// KindOutcome ends a claim with its answer.
	KindOutcome
	// KindDoubt says that the attempt may have run.
	KindDoubt
	// KindSettle is an operator's verdict on a claim in doubt.
	KindSettle
	// KindCarry restates an unfinished claim before the log drops its record.
	KindCarry
)

// Origin tells who claimed a key, and when.
type Origin struct {
	BodyHash Hash   `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"`
	Boot     string `cbor:"3,keyasint"`
	// ClaimedMS is set in carried entries: the log's time of the claim.
	ClaimedMS int64 `cbor:"4,keyasint,omitempty"`
	// AsOfMS is set in carried entries: the log's time of the newest record
	// that their writer had read.
	AsOfMS int64 `cbor:"5,keyasint,omitempty"`
}

// Answer is the answer that repeats get.
type Answer struct {
	ContentType string `cbor:"1,keyasint"`
	Body        []byte `cbor:"2,keyasint"`
	// Dropped is true if the answer was too large to be kept.
	Dropped bool `cbor:"3,keyasint,omitempty"`
}

// Settlement is an operator's verdict.
type Settlement struct {
	Ran      bool   `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
}

// Entry is one statement on the log about a key.
type Entry struct {
	Kind    Kind    `cbor:"1,keyasint"`
	ID      ID      `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Origin belongs to claims and carried claims.
	Origin *Origin `cbor:"4,keyasint,omitempty"`
	// Answer belongs to outcomes.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Why belongs to doubts and carried claims in doubt.
	Why string `cbor:"6,keyasint,omitempty"`
	// Settlement belongs to settlements.
	Settlement *Settlement `cbor:"7,keyasint,omitempty"`
}

// Check reports what an entry lacks.
func (e Entry) Check() error {
	switch {
	case e.Kind < KindClaim || e.Kind > KindCarry:
		return errors.Errorf("unknown kind %d", e.Kind)
	case (e.Kind == KindClaim || e.Kind == KindCarry) && e.Origin == nil:
		return errors.New("claim without its origin")
	case e.Kind == KindOutcome && e.Answer == nil:
		return errors.New("outcome without an answer")
	case e.Kind == KindSettle && e.Settlement == nil:
		return errors.New("settlement without a verdict")
	}
	return nil
}

// ErrKey says that an idempotency key does not carry its time.
var ErrKey = errors.New("the idempotency key is no UUIDv7")

// canonicalLength is the length of a UUID's canonical form.
const canonicalLength = 36

// ParseKey returns a key in canonical form and the time that it carries.
func ParseKey(key string) (string, time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != canonicalLength {
		return "", time.Time{}, ErrKey
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return id.String(), time.UnixMilli(ms), nil
}
