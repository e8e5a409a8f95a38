package claim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var modelRules = Rules{Shards: 1, Window: 60 * time.Second, Skew: 5 * time.Second}

// TestMain sets the extent of the models, which the command line may change.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1500", "rapid.steps": "80", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// attemptState is how far an attempt of the model is.
type attemptState int

const (
	waiting attemptState = iota // its claim was sent
	granted
	dispatched
	ended
)

// modelAttempt is one request at one instance.
type modelAttempt struct {
	id       Attempt
	key      ID
	body     Hash
	instance int
	state    attemptState
	ran      bool
	notRun   bool   // the caller was told so
	answer   string // the caller got it
}

// modelInstance holds a fold that may lag behind the log.
type modelInstance struct {
	fold *Shard
}

// model is a log service, instances, and messages on their way to the log.
type model struct {
	now       time.Time
	records   []Record
	next      uint64
	instances []modelInstance
	attempts  []*modelAttempt
	messages  []Entry
	keys      []ID
	serial    int
	// oracle has folded every record at once, and given holds the attempts
	// whose release is on the log.
	oracle *Shard
	given  map[Attempt]bool
}

func newModel() *model {
	m := &model{now: time.UnixMilli(1_700_000_000_000), next: 1, oracle: NewShard(modelRules, 1), given: make(map[Attempt]bool)}
	for range 3 {
		m.instances = append(m.instances, modelInstance{NewShard(modelRules, 1)})
	}
	return m
}

func (m *model) number() Attempt {
	m.serial++
	return Attempt{byte(m.serial >> 8), byte(m.serial)}
}

// keyAt makes a key that carries a time.
func (m *model) keyAt(at time.Time) ID {
	id := uuid.UUID(m.number())
	ms := at.UnixMilli()
	tail := id[1]
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, tail
	return ID{Account: "a", Route: "r", Key: id.String()}
}

func (m *model) send(e Entry) { m.messages = append(m.messages, e) }

func (m *model) first() uint64 { return m.next - uint64(len(m.records)) }

func (m *model) land(e ...Entry) {
	b := Batch{Version: Version, ID: m.number(), Rules: modelRules.Fingerprint(), Entries: e}
	r := Record{Offset: m.next, Time: m.now, Data: b.Encode()}
	m.records = append(m.records, r)
	m.next++
	_, _ = m.oracle.Apply(r)
	for _, entry := range e {
		_, keyTime, _ := ParseKey(entry.ID.Key)
		if entry.Kind == KindRelease && keyTime.Sub(m.now) <= modelRules.Skew {
			m.given[entry.Attempt] = true
		}
	}
}

func (m *model) read(i, count int) {
	in := &m.instances[i]
	if in.fold.Next() < m.first() {
		in.fold = NewShard(modelRules, m.first())
	}
	for ; count > 0 && in.fold.Next() < m.next; count-- {
		_, _ = in.fold.Apply(m.records[in.fold.Next()-m.first()])
	}
}

func pick[T any](t *rapid.T, label string, from []T) T {
	if len(from) == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.SampledFrom(from).Draw(t, label)
}

func (m *model) pickAttempt(t *rapid.T, s attemptState) *modelAttempt {
	var of []*modelAttempt
	for _, a := range m.attempts {
		if a.state == s {
			of = append(of, a)
		}
	}
	return pick(t, "attempt", of)
}

func (m *model) request(t *rapid.T) {
	if len(m.keys) < 3 && rapid.Bool().Draw(t, "new key") {
		off := rapid.IntRange(-20, 40).Draw(t, "key time")
		m.keys = append(m.keys, m.keyAt(m.now.Add(time.Duration(off)*time.Second)))
	}
	a := &modelAttempt{
		id: m.number(), key: pick(t, "key", m.keys), instance: rapid.IntRange(0, 2).Draw(t, "instance"),
		body: Hash{byte(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "body"))},
	}
	m.attempts = append(m.attempts, a)
	m.send(claimEntry(a))
}

func claimEntry(a *modelAttempt) Entry {
	return Entry{Kind: KindClaim, ID: a.key, Attempt: a.id, Origin: &Origin{BodyHash: a.body, Boot: fmt.Sprint(a.instance)}}
}

// deliver lands a message, which may stay under way and land again.
func (m *model) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	m.land(m.messages[i])
	if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
}

// decide acts on what the instance's fold says of a waiting attempt.
func (m *model) decide(t *rapid.T) {
	a := m.pickAttempt(t, waiting)
	f := m.instances[a.instance].fold.Find(a.key, a.id, a.body)
	switch f.Verdict {
	case Open:
	case Won:
		a.state = granted
	case Taken:
		if f.Slot.State == Done {
			a.state, a.answer = ended, string(f.Slot.Answer.Body)
		}
	case Uncovered:
		m.giveUp(a)
	default: // barred for good
		a.state, a.notRun = ended, true
		m.given[a.id] = true
	}
}

