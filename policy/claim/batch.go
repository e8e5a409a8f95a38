package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the version of the records that this package writes.
const Version = 1

// Bounds of a record.
const (
	MaxEntries  = 4096
	maxElements = 8192
	maxNested   = 8
)

// Errors of decoding.
var (
	// ErrVersion says that a record was written by rules that are not known here.
	ErrVersion = errors.New("record of another version")
	// ErrRecord says that a record is no batch of entries.
	ErrRecord = errors.New("record is no batch of claim entries")
)

// Rules are the numbers that the verdicts depend on. They are the same on all
// instances; records of other rules close a shard until they are out of sight.
type Rules struct {
	// Shards is the number of streams.
	Shards int
	// Window is the age up to which a key may be claimed.
	Window time.Duration
	// Skew is how far a key's time may be ahead of the log's.
	Skew time.Duration
}

// Span is the longest time between two claims of one key that may both be
// accepted.
func (r Rules) Span() time.Duration { return r.Window + r.Skew }

// Fingerprint identifies the rules.
func (r Rules) Fingerprint() uint64 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], uint64(r.Shards))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Window))
	binary.BigEndian.PutUint64(b[16:], uint64(r.Skew))
	return xxhash.Sum64(b[:])
}

// ShardOf returns the shard of a request.
func (r Rules) ShardOf(id ID) int {
	return int(xxhash.Sum64String(id.Account+"\x00"+id.Route+"\x00"+id.Key) % uint64(r.Shards))
}

// Batch is one record.
type Batch struct {
	Version int `cbor:"1,keyasint"`
	// ID is unique, so that a writer whose answer was lost finds its record.
	ID Attempt `cbor:"2,keyasint"`
	// Rules is the fingerprint of the writer's rules.
	Rules   uint64  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNested,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("claim: " + err.Error())
	}
	return mode
}()

// Unmarshal reads CBOR under the bounds that hold for records.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }

// Encode returns the record of a batch.
func (b Batch) Encode() []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		panic("claim: " + err.Error())
	}
	return data
}

// Decode reads a record.
func Decode(data []byte) (Batch, error) {
	var head struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := decoding.Unmarshal(data, &head); err != nil {
		return Batch{}, errors.Wrap(ErrRecord, err.Error())
	}
	if head.Version != Version {
		return Batch{}, ErrVersion
	}
	var b Batch
	if err := decoding.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(ErrRecord, err.Error())
	}
	if len(b.Entries) > MaxEntries {
		return Batch{}, errors.Wrap(ErrRecord, "too many entries")
	}
	for i, e := range b.Entries {
		if err := e.Check(); err != nil {
			return Batch{}, errors.Wrapf(ErrRecord, "entry %d: %v", i, err)
		}
	}
	return b, nil
}
