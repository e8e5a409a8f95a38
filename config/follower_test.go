package config

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/savoryfold/savoryfold/test/rapidseed" // fixed seed for property tests
)

// history is a stream "config" as written by operators and instances, with the
// state after each record.
type history struct {
	records []StreamRecord // offset i+1 at index i
	states  []*State       // after offset i at index i
	// restated maps the offset that completes a restatement to the offset that the
	// restatement covers.
	restated map[uint64]uint64
	pending  []Record // parts of a restatement that are not appended yet
	covers   uint64
	follower *Follower
}

func newHistory() *history {
	f := NewFollower()
	f.Consume(1, nil)
	return &history{states: []*State{NewState()}, restated: make(map[uint64]uint64), follower: f}
}

func (h *history) append(t *rapid.T, r Record) {
	data, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	h.appendRaw(t, data)
}

func (h *history) appendRaw(t *rapid.T, data []byte) {
	rec := StreamRecord{Offset: uint64(len(h.records) + 1), Data: data}
	h.records = append(h.records, rec)
	for _, effect := range h.follower.Consume(1, []StreamRecord{rec}) {
		if effect.Restated > 0 {
			h.restated[effect.Offset] = effect.Restated
		}
	}
	h.states = append(h.states, h.follower.State())
}

func (h *history) edit(t *rapid.T) {
	section := rapid.SampledFrom([]string{"pool a", "pool b", "zone x", "route r", "shelf s"}).Draw(t, "section")
	body := map[string]string{"pool a": "limit = %d\n", "pool b": "limit = %d\n", "zone x": "state = out\n# %d\n", "route r": "stages = s\ns.pool = a\npriority = %d\n", "shelf s": "%d\n"}[section]
	current := h.states[len(h.states)-1].Tables.Sections[section].Revision
	h.append(t, Record{Edit: &Edit{
		ID:       fmt.Sprint("edit", rapid.IntRange(0, 60).Draw(t, "id")),
		Operator: rapid.SampledFrom([]string{"alice", "bob"}).Draw(t, "operator"),
		Section:  section, Body: fmt.Sprintf(body, rapid.IntRange(1, 9).Draw(t, "value")),
		Delete: rapid.IntRange(0, 5).Draw(t, "delete") == 0,
		Base:   rapid.SampledFrom([]uint64{current, current, current, 0, 1}).Draw(t, "base"),
	}})
}

// restate splits the state of an instance into parts. The instance may lag.
func (h *history) restate(t *rapid.T) {
	lag := rapid.IntRange(0, min(5, len(h.states)-1)).Draw(t, "lag")
	restatement := h.states[len(h.states)-1-lag].Restate()
	parts, err := restatement.split(fmt.Sprint("restatement", len(h.records)), 200)
	if err != nil {
		t.Fatal(err)
	}
	h.pending, h.covers = append(h.pending, parts...), restatement.Covers
}

func drawHistory(t *rapid.T) *history {
	h := newHistory()
	for range rapid.IntRange(1, 60).Draw(t, "records") {
		switch k := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case k == 0:
			h.appendRaw(t, []byte{0xff, 1})
		case k <= 2 && len(h.pending) == 0:
			h.restate(t)
		case k <= 6 && len(h.pending) > 0:
			h.append(t, h.pending[0])
			h.pending = h.pending[1:]
		default:
			h.edit(t)
		}
	}
	return h
}

// recoverable reports whether a reader that missed the records before first and
// has read up to end can recover from a restatement.
func (h *history) recoverable(first, end uint64) bool {
	for at, covers := range h.restated {
		if covers+1 >= first && at <= end {
			return true
		}
	}
	return false
}

func TestFollowerMatchesCompleteLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		end := uint64(len(h.records))
		f := NewFollower()
		first, revision, missed := uint64(1), uint64(0), false
		for f.Next() <= end {
			// The log may drop records at any time, also ones not read yet.
			first = max(first, uint64(rapid.IntRange(1, int(end)).Draw(t, "first")))
			if rapid.Bool().Draw(t, "no retention") {
				first = min(first, f.Next())
			}
			missed = missed || first > f.Next()
			from := max(first, f.Next())
			to := uint64(rapid.IntRange(int(from), int(end)).Draw(t, "to"))
			f.Consume(first, h.records[from-1:to])
			if f.State() == nil {
				continue
			}
			if f.State().Tables.Revision < revision {
				t.Fatal("the revision decreased")
			}
			revision = f.State().Tables.Revision
			if want := h.states[f.State().Offset]; f.State().Restate().Digest() != want.Restate().Digest() {
				t.Fatalf("at offset %d the state differs from that of a reader of the complete log", want.Offset)
			}
			if !f.Gathering() && f.State().Offset != to {
				t.Fatalf("state at %d after reading to %d", f.State().Offset, to)
			}
		}
		if f.Gathering() && h.recoverable(f.gatheredFrom, end) {
			t.Fatal("a complete restatement was available but not used")
		}
		if !missed && f.Gathering() {
			t.Fatal("gathering without a gap")
		}
		peer := h.states[rapid.IntRange(0, int(end)).Draw(t, "peer")]
		if adopted, err := f.Adopt(peer.Restate()); err != nil || (adopted && f.State().Offset < peer.Offset) {
			t.Fatal("adopting a peer's state", err)
		}
		if want := h.states[f.State().Offset]; f.State().Restate().Digest() != want.Restate().Digest() {
			t.Fatal("after adopting a peer's state the state differs")
		}
	})
}