// giveUp tells the caller that nothing ran, and bars the attempt.
func (m *model) giveUp(a *modelAttempt) {
	a.state, a.notRun = ended, true
	m.send(Entry{Kind: KindRelease, ID: a.key, Attempt: a.id})
}

func (m *model) complete(t *rapid.T) {
	a := m.pickAttempt(t, dispatched)
	a.state, a.answer = ended, a.id.String()
	m.send(Entry{Kind: KindOutcome, ID: a.key, Attempt: a.id, Answer: &Answer{Body: []byte(a.answer)}})
}

// crash ends an instance's attempts; its messages may still land.
func (m *model) crash(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "instance")
	for _, a := range m.attempts {
		if a.instance == i {
			a.state = ended
		}
	}
	m.instances[i].fold = NewShard(modelRules, m.first())
}

func (m *model) settle(t *rapid.T) {
	slot := pick(t, "unfinished", m.instances[rapid.IntRange(0, 2).Draw(t, "instance")].fold.Unfinished())
	m.land(Entry{Kind: KindSettle, ID: slot.ID, Attempt: slot.Attempt, Settlement: &Settlement{Operator: "op"}})
}

func (m *model) carry(t *rapid.T) {
	entries := m.instances[rapid.IntRange(0, 2).Draw(t, "instance")].fold.Carry(20 * time.Second)
	for _, e := range entries {
		m.send(e)
	}
}

// trim drops the oldest records, whatever their age.
func (m *model) trim(t *rapid.T) {
	n := rapid.IntRange(0, len(m.records)).Draw(t, "dropped")
	m.records = m.records[n:]
}

// check holds what must always hold.
func (m *model) check(t *rapid.T) {
	ran := make(map[ID]*modelAttempt)
	for _, a := range m.attempts {
		if a.ran && ran[a.key] != nil {
			t.Fatalf("key %s ran twice", a.key.Key)
		}
		if a.ran {
			ran[a.key] = a
		}
		if a.ran && a.notRun {
			t.Fatalf("attempt %s ran and was told that it did not", a.id)
		}
	}
	for _, a := range m.attempts {
		if a.answer != "" && (ran[a.key] == nil || a.answer != ran[a.key].id.String()) {
			t.Fatalf("attempt %s got the answer %s of another request", a.id, a.answer)
		}
	}
	for _, slot := range m.oracle.Unfinished() {
		if m.given[slot.Attempt] {
			t.Fatalf("key %s is held by an attempt that gave it back", slot.ID.Key)
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	instance := rapid.IntRange(0, 2)
	return map[string]func(*rapid.T){
		"request":  m.request,
		"deliver":  m.deliver,
		"deliver2": m.deliver,
		"decide":   m.decide,
		"resend":   func(t *rapid.T) { m.send(claimEntry(m.pickAttempt(t, waiting))) },
		"give up":  func(t *rapid.T) { m.giveUp(m.pickAttempt(t, waiting)) },
		"release":  func(t *rapid.T) { m.giveUp(m.pickAttempt(t, granted)) },
		"dispatch": func(t *rapid.T) {
			a := m.pickAttempt(t, granted)
			a.state, a.ran = dispatched, true
		},
		"complete": m.complete,
		"doubt": func(t *rapid.T) {
			a := m.pickAttempt(t, dispatched)
			a.state = ended
			m.send(Entry{Kind: KindDoubt, ID: a.key, Attempt: a.id, Why: "cut"})
		},
		"crash":    m.crash,
		"read":     func(t *rapid.T) { m.read(instance.Draw(t, "instance"), rapid.IntRange(1, 5).Draw(t, "count")) },
		"read all": func(t *rapid.T) { m.read(instance.Draw(t, "instance"), len(m.records)) },
		"tick":     func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second) },
		"trim":     m.trim,
		"settle":   m.settle,
		"carry":    m.carry,
		"":         m.check,
	}
}

// TestModel explores random schedules of instances, messages and the log.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newModel().actions())
	})
}

// TestModelPrefix checks that a fold from any kept record on, once it covers a
// claim, names the same holder as the fold of the whole stream.
func TestModelPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := m.actions()
		delete(actions, "trim")
		t.Repeat(actions)
		whole := foldFrom(m, 1)
		later := foldFrom(m, rapid.Uint64Range(1, m.next).Draw(t, "start"))
		for _, a := range m.attempts {
			w, l := whole.Find(a.key, a.id, a.body), later.Find(a.key, a.id, a.body)
			if l.Verdict == Won && w.Verdict != Won {
				t.Fatalf("attempt %s won by a later start (%v by the whole stream)", a.id, w.Verdict)
			}
		}
	})
}

func foldFrom(m *model, first uint64) *Shard {
	s := NewShard(modelRules, first)
	for _, r := range m.records[first-1:] {
		_, _ = s.Apply(r)
	}
	return s
}
