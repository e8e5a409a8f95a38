package policy

import (
	"slices"
	"time"
)

// Parameters of the crash ledger.
const (
	// crashLimit is the number of servers that may die while they run a
	// request before it is refused.
	crashLimit = 2
	// crashMemory is how long a charge counts and a refusal lasts.
	crashMemory = 10 * time.Minute
	// commonCauseServers servers whose connections break within
	// commonCauseWindow point to the network and not to a request.
	commonCauseServers = 3
	commonCauseWindow  = 100 * time.Millisecond
	// maxCrashRecords bounds the ledger.
	maxCrashRecords = 4096
)

// CrashCharge notes that a server died while it ran a request.
type CrashCharge struct {
	// Server is a hash of the server's identity.
	Server uint64    `cbor:"1,keyasint" json:"server"`
	At     time.Time `cbor:"2,keyasint" json:"at"`
}

// CrashRecord is what is held against one request.
type CrashRecord struct {
	// Fingerprint is a hash of client account, route and body.
	Fingerprint uint64        `cbor:"1,keyasint" json:"fingerprint"`
	Charges     []CrashCharge `cbor:"2,keyasint" json:"charges"`
}

// CrashLedger recognises requests that crash the servers that run them.
//
// All requests in progress on a dying server are charged, as nobody can tell
// which one did it. The innocent ones are cleared by their next success, and
// suspects must not share a server (see Suspect), so that an innocent request
// is not charged a second time beside the guilty one. Breaks of many servers
// at once have a common cause and are charged to nobody.
//
// CrashLedger is not safe for concurrent use.
type CrashLedger struct {
	records map[uint64]*CrashRecord
	breaks  []CrashCharge // within commonCauseWindow of the newest
	// cleared holds the time of the last success of requests that were charged
	// before, so that older charges are not taken from other instances again.
	cleared map[uint64]time.Time
}

// NewCrashLedger makes an empty ledger.
func NewCrashLedger() *CrashLedger {
	return &CrashLedger{records: make(map[uint64]*CrashRecord), cleared: make(map[uint64]time.Time)}
}

// Broken notes that a connection broke while the server ran the request.
func (l *CrashLedger) Broken(now time.Time, fingerprint, server uint64) {
	l.noteBreak(now, server)
	if l.commonCause() {
		l.withdraw(now)
		return
	}
	l.charge(now, fingerprint, CrashCharge{Server: server, At: now})
}

func (l *CrashLedger) noteBreak(now time.Time, server uint64) {
	l.breaks = slices.DeleteFunc(l.breaks, func(c CrashCharge) bool {
		return now.Sub(c.At) > commonCauseWindow || c.Server == server
	})
	l.breaks = append(l.breaks, CrashCharge{Server: server, At: now})
}

func (l *CrashLedger) commonCause() bool { return len(l.breaks) >= commonCauseServers }

// withdraw takes back the charges that belong to a common cause. Older ones stay.
func (l *CrashLedger) withdraw(now time.Time) {
	for fingerprint, r := range l.records {
		r.Charges = slices.DeleteFunc(r.Charges, func(c CrashCharge) bool {
			return now.Sub(c.At) <= commonCauseWindow
		})
		if len(r.Charges) == 0 {
			delete(l.records, fingerprint)
		}
	}
}

func (l *CrashLedger) charge(now time.Time, fingerprint uint64, c CrashCharge) {
	if !c.At.After(l.cleared[fingerprint]) {
		return
	}
	r := l.records[fingerprint]
	if r == nil {
		l.makeRoom(now)
		r = &CrashRecord{Fingerprint: fingerprint}
		l.records[fingerprint] = r
	}
	same := func(o CrashCharge) bool { return o.Server == c.Server && o.At.Equal(c.At) }
	if !slices.ContainsFunc(r.Charges, same) && len(r.Charges) < crashLimit {
		r.Charges = append(r.Charges, c)
	}
}

// makeRoom forgets old records, and any one if the ledger is still full.
func (l *CrashLedger) makeRoom(now time.Time) {
	if len(l.records) < maxCrashRecords {
		return
	}
	for fingerprint := range l.records {
		l.prune(now, fingerprint)
	}
	for fingerprint := range l.records {
		if len(l.records) < maxCrashRecords {
			return
		}
		delete(l.records, fingerprint)
	}
}

// prune forgets charges past their time and returns the record, or nil.
func (l *CrashLedger) prune(now time.Time, fingerprint uint64) *CrashRecord {
	r := l.records[fingerprint]
	if r == nil {
		return nil
	}
	r.Charges = slices.DeleteFunc(r.Charges, func(c CrashCharge) bool { return now.Sub(c.At) > crashMemory })
	if len(r.Charges) == 0 {
		delete(l.records, fingerprint)
		return nil
	}
	return r
}

// Succeeded clears a request that ran without harm.
func (l *CrashLedger) Succeeded(now time.Time, fingerprint uint64) {
	if l.records[fingerprint] == nil {
		return
	}
	delete(l.records, fingerprint)
	l.cleared[fingerprint] = now
	if len(l.cleared) > maxCrashRecords {
		l.forgetCleared(now)
	}
}

// forgetCleared drops successes so old that no charge before them counts, and
// all of them if that is not enough.
func (l *CrashLedger) forgetCleared(now time.Time) {
	for fingerprint, at := range l.cleared {
		if now.Sub(at) > crashMemory {
			delete(l.cleared, fingerprint)
		}
	}
	if len(l.cleared) > maxCrashRecords {
		clear(l.cleared)
	}
}

// Suspect reports whether a server died while it ran the request. A suspect
// runs on a server only if no other suspect does.
func (l *CrashLedger) Suspect(now time.Time, fingerprint uint64) bool {
	return l.prune(now, fingerprint) != nil
}

// Refuse reports whether the request is not to run again for now.
func (l *CrashLedger) Refuse(now time.Time, fingerprint uint64) bool {
	r := l.prune(now, fingerprint)
	return r != nil && len(r.Charges) >= crashLimit
}

// Len returns the number of requests with charges.
func (l *CrashLedger) Len() int { return len(l.records) }

// Records returns the newest charges held by this ledger, at most n requests,
// those that are refused first.
func (l *CrashLedger) Records(now time.Time, n int) []CrashRecord {
	var out []CrashRecord
	for fingerprint := range l.records {
		if r := l.prune(now, fingerprint); r != nil {
			out = append(out, CrashRecord{r.Fingerprint, slices.Clone(r.Charges)})
		}
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		if len(a.Charges) != len(b.Charges) {
			return len(b.Charges) - len(a.Charges)
		}
		return b.newest().Compare(a.newest())
	})
	return out[:min(n, len(out))]
}

func (r CrashRecord) newest() time.Time {
	var t time.Time
	for _, c := range r.Charges {
		if c.At.After(t) {
			t = c.At
		}
	}
	return t
}

// Merge adds the charges that another instance holds.
func (l *CrashLedger) Merge(now time.Time, records []CrashRecord) {
	for _, r := range records {
		for _, c := range r.Charges {
			if now.Sub(c.At) <= crashMemory {
				l.charge(now, r.Fingerprint, c)
			}
		}
	}
}
