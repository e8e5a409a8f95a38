package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the ledger of prompt parts.
const (
	// partCrashLimit is the number of crashes without a success in between at which
	// requests with a part are refused. It is higher than that of a request: sound
	// parts that share requests or servers with the guilty one are charged as well.
	partCrashLimit = 3
	// partDefenseLimit is the number of charges from which on a success of the part is
	// reported to other instances.
	partDefenseLimit = partCrashLimit - 1
	// sameCrashWindow is the time within which charges with the same server are taken
	// for one crash that several instances saw. Their clocks may differ.
	sameCrashWindow = 3 * time.Second
	// MaxPartCharges bounds the charges that are kept of a part; the newest are kept.
	MaxPartCharges = 5 * partCrashLimit
	// maxPartSuccesses bounds the number of parts whose last success is kept.
	maxPartSuccesses = 8192
	// MaxPartReports bounds the charged parts and the successes in a report.
	MaxPartReports = 64
)

// PartSuccess is the time at which a server began to respond to a request with a
// part.
type PartSuccess struct {
	Part uint64
	At   time.Time
}

// PartReport is what one instance has observed of parts that may crash servers.
type PartReport struct {
	// Charges holds the crashes by part. The fingerprint of a record is the part.
	Charges   []CrashRecord
	Successes []PartSuccess
}

// PartLedger detects parts of prompts that crash each server that begins to respond
// to them, whatever else the requests hold.
//
// When a server crashes, the parts of the requests to which it had not begun to
// respond are charged. Charges before a success of the part do not count, nor do
// crashes that a part with more charges explains. Each instance sees only some of
// the crashes and some of the successes, so instances exchange reports of the
// crashes, and of the successes of parts that come close to being refused.
//
// PartLedger is not safe for concurrent use.
type PartLedger struct {
	parts     map[uint64]*partRecord
	successes map[uint64]time.Time // last success here, by part
	breaks    recentBreaks
}

// partRecord is what is known of a part that was charged.
type partRecord struct {
	charges []partCharge
	success time.Time // last known success
	// reported is the newest success that any instance has reported, defended the one
	// that this instance reports, zero if it reports none.
	reported, defended time.Time
}

type partCharge struct {
	CrashCharge
	own bool // observed by this instance
}

// sameCrash reports whether two charges are due to the same crash.
func (c partCharge) sameCrash(o partCharge) bool {
	return c.Server == o.Server && c.At.Sub(o.At).Abs() <= sameCrashWindow
}

// NewPartLedger returns an empty ledger.
func NewPartLedger() *PartLedger {
	return &PartLedger{parts: make(map[uint64]*partRecord), successes: make(map[uint64]time.Time)}
}

// Crashed records that a server crashed before it began to respond to a request with
// the parts.
func (l *PartLedger) Crashed(now time.Time, parts []uint64, server uint64) {
	if l.breaks.commonCause(now, server) {
		l.withdrawCommonCause(now)
		return
	}
	for _, part := range parts {
		l.charge(now, part, partCharge{CrashCharge{Server: server, At: now}, true})
	}
}

// withdrawCommonCause removes this instance's charges of the last commonCauseWindow.
func (l *PartLedger) withdrawCommonCause(now time.Time) {
	for _, r := range l.parts {
		r.charges = slices.DeleteFunc(r.charges, func(c partCharge) bool { return c.own && now.Sub(c.At) <= commonCauseWindow })
	}
}

func (l *PartLedger) charge(now time.Time, part uint64, c partCharge) {
	r := l.record(now, part)
	for i, o := range r.charges {
		if o.sameCrash(c) {
			r.charges[i].own = o.own || c.own
			return
		}
	}
	r.charges = append(r.charges, c)
	if len(r.charges) > MaxPartCharges {
		slices.SortFunc(r.charges, func(a, b partCharge) int { return a.At.Compare(b.At) })
		r.charges = slices.Delete(r.charges, 0, 1)
	}
}

// record returns the record of a part, which it creates if there is none. A full
// ledger first drops the records without charges, then arbitrary ones.
func (l *PartLedger) record(now time.Time, part uint64) *partRecord {
	if r := l.parts[part]; r != nil {
		return r
	}
	if len(l.parts) >= maxCrashRecords {
		for p, r := range l.parts {
			if len(r.since(now, time.Time{})) == 0 {
				delete(l.parts, p)
			}
		}
	}
	for p := range l.parts {
		if len(l.parts) < maxCrashRecords {
			break
		}
		delete(l.parts, p)
	}
	r := &partRecord{success: l.successes[part]}
	l.parts[part] = r
	return r
}

// since returns the charges after a time that have not expired.
func (r *partRecord) since(now, after time.Time) []partCharge {
	var out []partCharge
	for _, c := range r.charges {
		if c.At.After(after) && now.Sub(c.At) <= crashChargeTTL {
			out = append(out, c)
		}
	}
	return out
}

// Succeeded records that a server began to respond to a request with the parts. It
// reports whether other instances should learn of it.
func (l *PartLedger) Succeeded(now time.Time, parts []uint64) (report bool) {
	for _, part := range parts {
		if l.successes[part].IsZero() && len(l.successes) >= maxPartSuccesses {
			clear(l.successes)
		}
		l.successes[part] = now
		if r := l.parts[part]; r != nil {
			r.noteSuccess(now)
			report = r.defend(now) || report
		}
	}
	return report
}

