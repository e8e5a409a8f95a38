package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A burst of requests with large results: those of requests with a second, longer path of
// stages lie at the servers for a second, and the servers' calls get small for want of
// memory.
func TestDeferStage(t *testing.T) {
	large := func(own int) ReadyStage { return ReadyStage{Own: ms(own), Bytes: 3 << 20} }
	path := func(own, rest int) ReadyStage { return ReadyStage{Own: ms(own), Rest: ms(rest), Bytes: 8 << 10} }
	for _, c := range []struct {
		name   string
		stage  ReadyStage
		others []ReadyStage
		want   bool
	}{
		{"it waits while two stages follow the running one of the other path", large(300), []ReadyStage{path(280, 640)}, true},
		{"it starts with the last stage of the other path", large(300), []ReadyStage{path(310, 0)}, false},
		{"it starts earlier if its queue is long", large(700), []ReadyStage{path(280, 640)}, false},
		{"the longer path never waits", path(280, 640), []ReadyStage{large(300)}, false},
		{"small results may wait at their server", ReadyStage{Own: ms(300), Bytes: 8 << 10}, []ReadyStage{path(280, 640)}, false},
		{"an only stage starts", large(300), nil, false},
	} {
		Convey(c.name, t, func() { So(DeferStage(c.stage, c.others), ShouldEqual, c.want) })
	}
}
