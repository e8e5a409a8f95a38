package claim

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ID identifies a request that may run at most once.
type ID struct {
	Account string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	// Key is the caller's idempotency key, a UUIDv7 in canonical form.
	Key string `cbor:"3,keyasint"`
}

// Attempt is the unique ID of one attempt to claim a key.
type Attempt [16]byte

// String returns the attempt ID formatted as a UUID.
func (a Attempt) String() string { return uuid.UUID(a).String() }

// Hash is the SHA-256 hash of a request's body.
type Hash [32]byte

// Kind is the type of an entry.
type Kind uint8

// The kinds of entries.
const (
	// KindClaim requests the key for an attempt.
	KindClaim Kind = iota + 1
	// KindRelease frees the key: the attempt has sent nothing and never will.
	KindRelease
	// KindOutcome ends a claim with the answer to the request.
	KindOutcome
	// KindDoubt records that the request may have run.
	KindDoubt
	// KindSettle ends an unfinished claim with an operator's decision.
	KindSettle
	// KindRestate restates an unfinished claim before log retention drops its record.
	KindRestate
)

// Origin describes which process claimed a key, and when.
type Origin struct {
	BodyHash Hash   `cbor:"1,keyasint"`
	Holder   string `cbor:"2,keyasint"` // instance ID
	Boot     string `cbor:"3,keyasint"` // boot ID of the process
	// ClaimedMS is the log time of the claim in Unix milliseconds. Only
	// restatements have it.
	ClaimedMS int64 `cbor:"4,keyasint,omitempty"`
	// ReadUpToMS is the log time of the newest record that the writer of a
	// restatement had read, in Unix milliseconds. Only restatements have it.
	ReadUpToMS int64 `cbor:"5,keyasint,omitempty"`
}

// Answer is the answer to a request, stored for retries with the same key.
type Answer struct {
	ContentType string `cbor:"1,keyasint"`
	Body        []byte `cbor:"2,keyasint"`
	// Dropped is true if the answer exceeded the size limit and was not stored.
	Dropped bool `cbor:"3,keyasint,omitempty"`
}

// Settlement is an operator's decision on whether an unfinished request ran.
type Settlement struct {
	Ran      bool   `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint"`
}

// Entry is one operation on a key, stored in the log.
type Entry struct {
	Kind    Kind    `cbor:"1,keyasint"`
	ID      ID      `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Origin is set in claims and restatements.
	Origin *Origin `cbor:"4,keyasint,omitempty"`
	// Answer is set in outcomes.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Why is set in doubts and in restatements of claims in doubt.
	Why string `cbor:"6,keyasint,omitempty"`
	// Settlement is set in settlements.
	Settlement *Settlement `cbor:"7,keyasint,omitempty"`
}

// Validate returns an error if the kind is unknown or a part that the kind
// requires is missing.
func (e Entry) Validate() error {
	switch {
	case e.Kind < KindClaim || e.Kind > KindRestate:
		return errors.Errorf("unknown kind %d", e.Kind)
	case (e.Kind == KindClaim || e.Kind == KindRestate) && e.Origin == nil:
		return errors.New("claim without its origin")
	case e.Kind == KindOutcome && e.Answer == nil:
		return errors.New("outcome without an answer")
	case e.Kind == KindSettle && e.Settlement == nil:
		return errors.New("settlement without a verdict")
	}
	return nil
}

// ErrInvalidKey is returned for an idempotency key that is not a UUIDv7, whose
// timestamp the window is checked against.
var ErrInvalidKey = errors.New("the idempotency key is not a UUIDv7 in canonical form")

// canonicalLength is the length of the canonical form of a UUID. uuid.Parse also
// accepts longer and shorter forms.
const canonicalLength = 36

// ParseKey returns the canonical form of a key and the timestamp in it. The error
// is ErrInvalidKey.
func ParseKey(key string) (string, time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != canonicalLength {
		return "", time.Time{}, ErrInvalidKey
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return id.String(), time.UnixMilli(ms), nil
}
