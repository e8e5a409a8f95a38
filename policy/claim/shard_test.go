package claim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswers(t *testing.T) {
	Convey("Answers beyond the limit are evicted, oldest first, and restored from the log", t, func() {
		m := newModel()
		m.oracle.LimitAnswers(25)
		for i := range 3 {
			id, a := m.keyAt(m.now), m.number()
			m.keys = append(m.keys, id)
			m.land(Entry{Kind: KindClaim, ID: id, Attempt: a, Origin: &Origin{}},
				Entry{Kind: KindOutcome, ID: id, Attempt: a, Answer: &Answer{Body: make([]byte, 10+i)}})
		}
		find := func(i int) Slot { return m.oracle.Find(m.keys[i], Attempt{}, Hash{}).Slot }
		So(find(0).Evicted, ShouldBeTrue)
		So(find(0).Answer.Body, ShouldBeEmpty)
		So(find(2).Evicted, ShouldBeFalse)
		So(m.oracle.Restore(m.keys[0], m.records[1]), ShouldBeFalse)
		So(m.oracle.Restore(m.keys[0], m.records[find(0).Stored-1]), ShouldBeTrue)
		So(find(0).Answer.Body, ShouldHaveLength, 10)
		So(find(1).Evicted, ShouldBeTrue)
	})
}

func TestForeignRules(t *testing.T) {
	Convey("A record of other rules or another version closes the shard until it is out of sight", t, func() {
		for _, b := range []Batch{{Version: Version, Rules: 7}, {Version: Version + 1, Rules: modelRules.Fingerprint()}} {
			m := newModel()
			r := Record{Offset: 1, Time: m.now, Data: b.Encode()}
			_, err := m.oracle.Apply(r)
			So(err, ShouldEqual, ErrVersion)
			m.next, m.records = 2, []Record{r}
			claim := func() Verdict {
				a := &modelAttempt{id: m.number(), key: m.keyAt(m.now)}
				m.land(claimEntry(a))
				return m.oracle.Find(a.key, a.id, a.body).Verdict
			}
			So(claim(), ShouldEqual, Uncovered)
			m.now = m.now.Add(modelRules.Span())
			So(claim(), ShouldEqual, Uncovered)
			m.now = m.now.Add(1)
			So(claim(), ShouldEqual, Won)
		}
	})
}
