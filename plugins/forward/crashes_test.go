package forward

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/body"
	"github.com/savoryfold/savoryfold/platform"
)

// bodyOf returns a body that is not counted.
func bodyOf(text string) *body.Body {
	b := body.New()
	_ = b.Fill(strings.NewReader(text), nil, -1, int64(len(text))) // ends with io.EOF
	return b
}

// TestFingerprint guards against repeats of a request that are not recognized, and
// against other requests that are taken for repeats.
func TestFingerprint(t *testing.T) {
	newRequest := func(change func(r *request)) uint64 {
		r := &request{
			call:   platform.Call{ID: "a", Model: "m", Parts: []platform.PromptPart{{ID: 1, Tokens: 5}}, Pieces: []int{2, 0}, PieceKey: "k"},
			caller: "choir", host: "rota.example", route: &catalog.Route{Name: "r"}, method: "POST", uri: "/a?b", body: bodyOf("body"),
		}
		change(r)
		return fingerprint(r)
	}
	base := newRequest(func(*request) {})
	Convey("A repeat has the same fingerprint", t, func() {
		for _, change := range []func(r *request){
			func(r *request) { r.call.ID = "b" },
			func(r *request) { r.call.Timeout = time.Second },
			func(r *request) { r.call.LastEvent = "3" },
			func(r *request) { r.route = &catalog.Route{Name: "s", Public: true} },
			func(r *request) { r.service = &catalog.Service{Name: "moved"} },
			func(r *request) { r.host = "ROTA.example:8080" },
			func(r *request) { r.versionDraw, r.began = 0.5, time.Now() },
		} {
			So(newRequest(change), ShouldEqual, base)
		}
	})
	Convey("Another request has another one", t, func() {
		for _, change := range []func(r *request){
			func(r *request) { r.caller = "band" },
			func(r *request) { r.host = "hall.example" },
			func(r *request) { r.method = "PUT" },
			func(r *request) { r.uri = "/a?c" },
			func(r *request) { r.body = bodyOf("bodies") },
			func(r *request) { r.body = nil },
			func(r *request) { r.call.Model = "n" },
			func(r *request) { r.call.Model, r.call.PieceKey = "mk", "" },
			func(r *request) { r.call.Parts = []platform.PromptPart{{ID: 2, Tokens: 5}} },
			func(r *request) { r.call.Pieces = []int{2, 1} },
			func(r *request) { r.call.PieceKey = "l" },
		} {
			So(newRequest(change), ShouldNotEqual, base)
		}
	})
}
