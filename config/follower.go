package config

// maxCollectedRestatements bounds the restatements whose parts are kept at a time,
// complete or not.
const maxCollectedRestatements = 4

// maxDigests bounds the remembered state digests. A restatement can be verified
// only at an offset with a remembered digest.
const maxDigests = 512

// StreamRecord is a record of the stream "config" with its offset.
type StreamRecord struct {
	Offset uint64
	Data   []byte
}

// RecordEffect is the effect of one record on the follower.
type RecordEffect struct {
	Offset uint64
	// Edit is the edit that the record holds, or nil.
	Edit   *Edit
	Result EditResult
	// Restated is the offset covered by a restatement that this record completes,
	// or 0.
	Restated uint64
	// Problem is set if the record is malformed, or a restatement contradicts the
	// records before it.
	Problem string
}

// Follower computes states from the records of the stream "config". It does no
// I/O and is not safe for concurrent use.
//
// A follower that has read every record applies the edits and ignores the states
// of the restatements in the stream, so that no restatement can revert an edit.
// Adopt can still install a newer state of another instance. A follower that
// missed records, because the log dropped them before they were read, gathers
// the records that the log still keeps. It does so until it has a complete
// restatement and no gap between the last record covered by it and the oldest
// gathered record. It then takes the restated state and applies the gathered edits
// after it. A state that Adopt installs can take the place of the restatement.
type Follower struct {
	state *State // nil until one is known
	// gathering is true while the records before those in gathered are missing.
	gathering    bool
	gatheredFrom uint64 // offset from which all records are gathered
	next         uint64
	gathered     []StreamRecord
	parts        restatementCollector
	digests      []stateDigest
}

type stateDigest struct{ offset, digest uint64 }

// NewFollower returns a follower that reads from the first record of the stream.
func NewFollower() *Follower { return &Follower{next: 1} }

// State returns the newest state, or nil if none is known yet.
func (f *Follower) State() *State { return f.state }

// Next returns the offset of the next record to read.
func (f *Follower) Next() uint64 { return f.next }

// Gathering reports whether records were missed, so that the follower needs a
// restatement or the state of another instance.
func (f *Follower) Gathering() bool { return f.gathering }

// Consume processes the result of a read from Next: the oldest offset that the
// log keeps, and the records. It returns the effects of the records.
func (f *Follower) Consume(first uint64, records []StreamRecord) []RecordEffect {
	if first > f.next {
		f.startGathering(first)
	}
	if f.state == nil && !f.gathering {
		f.state = NewState()
	}
	var effects []RecordEffect
	for _, rec := range records {
		if rec.Offset != f.next {
			continue
		}
		f.next = rec.Offset + 1
		if f.gathering {
			effects = append(effects, f.gather(rec)...)
		} else {
			effects = append(effects, f.apply(rec))
		}
	}
	return effects
}

// startGathering restarts at the given offset after a gap.
func (f *Follower) startGathering(first uint64) {
	f.gathering = true
	f.gatheredFrom = first
	f.next = first
	f.gathered = nil
	f.parts = nil
	f.digests = nil
}

// gather keeps a record until a complete restatement replaces the missed records.
func (f *Follower) gather(rec StreamRecord) []RecordEffect {
	f.gathered = append(f.gathered, rec)
	r, err := DecodeRecord(rec.Data)
	if err != nil || r.Part == nil {
		return nil
	}
	restatement, ok := f.parts.add(rec.Offset, *r.Part)
	if !ok || restatement.Covers+1 < f.gatheredFrom {
		return nil
	}
	state, err := restatement.State()
	if err != nil {
		return []RecordEffect{{Offset: rec.Offset, Problem: err.Error()}}
	}
	if problem := f.contradiction(state); problem != "" {
		return []RecordEffect{{Offset: rec.Offset, Problem: problem}}
	}
	return append(f.resume(state), RecordEffect{Offset: rec.Offset, Restated: restatement.Covers})
}

// contradiction returns why a state cannot follow the current one, or "".
func (f *Follower) contradiction(s *State) string {
	if f.state != nil && s.Tables.Revision < f.state.Tables.Revision {
		return "a restatement has older tables than those known before it"
	}
	return ""
}

