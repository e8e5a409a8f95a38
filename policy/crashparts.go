package policy

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters of the ledger of parts.
const (
	// partCrashLimit is the number of incidents without a success in between at which
	// requests with a part are refused. It is higher than that of a request: sound
	// parts that share requests or servers with the guilty one are charged as well.
	partCrashLimit = 3
	// repeatCrashLimit is the number of incidents at which requests with a part are
	// refused if they include several crashes of one server under one name: it may break
	// off responses without having crashed.
	repeatCrashLimit = 5
	// partDefenseLimit is the number of charges from which on a success of the part is
	// reported to other instances.
	partDefenseLimit = partCrashLimit - 1
	// sameCrashWindow is the time within which charges with the same server are taken
	// for one crash that several instances saw, unless one of them saw it crash again.
	// Their clocks may differ.
	sameCrashWindow = 3 * time.Second
	// MaxPartCharges bounds the charges that are kept of a part.
	MaxPartCharges = 5 * partCrashLimit
	// maxPartSuccesses bounds the number of parts whose last success is kept.
	maxPartSuccesses = 8192
	// firstTrialDelay is the time after the newest charge at which a refused request is
	// tried once. Each trial that crashes a server makes it trialBackoff times as long,
	// up to crashChargeTTL.
	firstTrialDelay = time.Second
	trialBackoff    = 4
	// MaxPartReports bounds the charged parts and the successes in a report.
	MaxPartReports = 64
)

// PartSuccess is the time at which a server showed that a part does not crash it.
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

// PartLedger detects parts of requests that crash each server that runs them, whatever
// else the requests hold. A part is one of a prompt, or a whole request that comes again
// unchanged.
//
// When a server crashes, the parts of the requests that it was running are charged.
// Charges before a success of the part do not count, nor do crashes that a part with
// more charges explains. Crashes at the same moment are one incident, since they may have
// a common cause; a request that was sent after one crash and met the next has not met
// one. A server that starts again may be known under its former name for some time, so a
// request that was sent after a crash of a server and meets another one of it has met
// two; more crashes are needed then, since the server may be faulty instead.
//
// Each instance sees only some of the crashes and some of the successes, so instances
// exchange reports of the crashes, and of the successes of parts that come close to being
// refused.
//
// PartLedger is not safe for concurrent use.
type PartLedger struct {
	parts map[uint64]*partRecord
	// successes holds the last success of each part here, of those that succeeded last.
	successes *simplelru.LRU[uint64, time.Time]
}

// partRecord is what is known of a part that was charged.
type partRecord struct {
	charges []partCharge
	success time.Time // last known success
	// tried is when the request that is the part, and is refused, was last tried here.
	tried time.Time
	// reported is the newest success that any instance has reported, defended the one
	// that this instance reports, zero if it reports none.
	reported, defended time.Time
}

type partCharge struct {
	CrashCharge
	own bool // observed by this instance
	// observed is when this instance last saw a connection break in the crash, or learned of
	// it from another one.
	observed time.Time
	// stated is the time of the crash by the clock of the instance that observed it.
	stated time.Time
}

// nearCrash reports whether two charges are due to the same crash, or to crashes of the
// same server shortly after each other.
func (c partCharge) nearCrash(o partCharge) bool {
	return c.Server == o.Server && (c.At.Sub(o.At).Abs() <= sameCrashWindow || c.stated.Equal(o.stated))
}

// sameCrash reports whether two charges of a part are due to the same crash.
func (c partCharge) sameCrash(o partCharge) bool { return c.Repeat == o.Repeat && c.nearCrash(o) }

// NewPartLedger returns an empty ledger.
func NewPartLedger() *PartLedger {
	successes, err := simplelru.NewLRU[uint64, time.Time](maxPartSuccesses, nil)
	if err != nil {
		panic("policy: successes of parts: " + err.Error())
	}
	return &PartLedger{parts: make(map[uint64]*partRecord), successes: successes}
}

// Crashed records that a server crashed while it ran a request with the parts, which was
// sent at a time.
func (l *PartLedger) Crashed(now, sent time.Time, parts []uint64, server uint64) {
	for _, part := range parts {
		c := CrashCharge{Server: server, At: now}
		if r := l.parts[part]; r != nil {
			c.Independent = r.independent(now, sent)
			c.Repeat = r.repeat(now, sent, server)
		}
		l.charge(now, part, partCharge{CrashCharge: c, own: true, observed: now, stated: now})
	}
}

// independent reports whether a request was sent after all crashes since the last success
// that this instance observed, if there are any.
func (r *partRecord) independent(now, sent time.Time) bool {
	var last time.Time
	for _, c := range r.since(now, r.success) {
		if c.own && c.observed.After(last) {
			last = c.observed
		}
	}
	return !last.IsZero() && sent.After(last)
}

// repeat returns how many crashes of a server this instance knew of shortly before a request
// was sent that has met a crash of the server now.
func (r *partRecord) repeat(now, sent time.Time, server uint64) (n int) {
	for _, c := range r.charges {
		if c.Server != server || now.Sub(c.observed) > sameCrashWindow {
			continue
		}
		if sent.After(c.observed) {
			n = max(n, c.Repeat+1)
		} else {
			n = max(n, c.Repeat)
		}
	}
	return n
}