func (r *partRecord) noteSuccess(at time.Time) {
	if at.After(r.success) {
		r.success = at
	}
}

// defend decides whether to report the last success of a part: other instances may
// know of several charges, and of no success since the first of them or at all.
func (r *partRecord) defend(now time.Time) bool {
	pending := r.since(now, r.reported)
	if len(pending) < partDefenseLimit || !r.success.After(r.reported) {
		return false
	}
	clears := slices.ContainsFunc(pending, func(c partCharge) bool { return r.success.After(c.At) })
	if !clears && !r.reported.IsZero() {
		return false
	}
	r.reported, r.defended = r.success, r.success
	return true
}

// PartRefusals tells which requests must not run.
//
// Crashes may not tell which of several parts causes them, if all requests that
// crashed a server had the same ones. A request with just one of these parts runs:
// it tells them apart.
type PartRefusals struct {
	groups map[uint64]int // by part, the parts from which it cannot be told apart
	sizes  []int          // number of parts by group
}

// Refuse reports whether a request with the parts must not run.
func (r PartRefusals) Refuse(parts []uint64) bool {
	found := -1
	for _, part := range parts {
		group, ok := r.groups[part]
		if !ok {
			continue
		}
		if r.sizes[group] == 1 || group == found {
			return true
		}
		found = group
	}
	return false
}

// Parts returns the suspect parts in ascending order.
func (r PartRefusals) Parts() []uint64 { return slices.Sorted(maps.Keys(r.groups)) }

// suspectPart is a part that has reached the limit of charges.
type suspectPart struct {
	part    uint64
	charges []partCharge
	success time.Time
}

// explainedBy reports whether the charges of other parts leave fewer than the limit.
func (s suspectPart) explainedBy(charges []partCharge) bool {
	left := slices.DeleteFunc(slices.Clone(s.charges), func(c partCharge) bool { return slices.ContainsFunc(charges, c.sameCrash) })
	return len(left) < partCrashLimit
}

// Refusals returns which requests must not run.
func (l *PartLedger) Refusals(now time.Time) PartRefusals {
	var suspects []suspectPart
	for part, r := range l.parts {
		if charges := r.since(now, r.success); len(charges) >= partCrashLimit {
			suspects = append(suspects, suspectPart{part, charges, r.success})
		}
	}
	// Of parts with equally many charges, the one that succeeded longest ago, or
	// never, explains those of the others.
	slices.SortFunc(suspects, func(a, b suspectPart) int {
		return cmp.Or(len(b.charges)-len(a.charges), a.success.Compare(b.success), cmp.Compare(a.part, b.part))
	})
	refusals := PartRefusals{groups: make(map[uint64]int)}
	var leaders []suspectPart // the first part of each group
	for _, s := range suspects {
		group := slices.IndexFunc(leaders, func(leader suspectPart) bool { return s.explainedBy(leader.charges) })
		switch {
		case group < 0:
			refusals.groups[s.part] = len(leaders)
			refusals.sizes = append(refusals.sizes, 1)
			leaders = append(leaders, s)
		case len(leaders[group].charges) == len(s.charges) && leaders[group].success.Equal(s.success):
			refusals.groups[s.part] = group
			refusals.sizes[group]++
		}
	}
	return refusals
}

// Report returns what other instances should know: this instance's charges since the
// last known success of each part, and the successes that it defends.
func (l *PartLedger) Report(now time.Time) PartReport {
	var report PartReport
	for part, r := range l.parts {
		record := CrashRecord{Fingerprint: part}
		for _, c := range r.since(now, r.success) {
			if c.own {
				record.Charges = append(record.Charges, c.CrashCharge)
			}
		}
		if len(record.Charges) > 0 {
			report.Charges = append(report.Charges, record)
		}
		if !r.defended.IsZero() && now.Sub(r.defended) <= crashChargeTTL {
			report.Successes = append(report.Successes, PartSuccess{part, r.defended})
		}
	}
	slices.SortFunc(report.Charges, func(a, b CrashRecord) int {
		return cmp.Or(len(b.Charges)-len(a.Charges), b.newest().Compare(a.newest()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	slices.SortFunc(report.Successes, func(a, b PartSuccess) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part, b.Part))
	})
	report.Charges = report.Charges[:min(len(report.Charges), MaxPartReports)]
	report.Successes = report.Successes[:min(len(report.Successes), MaxPartReports)]
	return report
}

// Merge adds the report of an instance and reports whether this instance has
// something to reply. own is set for a report that this instance itself made before
// its process was restarted.
func (l *PartLedger) Merge(now time.Time, report PartReport, own bool) (reply bool) {
	for _, s := range report.Successes {
		r := l.record(now, s.Part)
		r.noteSuccess(s.At)
		if s.At.After(r.reported) {
			r.reported = s.At
		}
		if own {
			r.defended = s.At
		}
	}
	for _, record := range report.Charges {
		for _, c := range record.Charges {
			if now.Sub(c.At) <= crashChargeTTL {
				l.charge(now, record.Fingerprint, partCharge{c, own})
			}
		}
		if r := l.parts[record.Fingerprint]; r != nil {
			reply = r.defend(now) || reply
		}
	}
	return reply
}
