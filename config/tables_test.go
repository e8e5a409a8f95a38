package config

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const goodTables = `[route answer]
stages = encode, generate
encode.pool = encoders
generate.pool = engines

[pool encoders]
server.e1 = zone=hobart addr=127.0.0.1:9001

[pool engines]
server.g1 = zone=hobart addr=127.0.0.1:9002 version=v1
`

func TestParseTables(t *testing.T) {
	Convey("Valid tables compile", t, func() {
		tables, err := ParseTables("t.ini", []byte(goodTables))
		So(err, ShouldBeNil)
		So(tables.Routes["answer"].Stages, ShouldHaveLength, 2)
		So(tables.Pools["engines"].Servers[0].Version, ShouldEqual, "v1")
		Convey("and their text compiles to the same sections", func() {
			again, err := ParseTables("t.ini", []byte(tables.Text()))
			So(err, ShouldBeNil)
			So(again.Sections, ShouldResemble, tables.Sections)
		})
	})
	Convey("All faults are reported at once with their lines", t, func() {
		text := "[route answer]\nstages = encode\nencode.pool = nowhere\ndeadline = soon\ncolour = red\n" +
			"[pool p]\nserver.a = zone=hobart addr=nowhere\n[shelf x]\nkey = 1\n"
		_, err := ParseTables("t.ini", []byte(text))
		var faults Faults
		So(errors.As(err, &faults), ShouldBeTrue)
		for _, want := range []string{"t.ini:3: [route answer] encode.pool", "t.ini:4: [route answer] deadline", "t.ini:5: [route answer] colour: unknown key", "t.ini:7: [pool p] server.a", "t.ini:8: [shelf x]"} {
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

func TestApply(t *testing.T) {
	put := func(id, section, body string, base uint64) Edit {
		return Edit{ID: id, Operator: "alice", Section: section, Body: body, Base: base}
	}
	Convey("Given an accepted pool", t, func() {
		tables, result := Apply(Empty(), put("1", "pool p", "limit = 4\n", 0), 7)
		So(result.Status, ShouldEqual, EditAccepted)
		So(tables.Revision, ShouldEqual, 7)
		Convey("an edit on an older revision is superseded", func() {
			same, result := Apply(tables, put("2", "pool p", "limit = 5\n", 0), 8)
			So(result.Status, ShouldEqual, EditSuperseded)
			So(result.Revision, ShouldEqual, 7)
			So(same, ShouldEqual, tables)
		})
		Convey("an edit that breaks a reference is invalid", func() {
			_, result := Apply(tables, put("3", "route r", "stages = a\na.pool = q\n", 0), 8)
			So(result.Status, ShouldEqual, EditInvalid)
		})
		Convey("a body cannot add or absorb another section", func() {
			for _, body := range []string{"limit = 4\n[zone x]\nstate = out\n", "limit = \"\"\"\n", "limit = 4 \\"} {
				_, result := Apply(tables, put("4", "pool a", body, 0), 8)
				So(result.Status, ShouldEqual, EditInvalid)
			}
			for _, heading := range []string{"[pool p] ;", "[pool p] # x", "[pool p]]", "[[pool p]", "[pool  p]", "[ pool p ]", "[pool p]\t;]"} {
				next, result := Apply(tables, put("6", "route r", "stages = a\na.pool = p\n"+heading+"\nlimit = 9\n", 0), 8)
				So(result.Status, ShouldEqual, EditInvalid)
				So(next.Pools["p"].Limit, ShouldEqual, 4)
			}
			_, result := Apply(tables, put("5", "pool a]\n[zone x", "state = out\n", 0), 8)
			So(result.Status, ShouldEqual, EditInvalid)
		})
	})
}

func TestSchema(t *testing.T) {
	s := &Schema{}
	s.Add(
		Key{Section: "entry", Name: "listen", Kind: Address, Required: true},
		Key{Section: "entry", Name: "mode", Kind: Enum, Accepted: []string{"a", "b"}, Default: "a"},
		Key{Section: "operator *", Name: "token", Secret: true},
	)
	Convey("Unknown and invalid settings are rejected with file, section, key and accepted values", t, func() {
		_, err := s.Load("d.ini", []byte("[entry]\nmode = c\nspeed = 1\n[other]\nx = 1\n"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, `d.ini:2: [entry] mode: "c" is not accepted, want one of a, b`)
		So(err.Error(), ShouldContainSubstring, "d.ini:3: [entry] speed: unknown key")
		So(err.Error(), ShouldContainSubstring, "d.ini:4: [other]: unknown section")
		So(err.Error(), ShouldContainSubstring, "[entry] listen: is required")
	})
	Convey("A dump contains no secrets", t, func() {
		set, err := s.Load("d.ini", []byte("[entry]\nlisten = 127.0.0.1:1\n[operator alice]\ntoken = hunter2\n"))
		So(err, ShouldBeNil)
		So(set.Names("operator"), ShouldResemble, []string{"alice"})
		for _, v := range set.Dump() {
			So(strings.Contains(v.Value, "hunter2"), ShouldBeFalse)
		}
	})
}