func (l *PartLedger) charge(now time.Time, part uint64, c partCharge) {
	r := l.record(now, part)
	for i, o := range r.charges {
		if o.sameCrash(c) {
			if c.own {
				r.charges[i].own, r.charges[i].observed = true, c.observed
			}
			return
		}
	}
	r.charges = append(r.charges, c)
	if len(r.charges) > MaxPartCharges {
		r.thin()
	}
}

// thin removes one charge: the last one of the incident that has most, the oldest of all
// if each incident has one.
func (r *partRecord) thin() {
	surplus, most, before := 0, 0, 0
	for end := range incidents(r.charges) {
		if end-before > most {
			surplus, most = end-1, end-before
		}
		before = end
	}
	r.charges = slices.Delete(r.charges, surplus, surplus+1)
}

// incidents sorts charges by time and yields the end of each incident in them. Crashes
// within commonCauseWindow of the first one are one incident, unless the request was sent
// after it.
func incidents(charges []partCharge) iter.Seq[int] {
	slices.SortFunc(charges, func(a, b partCharge) int { return a.At.Compare(b.At) })
	return func(yield func(end int) bool) {
		for i := 0; i < len(charges); {
			first := charges[i].At
			for i++; i < len(charges) && !charges[i].Independent && charges[i].At.Sub(first) <= commonCauseWindow; i++ {
			}
			if !yield(i) {
				return
			}
		}
	}
}

func countIncidents(charges []partCharge) (n int) {
	for range incidents(charges) {
		n++
	}
	return n
}

