package claim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswers(t *testing.T) {
	Convey("Answers beyond the limit are evicted, oldest first, and restored from the log", t, func() {
		m := newModel()
		m.reference.LimitAnswerBytes(25)
		for i := range 3 {
			id, a := m.keyAt(m.now), m.nextID()
			m.keys = append(m.keys, id)
			m.appendRecord(Entry{Kind: KindClaim, ID: id, Attempt: a, Origin: &Origin{}},
				Entry{Kind: KindOutcome, ID: id, Attempt: a, Answer: &Answer{Body: make([]byte, 10+i)}})
		}
		find := func(i int) Slot { return m.reference.Find(m.keys[i], Attempt{}, Hash{}).Slot }
		So(find(0).Evicted, ShouldBeTrue)
		So(find(0).Answer.Body, ShouldBeEmpty)
		So(find(2).Evicted, ShouldBeFalse)
		So(m.reference.RestoreAnswer(m.keys[0], m.records[1]), ShouldBeFalse)
		So(m.reference.RestoreAnswer(m.keys[0], m.records[find(0).AnswerOffset-1]), ShouldBeTrue)
		So(find(0).Answer.Body, ShouldHaveLength, 10)
		So(find(1).Evicted, ShouldBeTrue)
	})
}

func TestIncompatibleRules(t *testing.T) {
	Convey("A record written under other rules or by another version prevents claims until it is older than the span", t, func() {
		for _, b := range []Batch{{Version: Version, Rules: 7}, {Version: Version + 1, Rules: modelRules.Fingerprint()}} {
			m := newModel()
			r := Record{Offset: 1, Time: m.now, Data: b.Encode()}
			_, err := m.reference.Apply(r)
			So(err, ShouldEqual, ErrVersion)
			m.next, m.records = 2, []Record{r}
			claim := func() Verdict {
				a := &modelAttempt{id: m.nextID(), key: m.keyAt(m.now)}
				m.appendRecord(claimEntry(a))
				return m.reference.Find(a.key, a.id, a.body).Verdict
			}
			So(claim(), ShouldEqual, Uncovered)
			m.now = m.now.Add(modelRules.Span())
			So(claim(), ShouldEqual, Uncovered)
			m.now = m.now.Add(1)
			So(claim(), ShouldEqual, Won)
		}
	})
}