func TestApplyEdit(t *testing.T) {
	Convey("Given a section that alice set", t, func() {
		first := Edit{ID: "1", Operator: "alice", Section: "zone x", Body: "state = in\n"}
		s, result := NewState().ApplyEdit(first, 1)
		So(result.Status, ShouldEqual, EditAccepted)
		Convey("bob's concurrent edit is superseded, and the result names alice", func() {
			_, result := s.ApplyEdit(Edit{ID: "2", Operator: "bob", Section: "zone x", Body: "state = out\n"}, 2)
			So(result, ShouldResemble, EditResult{Status: EditSuperseded, Revision: 1, By: "alice"})
		})
		Convey("a retry of the edit has the same result and no effect, also after a restatement", func() {
			restated, err := s.Restate().State()
			So(err, ShouldBeNil)
			next, result := restated.ApplyEdit(first, 2)
			So(result, ShouldResemble, EditResult{Status: EditAccepted, Revision: 1})
			So(next.Tables.Revision, ShouldEqual, 1)
		})
		Convey("another edit with the same ID is invalid", func() {
			other := first
			other.Body = "state = out\n"
			_, result := s.ApplyEdit(other, 2)
			So(result.Status, ShouldEqual, EditInvalid)
		})
		Convey("the number of remembered edits is bounded", func() {
			for i := range uint64(maxDecided + 10) {
				s, _ = s.ApplyEdit(Edit{ID: fmt.Sprint("e", i), Section: "shelf"}, i+2)
			}
			So(s.Decided, ShouldHaveLength, maxDecided)
		})
	})
	Convey("A restatement that contradicts its records is reported and ignored", t, func() {
		h := newHistory()
		parts, err := Restatement{Covers: 0, Sections: []Section{{Name: "zone x"}}}.Split("lie")
		So(err, ShouldBeNil)
		data, err := EncodeRecord(parts[0])
		So(err, ShouldBeNil)
		h.follower.recordDigest()
		effects := h.follower.Consume(1, []StreamRecord{{Offset: 1, Data: data}})
		So(effects[0].Problem, ShouldNotBeEmpty)
		So(h.follower.State().Tables.Sections, ShouldBeEmpty)
	})
	Convey("A restatement that covers records after itself is ignored", t, func() {
		parts, err := Restatement{Covers: 90, Sections: []Section{}}.Split("early")
		So(err, ShouldBeNil)
		data, err := EncodeRecord(parts[0])
		So(err, ShouldBeNil)
		f := NewFollower()
		f.Consume(9, []StreamRecord{{Offset: 9, Data: data}})
		So(f.State(), ShouldBeNil)
		So(f.Gathering(), ShouldBeTrue)
	})
	Convey("Tables of the planned size are split into parts that fit in records", t, func() {
		var r Restatement
		for i := range 640 {
			r.Sections = append(r.Sections, Section{Name: fmt.Sprint("route r", i), Body: string(make([]byte, 2000)), Revision: 1})
		}
		parts, err := r.Split("large")
		So(err, ShouldBeNil)
		So(len(parts), ShouldBeGreaterThan, 1)
		for _, p := range parts {
			_, err := EncodeRecord(p)
			So(err, ShouldBeNil)
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []Record{
		{Edit: &Edit{ID: "1", Operator: "alice", Section: "zone x", Body: "state = out\n"}},
		{Part: &RestatePart{ID: "r", Parts: 1, Content: Restatement{Covers: 4, Revision: 3, Sections: []Section{{Name: "zone x", Revision: 3}}}}},
	} {
		data, err := EncodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		if _, err := EncodeRecord(r); err != nil {
			t.Fatal(err)
		}
		follower := NewFollower()
		follower.Consume(1, []StreamRecord{{Offset: 1, Data: data}})
		follower = NewFollower()
		follower.Consume(9, []StreamRecord{{Offset: 9, Data: data}})
	})
}

func FuzzParseTables(f *testing.F) {
	f.Add([]byte(goodTables))
	f.Add([]byte("[zone x]\nstate = out\n[account a]\nkey_sha256 = 00\nweight = NaN\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tables, err := ParseTables("t.ini", text)
		if err != nil {
			return
		}
		if _, err := Compile(tables.Sections, 1); err != nil {
			t.Fatalf("tables valid as a file are invalid as sections: %v", err)
		}
	})
}