// incidentLimit returns the number of incidents at which a part with the charges is suspect.
func incidentLimit(charges []partCharge) int {
	firsts := slices.DeleteFunc(slices.Clone(charges), func(c partCharge) bool { return c.Repeat > 0 })
	if countIncidents(firsts) >= partCrashLimit {
		return partCrashLimit
	}
	return repeatCrashLimit
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
	success, _ := l.successes.Peek(part) // zero if there is none
	r := &partRecord{success: success}
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

// ownCharges returns the charges that this instance observed since the last success of the
// part, in the order of their times.
func (r *partRecord) ownCharges(now time.Time) []CrashCharge {
	var own []CrashCharge
	for _, c := range r.since(now, r.success) {
		if c.own {
			own = append(own, c.CrashCharge)
		}
	}
	slices.SortFunc(own, func(a, b CrashCharge) int { return a.At.Compare(b.At) })
	return own
}

// Succeeded records that the parts did not crash a server: it began to respond to a
// request with these parts of its prompt, or ran this whole request to its end. It
// reports whether other instances should learn of it.
func (l *PartLedger) Succeeded(now time.Time, parts []uint64) (report bool) {
	for _, part := range parts {
		l.successes.Add(part, now)
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

// PartRefusals states which requests must not run.
//
// Crashes may not show which of several parts causes them, if the same crashes are charged
// to all. A request with just one of these parts runs: it distinguishes them. Whole requests
// that further crashes have not distinguished are refused, and tried one after the other.
type PartRefusals struct {
	groups map[uint64]*partGroup // by part
}

// partGroup is a number of parts that cannot be distinguished.
type partGroup struct {
	members   []uint64
	incidents int
	// last is the time of the last crash, trialDelay the time after it in which no request
	// is tried, and after which the first member is, then the second one, and so on.
	last       time.Time
	trialDelay time.Duration
	tried      map[uint64]time.Time // by member, where it was tried after last
}

// Refuse reports whether a request with the parts, of which the last one is the whole
// request, must not run.
func (r PartRefusals) Refuse(parts []uint64) bool {
	for range r.refusing(parts) {
		return true
	}
	return false
}

// TrialDue reports whether a request that is refused as a whole, the last of its parts,
// should be tried, so that one that is refused wrongly does not stay so. Of all instances,
// the owner of the whole request should do it. Refused parts of prompts are not tried:
// requests that are running clear those that are sound.
func (r PartRefusals) TrialDue(now time.Time, parts []uint64) bool {
	due := false
	for group := range r.refusing(parts) {
		if !group.trialDue(now, parts) {
			return false
		}
		due = true
	}
	return due
}

// trialDue reports whether it is the turn of a whole request, the last of the parts. The
// parts of its prompt have no turn.
func (g *partGroup) trialDue(now time.Time, parts []uint64) bool {
	prompt, whole := parts[:len(parts)-1], parts[len(parts)-1]
	if now.Before(later(g.last, g.tried[whole]).Add(g.trialDelay)) {
		return false
	}
	tried := slices.DeleteFunc(slices.Clone(g.members), func(m uint64) bool { return slices.Contains(prompt, m) })
	i := slices.Index(tried, whole)
	return i >= 0 && int(now.Sub(g.last)/g.trialDelay-1)%len(tried) == i
}

// refusing yields the groups that refuse a request with the parts.
func (r PartRefusals) refusing(parts []uint64) iter.Seq[*partGroup] {
	return func(yield func(group *partGroup) bool) {
		var found *partGroup
		for i, part := range parts {
			group := r.groups[part]
			if group == nil {
				continue
			}
			whole := i == len(parts)-1
			if (len(group.members) == 1 || group == found || whole && group.incidents > partCrashLimit) && !yield(group) {
				return
			}
			found = group
		}
	}
}

// Parts returns the suspect parts in ascending order.
func (r PartRefusals) Parts() []uint64 { return slices.Sorted(maps.Keys(r.groups)) }

// suspectPart is a part that has reached the limit of charges.
type suspectPart struct {
	part      uint64
	charges   []partCharge
	incidents int
	success   time.Time
}

// explainedBy reports whether the charges of other parts leave fewer than the limit.
func (s suspectPart) explainedBy(charges []partCharge) bool {
	left := slices.DeleteFunc(slices.Clone(s.charges), func(c partCharge) bool { return slices.ContainsFunc(charges, c.nearCrash) })
	return countIncidents(left) < incidentLimit(left)
}

// Refusals returns which requests must not run.
func (l *PartLedger) Refusals(now time.Time) PartRefusals {
	var suspects []suspectPart
	for part, r := range l.parts {
		if len(r.charges) < partCrashLimit {
			continue
		}
		charges := r.since(now, r.success)
		if n := countIncidents(charges); n >= incidentLimit(charges) {
			suspects = append(suspects, suspectPart{part, charges, n, r.success})
		}
	}
	// Of parts with equally many charges, the one that succeeded longest ago, or
	// never, explains those of the others.
	slices.SortFunc(suspects, func(a, b suspectPart) int {
		return cmp.Or(b.incidents-a.incidents, len(b.charges)-len(a.charges), a.success.Compare(b.success), cmp.Compare(a.part, b.part))
	})
	refusals := PartRefusals{groups: make(map[uint64]*partGroup)}
	var leaders []suspectPart // the first part of each group
	for _, s := range suspects {
		i := slices.IndexFunc(leaders, func(leader suspectPart) bool { return s.explainedBy(leader.charges) })
		switch {
		case i < 0:
			group := &partGroup{incidents: s.incidents, tried: make(map[uint64]time.Time)}
			group.last, group.trialDelay = s.trials()
			leaders = append(leaders, s)
			l.addMember(refusals, group, s.part)
		case len(leaders[i].charges) == len(s.charges) && leaders[i].success.Equal(s.success):
			l.addMember(refusals, refusals.groups[leaders[i].part], s.part)
		}
	}
	return refusals
}

func (l *PartLedger) addMember(refusals PartRefusals, group *partGroup, part uint64) {
	refusals.groups[part] = group
	group.members = append(group.members, part)
	if tried := l.parts[part].tried; tried.After(group.last) {
		group.tried[part] = tried
	}
}

// trials returns the time of the last crash of a suspect, and the time from it to the next
// trial. Charges that follow the one that reached the limit after firstTrialDelay or more
// are due to earlier trials.
func (s suspectPart) trials() (last time.Time, delay time.Duration) {
	delay = firstTrialDelay
	limit := incidentLimit(s.charges)
	count, from := 0, 0 // incidents so far, and the first charge of the next one
	for end := range incidents(s.charges) {
		if count >= limit && s.charges[from].At.Sub(last) >= firstTrialDelay {
			delay = min(delay*trialBackoff, crashChargeTTL)
		}
		count, from, last = count+1, end, s.charges[end-1].At
	}
	return last, delay
}

// Tried records that a request that is refused as a whole is tried.
func (l *PartLedger) Tried(now time.Time, whole uint64) {
	if r := l.parts[whole]; r != nil {
		r.tried = now
	}
}

// Report returns what other instances should know: this instance's charges since the
// last known success of each part, and the successes that it defends.
func (l *PartLedger) Report(now time.Time) PartReport {
	var report PartReport
	for part, r := range l.parts {
		record := CrashRecord{Fingerprint: part, Charges: r.ownCharges(now)}
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

// Merge adds the report of an instance, whose clock may be ahead, and reports whether this
// instance has something to reply. own is set for a report that this instance itself made
// before its process was restarted.
func (l *PartLedger) Merge(now time.Time, report PartReport, own bool) (reply bool) {
	for _, s := range report.Successes {
		r, at := l.record(now, s.Part), earlier(s.At, now)
		r.noteSuccess(at)
		if at.After(r.reported) {
			r.reported = at
		}
		if own {
			r.defended = at
		}
	}
	for _, record := range report.Charges {
		for _, c := range record.Charges {
			if now.Sub(c.At) <= crashChargeTTL {
				charge := partCharge{CrashCharge: c, own: own, observed: now, stated: c.At}
				charge.At = earlier(c.At, now)
				l.charge(now, record.Fingerprint, charge)
			}
		}
		if r := l.parts[record.Fingerprint]; r != nil {
			reply = r.defend(now) || reply
		}
	}
	return reply
}