// resume installs a state and applies the gathered records after it.
func (f *Follower) resume(s *State) []RecordEffect {
	records := f.gathered
	f.state = s
	f.gathering = false
	f.gathered = nil
	f.parts = nil
	var effects []RecordEffect
	for _, rec := range records {
		if rec.Offset > s.Offset {
			effects = append(effects, f.apply(rec))
		}
	}
	return effects
}

// apply applies the next record to the state.
func (f *Follower) apply(rec StreamRecord) RecordEffect {
	effect := RecordEffect{Offset: rec.Offset}
	r, err := DecodeRecord(rec.Data)
	switch {
	case err != nil:
		effect.Problem = err.Error()
		f.state = f.state.Skip(rec.Offset)
	case r.Edit != nil:
		effect.Edit = r.Edit
		f.state, effect.Result = f.state.ApplyEdit(*r.Edit, rec.Offset)
	default:
		f.checkRestatement(&effect, *r.Part)
		f.state = f.state.Skip(rec.Offset)
	}
	f.recordDigest()
	return effect
}

// recordDigest remembers the digest of the current state. It drops the older half
// of the digests when there are maxDigests.
func (f *Follower) recordDigest() {
	if len(f.digests) >= maxDigests {
		f.digests = append(f.digests[:0], f.digests[maxDigests/2:]...)
	}
	f.digests = append(f.digests, stateDigest{f.state.Offset, f.state.Restate().Digest()})
}

// checkRestatement compares a restatement, once it is complete, with the state at
// the offset that it covers.
func (f *Follower) checkRestatement(effect *RecordEffect, p RestatePart) {
	restatement, ok := f.parts.add(effect.Offset, p)
	if !ok {
		return
	}
	for _, d := range f.digests {
		if d.offset == restatement.Covers && d.digest != restatement.Digest() {
			effect.Problem = "a restatement contradicts the records that it covers"
			return
		}
	}
	effect.Restated = restatement.Covers
}

// Adopt installs the state of another instance if it covers more records than the
// current one and its tables are not older. It reports whether the state was
// installed. A follower that is gathering continues to do so if there is a gap
// between the state and the oldest gathered record.
func (f *Follower) Adopt(r Restatement) (bool, error) {
	if f.state != nil && r.Covers <= f.state.Offset {
		return false, nil
	}
	s, err := r.State()
	if err != nil || f.contradiction(s) != "" {
		return false, err
	}
	if f.gathering && r.Covers+1 < f.gatheredFrom {
		f.state = s
		return true, nil
	}
	f.resume(s)
	f.next = max(f.next, f.state.Offset+1)
	f.digests = nil
	return true, nil
}

// restatementCollector holds the parts of the newest restatements, oldest first.
type restatementCollector []*collectedRestatement

// collectedRestatement holds the parts of one restatement that were read so far.
// It is kept after the last part until newer restatements displace it, so that a
// repeated part does not complete the restatement again.
type collectedRestatement struct {
	id    string
	parts map[int]Restatement
	total int
}

// add adds a part recorded at the given offset. It returns the restatement when
// the part completes it. A part that claims to cover its own or a later offset is
// ignored.
func (c *restatementCollector) add(offset uint64, p RestatePart) (Restatement, bool) {
	if p.Content.Covers >= offset {
		return Restatement{}, false
	}
	var found *collectedRestatement
	for _, e := range *c {
		if e.id == p.ID && e.total == p.Parts {
			found = e
		}
	}
	if found == nil {
		found = &collectedRestatement{id: p.ID, total: p.Parts, parts: make(map[int]Restatement)}
		*c = append(*c, found)
		if len(*c) > maxCollectedRestatements {
			*c = (*c)[1:]
		}
	}
	if _, duplicate := found.parts[p.Part]; duplicate {
		return Restatement{}, false
	}
	found.parts[p.Part] = p.Content
	return found.join()
}

// join returns the restatement if it has all its parts and they agree.
func (c *collectedRestatement) join() (Restatement, bool) {
	if len(c.parts) < c.total {
		return Restatement{}, false
	}
	restatement := Restatement{Covers: c.parts[0].Covers, Revision: c.parts[0].Revision}
	for i := range c.total {
		p := c.parts[i]
		if p.Covers != restatement.Covers || p.Revision != restatement.Revision {
			return Restatement{}, false
		}
		restatement.Sections = append(restatement.Sections, p.Sections...)
		restatement.Decided = append(restatement.Decided, p.Decided...)
	}
	return restatement, true
}
