package body

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/policy"
)

// newBudget returns a budget without shares.
func newBudget(limit int64) *membudget.Budget {
	return membudget.New(policy.MemoryShares{Limit: limit, GroupFactor: 1000, MemberFactor: 1000}, nil)
}

func TestBody(t *testing.T) {
	for _, size := range []int{0, 1, 100, smallBlockBytes - 1, smallBlockBytes, smallBlockBytes + 1, largeBlockBytes, smallBlockBytes + largeBlockBytes, 100_000} {
		text := strings.Repeat("a body ", size/7+1)[:size]
		for name, known := range map[string]bool{"with its length": true, "without": false} {
			Convey("A body is read whole, "+name, t, func() {
				budget := newBudget(1 << 20)
				hold := budget.Open("a", "a")
				length := int64(-1)
				if known {
					length = int64(size)
				}
				b := New()
				So(b.Fill(iotest.HalfReader(strings.NewReader(text)), hold, length, int64(size)), ShouldEqual, io.EOF)
				So(b.Size(), ShouldEqual, size)
				So(b.Counted(), ShouldEqual, budget.Bytes())
				So(budget.Bytes(), ShouldBeBetweenOrEqual, size, size+largeBlockBytes)
				So(string(b.Join()), ShouldEqual, text)
				var out bytes.Buffer
				n, err := b.WriteTo(&out)
				So(err, ShouldBeNil)
				So(n, ShouldEqual, size)
				So(out.String(), ShouldEqual, text)
				b.Free(hold.Close)
				So(budget.Bytes(), ShouldEqual, 0)
			})
		}
	}
	for _, k := range []struct {
		name          string
		length, limit int64
		want          error
	}{
		{"A body that ends early is not complete", 11, 100, io.ErrUnexpectedEOF},
		{"A body beyond its limit is too large", -1, 9, ErrTooLarge},
		{"A body that does not fit has to end", -1, 1 << 30, membudget.ErrNoMemory},
	} {
		Convey(k.name, t, func() {
			source := io.Reader(strings.NewReader("ten bytes."))
			if k.want == membudget.ErrNoMemory {
				source = strings.NewReader(strings.Repeat("x", 100_000))
			}
			So(New().Fill(source, newBudget(64<<10).Open("a", "a"), k.length, k.limit), ShouldEqual, k.want)
		})
	}
	Convey("The blocks of a body that is still sent are not used for another one", t, func() {
		budget := newBudget(1 << 20)
		hold := budget.Open("a", "a")
		b := New()
		So(b.Fill(strings.NewReader(strings.Repeat("x", 50_000)), hold, -1, 1<<20), ShouldEqual, io.EOF)
		release := b.Keep()
		b.Free(hold.Close)
		So(budget.Bytes(), ShouldBeGreaterThanOrEqualTo, 50_000)
		So(string(b.Join()), ShouldEqual, strings.Repeat("x", 50_000))
		release()
		So(budget.Bytes(), ShouldEqual, 0)
	})
}
