package claims

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/policy/claim"
)

// FuzzCalls checks that calls of other instances are either refused or valid, and
// that a decoded appendCall encodes to an equal one.
func FuzzCalls(f *testing.F) {
	const shards = 16
	id := idOf("01935a2e-7d1c-7cc0-8000-000000000001")
	for _, call := range []any{
		appendCall{Shard: 3, Entries: []claim.Entry{{Kind: claim.KindRelease, ID: id}}},
		readCall{Shard: 3, ID: id, WaitMS: 100},
	} {
		data, err := cbor.Marshal(call)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := decodeAppend(data, shards); err == nil {
			again, err := cbor.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			if d, err := decodeAppend(again, shards); err != nil || !reflect.DeepEqual(c, d) {
				t.Fatalf("decoded %v, then %v: %v", c, d, err)
			}
		}
		if c, err := decodeRead(data, shards); err == nil && (c.Shard >= shards || c.WaitMS < 0) {
			t.Fatalf("accepted %v", c)
		}
	})
}
