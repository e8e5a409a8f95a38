package config

// maxCollections bounds the restatements whose parts are gathered at a time.
const maxCollections = 4

// maxDigests bounds the offsets at which a restatement can be checked.
const maxDigests = 512

// StreamRecord is a record of the stream "config" with its offset.
type StreamRecord struct {
	Offset uint64
	Data   []byte
}

// Step says what one record did.
type Step struct {
	Offset uint64
	// Edit is the edit that the record holds, or nil.
	Edit   *Edit
	Result EditResult
	// Restated is the offset that a restatement, now complete, covers; else 0.
	Restated uint64
	// Problem is set if the record is damaged, or a restatement contradicts
	// the records before it.
	Problem string
}

// Follower turns the records of the stream "config" into states. It does no
// I/O and is not safe for concurrent use.
//
// A follower that has read every record folds the edits and never takes a
// state from a restatement, so that none can take back an edit. A follower that
// missed records gathers the records that the log still keeps until it has a
// whole restatement with nothing missing between the records that it covers
// and the oldest one gathered. It takes that state and folds the edits after
// the covered ones.
type Follower struct {
	state *State // nil until one is known
	// gathering is true while records are missing before those in gathered.
	gathering bool
	base      uint64 // first offset from which all records were gathered
	next      uint64
	gathered  []StreamRecord
	parts     collector
	digests   []offsetDigest
}

type offsetDigest struct{ offset, digest uint64 }

// NewFollower returns a follower at the stream's beginning.
func NewFollower() *Follower { return &Follower{next: 1} }

// State returns the newest state, or nil if none is known yet.
func (f *Follower) State() *State { return f.state }

// Next is the offset from which to read on.
func (f *Follower) Next() uint64 { return f.next }

// Gathering reports whether records are missing that only a restatement or
// another instance can make up for.
func (f *Follower) Gathering() bool { return f.gathering }

// Take takes the answer to a read from Next: the oldest offset that the log
// keeps, and the records.
func (f *Follower) Take(first uint64, records []StreamRecord) []Step {
	if first > f.next {
		f.startGathering(first)
	}
	if f.state == nil && !f.gathering {
		f.state = NewState()
	}
	var steps []Step
	for _, rec := range records {
		if rec.Offset != f.next {
			continue
		}
		f.next = rec.Offset + 1
		if f.gathering {
			steps = append(steps, f.gather(rec)...)
		} else {
			steps = append(steps, f.fold(rec))
		}
	}
	return steps
}

// startGathering begins anew after a gap.
func (f *Follower) startGathering(first uint64) {
	f.gathering = true
	f.base = first
	f.next = first
	f.gathered = nil
	f.parts = nil
	f.digests = nil
}

// gather keeps a record until a restatement makes the ones before it needless.
func (f *Follower) gather(rec StreamRecord) []Step {
	f.gathered = append(f.gathered, rec)
	r, err := DecodeRecord(rec.Data)
	if err != nil || r.Part == nil {
		return nil
	}
	whole, ok := f.parts.add(rec.Offset, *r.Part)
	if !ok || whole.Covers+1 < f.base {
		return nil
	}
	state, err := whole.State()
	if err != nil {
		return []Step{{Offset: rec.Offset, Problem: err.Error()}}
	}
	if problem := f.contradiction(state); problem != "" {
		return []Step{{Offset: rec.Offset, Problem: problem}}
	}
	return append(f.resume(state), Step{Offset: rec.Offset, Restated: whole.Covers})
}

// contradiction says why a state cannot follow the one that is known.
func (f *Follower) contradiction(s *State) string {
	if f.state != nil && s.Tables.Revision < f.state.Tables.Revision {
		return "a restatement has older tables than those known before it"
	}
	return ""
}

// resume goes on from a state with the records gathered after it.
func (f *Follower) resume(s *State) []Step {
	records := f.gathered
	f.state = s
	f.gathering = false
	f.gathered = nil
	f.parts = nil
	var steps []Step
	for _, rec := range records {
		if rec.Offset > s.Offset {
			steps = append(steps, f.fold(rec))
		}
	}
	return steps
}

// fold takes the record that follows the state.
func (f *Follower) fold(rec StreamRecord) Step {
	step := Step{Offset: rec.Offset}
	r, err := DecodeRecord(rec.Data)
	switch {
	case err != nil:
		step.Problem = err.Error()
		f.state = f.state.Skip(rec.Offset)
	case r.Edit != nil:
		step.Edit = r.Edit
		f.state, step.Result = f.state.Fold(*r.Edit, rec.Offset)
	default:
		f.check(&step, *r.Part)
		f.state = f.state.Skip(rec.Offset)
	}
	f.note()
	return step
}

// note remembers the digest of the state.
func (f *Follower) note() {
	if len(f.digests) >= maxDigests {
		f.digests = append(f.digests[:0], f.digests[maxDigests/2:]...)
	}
	f.digests = append(f.digests, offsetDigest{f.state.Offset, f.state.Restate().Digest()})
}

// check compares a restatement with the state at the offset that it covers.
func (f *Follower) check(step *Step, p RestatePart) {
	whole, ok := f.parts.add(step.Offset, p)
	if !ok {
		return
	}
	for _, d := range f.digests {
		if d.offset == whole.Covers && d.digest != whole.Digest() {
			step.Problem = "a restatement contradicts the records that it covers"
			return
		}
	}
	step.Restated = whole.Covers
}

// Adopt takes the state of another instance. It reports whether the state is
// newer than the one known.
func (f *Follower) Adopt(r Restatement) (bool, error) {
	if f.state != nil && r.Covers <= f.state.Offset {
		return false, nil
	}
	s, err := r.State()
	if err != nil || f.contradiction(s) != "" {
		return false, err
	}
	if f.gathering && r.Covers+1 < f.base {
		f.state = s
		return true, nil
	}
	f.resume(s)
	f.next = max(f.next, f.state.Offset+1)
	f.digests = nil
	return true, nil
}

// collector gathers the parts of restatements, the oldest first.
type collector []*collection

type collection struct {
	id    string
	parts map[int]Restatement
	total int
}

// add takes a part that stands at the offset. It returns the whole restatement
// when the part was the last missing one.
func (c *collector) add(offset uint64, p RestatePart) (Restatement, bool) {
	if p.Whole.Covers >= offset {
		return Restatement{}, false
	}
	var found *collection
	for _, e := range *c {
		if e.id == p.ID && e.total == p.Parts {
			found = e
		}
	}
	if found == nil {
		found = &collection{id: p.ID, total: p.Parts, parts: make(map[int]Restatement)}
		*c = append(*c, found)
		if len(*c) > maxCollections {
			*c = (*c)[1:]
		}
	}
	if _, again := found.parts[p.Part]; again {
		return Restatement{}, false
	}
	found.parts[p.Part] = p.Whole
	return found.join()
}

// join returns the restatement if all its parts are there and agree.
func (c *collection) join() (Restatement, bool) {
	if len(c.parts) < c.total {
		return Restatement{}, false
	}
	whole := Restatement{Covers: c.parts[0].Covers, Revision: c.parts[0].Revision}
	for i := range c.total {
		p := c.parts[i]
		if p.Covers != whole.Covers || p.Revision != whole.Revision {
			return Restatement{}, false
		}
		whole.Sections = append(whole.Sections, p.Sections...)
		whole.Decided = append(whole.Decided, p.Decided...)
	}
	return whole, true
}
