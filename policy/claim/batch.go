package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the record format version that this package writes.
const Version = 1

// Limits of a record.
const (
	MaxEntries      = 4096
	maxElements     = 8192
	maxNestedLevels = 8
)

// Errors of Decode and Shard.Apply.
var (
	// ErrVersion is returned for a record of an unknown format version or one
	// written under other Rules.
	ErrVersion = errors.New("record written with another version or other rules")
	// ErrInvalidRecord is returned for a record that does not decode to a valid Batch.
	ErrInvalidRecord = errors.New("record is not a valid batch of claim entries")
)

// Rules are the settings that the verdicts depend on. They must be the same on
// all instances: a shard grants no claim within Span after a record written
// under other rules.
type Rules struct {
	// Shards is the number of log streams.
	Shards int
	// Window is the maximum age of a key that may be claimed.
	Window time.Duration
	// Skew is how far a key's time may be ahead of the log time.
	Skew time.Duration
}

// Span returns the longest time between two claims of one key that can both be
// accepted.
func (r Rules) Span() time.Duration { return r.Window + r.Skew }

// Fingerprint returns a hash of the rules.
func (r Rules) Fingerprint() uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], uint64(r.Shards))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Window))
	binary.BigEndian.PutUint64(b[16:], uint64(r.Skew))
	return xxhash.Sum64(b[:])
}

// ShardOf returns the shard that a request belongs to.
func (r Rules) ShardOf(id ID) int {
	return int(xxhash.Sum64String(id.Account+"\x00"+id.Route+"\x00"+id.Key) % uint64(r.Shards))
}

// Batch is one record.
type Batch struct {
	Version int `cbor:"1,keyasint"`
	// ID is unique, so that a writer that did not get the append response can
	// recognize its record when it reads the log.
	ID Attempt `cbor:"2,keyasint"`
	// Rules is the fingerprint of the writer's Rules.
	Rules   uint64  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
	// Era is the era of the log that the writer knew, or 0 if the log states none.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// firstEra is the era of a log that was never restored from an older copy.
const firstEra = 1

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("claim: " + err.Error())
	}
	return mode
}()

// Unmarshal decodes CBOR within the limits that apply to records.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// Encode returns the batch in the format of a log record.
func (b Batch) Encode() []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		panic("claim: " + err.Error())
	}
	return data
}

// Decode decodes a log record and validates its entries.
func Decode(data []byte) (Batch, error) {
	var head struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := decMode.Unmarshal(data, &head); err != nil {
		return Batch{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if head.Version != Version {
		return Batch{}, ErrVersion
	}
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if len(b.Entries) > MaxEntries {
		return Batch{}, errors.Wrap(ErrInvalidRecord, "too many entries")
	}
	for i, e := range b.Entries {
		if err := e.Validate(); err != nil {
			return Batch{}, errors.Wrapf(ErrInvalidRecord, "entry %d: %v", i, err)
		}
	}
	return b, nil
}
