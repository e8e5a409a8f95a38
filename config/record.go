package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxRecordBytes is the largest record that the log service accepts.
const MaxRecordBytes = 256 << 10

// Bounds on the content of a record, which bound the memory of a decoder.
const (
	maxRecordItems = 1 << 16
	maxParts       = 1 << 10
	// partBytes leaves room in a record for the fields around the items of a part.
	partBytes = MaxRecordBytes - 4<<10
)

// Record is one record of the stream "config". Exactly one field is set.
type Record struct {
	Edit *Edit        `cbor:"1,keyasint,omitempty"`
	Part *RestatePart `cbor:"2,keyasint,omitempty"`
}

// RestatePart is a part of a Restatement that fits into one record.
type RestatePart struct {
	// ID is common to all parts of one restatement.
	ID      string      `cbor:"1,keyasint"`
	Part    int         `cbor:"2,keyasint"`
	Parts   int         `cbor:"3,keyasint"`
	Content Restatement `cbor:"4,keyasint"`
}

// Restatement is a snapshot of the state after all records up to an offset.
// Once it is on the log, a reader does not need those records any more.
type Restatement struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers   uint64    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	Sections []Section `cbor:"3,keyasint"`
	// Decided lists the remembered edits with their results, oldest first.
	Decided []DecidedEdit `cbor:"4,keyasint"`
}

var (
	recordEncoder = newRecordEncoder()
	recordDecoder = newRecordDecoder()
)

func newRecordEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic("config: " + err.Error())
	}
	return mode
}

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: maxRecordItems,
		MaxMapPairs:      maxRecordItems,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("config: " + err.Error())
	}
	return mode
}

// EncodeRecord encodes a record. It fails for one larger than MaxRecordBytes.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := recordEncoder.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "config record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("config record of %d bytes, the log takes %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord decodes a record and checks that it is well formed.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, errors.New("config record: too large")
	}
	if err := recordDecoder.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "config record")
	}
	switch {
	case (r.Edit == nil) == (r.Part == nil):
		return r, errors.New("config record: want either an edit or a part of a restatement")
	case r.Edit != nil && (r.Edit.ID == "" || r.Edit.Section == ""):
		return r, errors.New("config record: edit without ID or section")
	case r.Part != nil && !r.Part.wellFormed():
		return r, errors.New("config record: part of a restatement out of range")
	}
	return r, nil
}

func (p *RestatePart) wellFormed() bool {
	return p.ID != "" && p.Parts > 0 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts
}

// EncodeRestatement encodes a restatement as one message between instances.
func EncodeRestatement(r Restatement) ([]byte, error) {
	data, err := recordEncoder.Marshal(r)
	return data, errors.Wrap(err, "restatement")
}

// DecodeRestatement decodes a message of EncodeRestatement.
func DecodeRestatement(data []byte) (Restatement, error) {
	var r Restatement
	err := recordDecoder.Unmarshal(data, &r)
	return r, errors.Wrap(err, "restatement")
}

// Split divides a restatement into records that the log accepts. The ID marks
// them as parts of one restatement.
func (r Restatement) Split(id string) ([]Record, error) { return r.split(id, partBytes) }

func (r Restatement) split(id string, limit int) ([]Record, error) {
	s := splitter{restatement: r, id: id, limit: limit}
	s.nextPart()
	for _, section := range r.Sections {
		if err := s.makeRoom(section); err != nil {
			return nil, err
		}
		part := s.lastPart()
		part.Sections = append(part.Sections, section)
	}
	for _, d := range r.Decided {
		if err := s.makeRoom(d); err != nil {
			return nil, err
		}
		part := s.lastPart()
		part.Decided = append(part.Decided, d)
	}
	for _, rec := range s.records {
		rec.Part.Parts = len(s.records)
	}
	return s.records, nil
}

// splitter fills records with the items of a restatement, one after the other.
type splitter struct {
	restatement Restatement
	id          string
	records     []Record
	size        int
	limit       int
}

func (s *splitter) nextPart() {
	s.records = append(s.records, Record{Part: &RestatePart{
		ID: s.id, Part: len(s.records),
		Content: Restatement{Covers: s.restatement.Covers, Revision: s.restatement.Revision},
	}})
	s.size = 0
}

func (s *splitter) lastPart() *Restatement { return &s.records[len(s.records)-1].Part.Content }

// makeRoom starts another record if the last one has no room for an item.
func (s *splitter) makeRoom(item any) error {
	data, err := recordEncoder.Marshal(item)
	if err != nil {
		return errors.Wrap(err, "restatement")
	}
	if s.size > 0 && s.size+len(data) > s.limit {
		s.nextPart()
	}
	s.size += len(data)
	return nil
}
