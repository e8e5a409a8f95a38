package admin

import (
	"fmt"
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
)

// maxRecordDepth is the deepest nesting of a record that is decoded.
const maxRecordDepth = 16

// editRecord and restateRecord are the JSON forms of records of the stream
// "config".
type editRecord struct {
	Edit *config.Edit `json:"edit"`
}

type restateRecord struct {
	Restatement string   `json:"restatement"`
	Part        int      `json:"part"`
	Parts       int      `json:"parts"`
	Covers      uint64   `json:"covers"`
	Revision    uint64   `json:"revision"`
	Sections    []string `json:"sections"`
	Decided     int      `json:"decided"`
}

// decodeRecord decodes a record to a value that encodes to JSON.
func decodeRecord(stream string, data []byte) (any, error) {
	if stream != "config" {
		return decodeAny(data)
	}
	r, err := config.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	if r.Edit != nil {
		return editRecord{r.Edit}, nil
	}
	p := r.Part
	out := restateRecord{
		Restatement: p.ID, Part: p.Part, Parts: p.Parts,
		Covers: p.Content.Covers, Revision: p.Content.Revision, Decided: len(p.Content.Decided),
	}
	for _, s := range p.Content.Sections {
		out.Sections = append(out.Sections, s.Name)
	}
	return out, nil
}

var anyDecoder = newAnyDecoder()

func newAnyDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: maxRecordDepth, DefaultMapType: reflect.TypeFor[map[any]any]()}.DecMode()
	if err != nil {
		panic("admin: " + err.Error())
	}
	return mode
}

func decodeAny(data []byte) (any, error) {
	var v any
	if err := anyDecoder.Unmarshal(data, &v); err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return jsonValue(v), nil
}

// jsonValue converts a decoded CBOR value to one that encodes to JSON. Byte
// strings are replaced by their length.
func jsonValue(v any) any {
	switch v := v.(type) {
	case []byte:
		return fmt.Sprintf("(%d bytes)", len(v))
	case cbor.ByteString:
		return fmt.Sprintf("(%d bytes)", len(v))
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = jsonValue(v[i])
		}
		return out
	case map[any]any:
		out := make(map[string]any, len(v))
		for k, e := range v {
			out[fmt.Sprint(jsonValue(k))] = jsonValue(e)
		}
		return out
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Sprint(v)
		}
		return v
	case string, bool, nil, uint64, int64:
		return v
	}
	return fmt.Sprint(v)
}
