package policy

import (
	"slices"
	"time"
)

// Parameters of the crash ledger.
const (
	// crashLimit is the number of charges at which a request is refused. Each
	// charge is a server that crashed while it ran the request.
	crashLimit = 2
	// crashChargeTTL is the time for which a charge counts and a refusal lasts.
	crashChargeTTL = 10 * time.Minute
	// If the connections of commonCauseServers servers break within
	// commonCauseWindow, the cause is taken to be the network and not a request.
	commonCauseServers = 3
	commonCauseWindow  = 100 * time.Millisecond
	// maxCrashRecords bounds the number of records in a ledger.
	maxCrashRecords = 4096
)

// CrashCharge records that a server crashed while it ran a request.
type CrashCharge struct {
	// Server is a hash of the server's identity.
	Server uint64    `cbor:"1,keyasint" json:"server"`
	At     time.Time `cbor:"2,keyasint" json:"at"`
	// Independent is true if the request was sent after the charge before this one was
	// observed, so that both cannot have one common cause. Only PartLedger sets it.
	Independent bool `cbor:"3,keyasint,omitempty" json:"independent,omitempty"`
	// Repeat is the number of crashes of a server under the same identity that were
	// known shortly before the request was sent. Only PartLedger sets it.
	Repeat int `cbor:"4,keyasint,omitempty" json:"repeat,omitempty"`
}

// CrashRecord holds the charges against one request.
type CrashRecord struct {
	// Fingerprint is a hash of client account, route and body.
	Fingerprint uint64        `cbor:"1,keyasint" json:"fingerprint"`
	Charges     []CrashCharge `cbor:"2,keyasint" json:"charges"`
}

// CrashLedger detects requests that crash the servers that run them.
//
// All requests that were running on a crashed server are charged, since the one
// that caused the crash is not known. A charged request is cleared when it next
// succeeds. Charged requests must not run on the same server at the same time (see
// Suspect), so that a harmless request is not charged a second time together with
// the one that causes the crashes. If the connections of many servers break at
// once, they have a common cause and no request is charged.
//
// CrashLedger is not safe for concurrent use.
type CrashLedger struct {
	records map[uint64]*CrashRecord
	breaks  recentBreaks
	// cleared holds the time of the last success of requests that had been charged,
	// so that Merge does not restore older charges from other instances.
	cleared map[uint64]time.Time
}

// NewCrashLedger returns an empty ledger.
func NewCrashLedger() *CrashLedger {
	return &CrashLedger{records: make(map[uint64]*CrashRecord), cleared: make(map[uint64]time.Time)}
}

// ConnectionBroken records that a connection broke while the server ran the request,
// which was sent at a time.
func (l *CrashLedger) ConnectionBroken(now, sent time.Time, fingerprint, server uint64) {
	if l.breaks.commonCause(now, sent, server) {
		l.withdrawCommonCause(now, sent)
		return
	}
	l.charge(now, fingerprint, CrashCharge{Server: server, At: now})
}

// recentBreaks holds the servers whose connections broke within commonCauseWindow of
// the newest break.
type recentBreaks struct{ servers []CrashCharge }

// commonCause records that a connection to a server broke, and reports whether it
// broke together with those of other servers. A break before the request was sent has
// another cause.
func (b *recentBreaks) commonCause(now, sent time.Time, server uint64) bool {
	b.servers = slices.DeleteFunc(b.servers, func(c CrashCharge) bool {
		return now.Sub(c.At) > commonCauseWindow || c.Server == server
	})
	b.servers = append(b.servers, CrashCharge{Server: server, At: now})
	together := 0
	for _, c := range b.servers {
		if !c.At.Before(sent) {
			together++
		}
	}
	return together >= commonCauseServers
}

// withdrawCommonCause removes all charges of the last commonCauseWindow since a request
// was sent. Older charges stay.
func (l *CrashLedger) withdrawCommonCause(now, sent time.Time) {
	for fingerprint, r := range l.records {
		r.Charges = slices.DeleteFunc(r.Charges, func(c CrashCharge) bool {
			return now.Sub(c.At) <= commonCauseWindow && !c.At.Before(sent)
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
		l.evictForSpace(now)
		r = &CrashRecord{Fingerprint: fingerprint}
		l.records[fingerprint] = r
	}
	same := func(o CrashCharge) bool { return o.Server == c.Server && o.At.Equal(c.At) }
	if !slices.ContainsFunc(r.Charges, same) && len(r.Charges) < crashLimit {
		r.Charges = append(r.Charges, c)
	}
}

// evictForSpace makes space for a record in a full ledger. It removes expired
// charges and, if the ledger is still full, an arbitrary record.
func (l *CrashLedger) evictForSpace(now time.Time) {
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

// prune removes the expired charges of a request. It returns the request's record,
// or nil if no charge is left.
func (l *CrashLedger) prune(now time.Time, fingerprint uint64) *CrashRecord {
	r := l.records[fingerprint]
	if r == nil {
		return nil
	}
	r.Charges = slices.DeleteFunc(r.Charges, func(c CrashCharge) bool { return now.Sub(c.At) > crashChargeTTL })
	if len(r.Charges) == 0 {
		delete(l.records, fingerprint)
		return nil
	}
	return r
}

// Succeeded clears a request that succeeded.
func (l *CrashLedger) Succeeded(now time.Time, fingerprint uint64) {
	if l.records[fingerprint] == nil {
		return
	}
	delete(l.records, fingerprint)
	l.cleared[fingerprint] = now
	if len(l.cleared) > maxCrashRecords {
		l.evictCleared(now)
	}
}

// evictCleared removes the successes that are older than crashChargeTTL, since no
// charge before them counts. If too many are left, it removes all of them.
func (l *CrashLedger) evictCleared(now time.Time) {
	for fingerprint, at := range l.cleared {
		if now.Sub(at) > crashChargeTTL {
			delete(l.cleared, fingerprint)
		}
	}
	if len(l.cleared) > maxCrashRecords {
		clear(l.cleared)
	}
}

// Suspect reports whether a request is charged with the crash of a server. The
// caller must not run two suspects on a server at the same time.
func (l *CrashLedger) Suspect(now time.Time, fingerprint uint64) bool {
	return l.prune(now, fingerprint) != nil
}

// Refuse reports whether the request is charged with crashLimit crashes and must
// not run.
func (l *CrashLedger) Refuse(now time.Time, fingerprint uint64) bool {
	r := l.prune(now, fingerprint)
	return r != nil && len(r.Charges) >= crashLimit
}

// Len returns the number of requests with charges.
func (l *CrashLedger) Len() int { return len(l.records) }

// Records returns the records of at most n requests. Requests with more charges
// come first, and among those with equally many, the one with the newest charge.
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

// Merge adds the charges of another instance. Expired ones are ignored.
func (l *CrashLedger) Merge(now time.Time, records []CrashRecord) {
	for _, r := range records {
		for _, c := range r.Charges {
			if now.Sub(c.At) <= crashChargeTTL {
				l.charge(now, r.Fingerprint, c)
			}
		}
	}
}
