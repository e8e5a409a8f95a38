package kernel

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Server is one backend server of a snapshot: its configuration and its runtime
// state. The state is kept across revisions while the configuration tables list
// the server with the same address.
type Server struct {
	Config config.Server
	pool   *poolState
	home   home
	*serverState
}

// serverState is the runtime state of one backend server.
type serverState struct {
	// ID is "pool/name".
	ID   string
	hash uint64

	inFlight         atomic.Int64
	borrowed         atomic.Int64 // call slots borrowed from other instances
	lent             atomic.Int64 // call slots lent to other instances; included in inFlight
	sentSinceReport  atomic.Int64 // calls sent since the last load report
	doneSinceReport  atomic.Int64 // calls finished since the last load report
	smoothedCallTime atomic.Int64 // nanoseconds
	sampled          atomic.Bool  // a call succeeded since the last refresh
	report           atomic.Pointer[policy.LoadReport]
	totalLimit       atomic.Int64 // concurrency limit over all instances
	allowance        atomic.Int64 // this instance's share of the limit
	cold             atomic.Bool
	lastProgress     atomic.Int64 // Unix nanoseconds when a call last ended, or started on an idle server
	excluded         atomic.Bool  // not in the active tables, leaving, or in a zone taken out of service
	ejected          atomic.Int64 // Unix nanoseconds until which the server is ejected

	limits policy.Limits

	mu       sync.Mutex
	limit    policy.ServerLimit // guarded by mu
	ejector  policy.Ejector     // guarded by mu
	position sharePosition      // guarded by mu
	loans    []slotLoan         // sorted by expiry; guarded by mu
}

// slotLoan is a call slot borrowed from another instance.
type slotLoan struct {
	until   time.Time // when the lender regards it as returned
	release func()
}

// maxClockSkew is how far ahead of this instance's clock the time of a load
// report may be.
const maxClockSkew = time.Second

// sharePosition is the position of this instance among the instances that share
// a server's limit.
type sharePosition struct {
	epoch   uint64
	home    home
	rank    int
	sharers policy.Sharers
	// withheld is true while the instance must not use its share yet, because
	// other instances may not know of it.
	withheld bool
}

// smoothingDivisor sets the weight of a new sample in the smoothed call time:
// 1/8.
const smoothingDivisor = 8

func newServerState(c config.Server, pool *config.Pool, d *Decisions, now time.Time) *serverState {
	s := &serverState{ID: c.ID()}
	s.hash = xxhash.Sum64String(s.ID)
	s.limits = d.Limits
	s.limit = d.Limits.New(now, limitConfig(pool))
	s.ejector = d.ejections().NewEjector()
	return s
}

func limitConfig(pool *config.Pool) policy.LimitConfig {
	return policy.LimitConfig{Cold: pool.ColdLimit, Max: pool.Limit}
}

// configure applies the limits of a new revision of the pool.
func (s *serverState) configure(pool *config.Pool) {
	s.mu.Lock()
	s.limit.Configure(limitConfig(pool))
	s.mu.Unlock()
}

// hasFreeSlot reports whether a call slot is free.
func (s *serverState) hasFreeSlot() bool {
	return s.inFlight.Load() < s.allowance.Load()+s.borrowed.Load()
}

// acquire takes a call slot if one is free.
func (s *serverState) acquire() bool {
	if !s.takeSlot() {
		return false
	}
	s.sentSinceReport.Add(1)
	return true
}

func (s *serverState) takeSlot() bool {
	for {
		n := s.inFlight.Load()
		if n >= s.allowance.Load()+s.borrowed.Load() {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			if n <= s.lent.Load() {
				s.lastProgress.Store(time.Now().UnixNano())
			}
			return true
		}
	}
}

// acquireBorrowed takes a call slot that another instance lends. It counts the
// call before the slot, so that no other call takes the slot.
func (s *serverState) acquireBorrowed(l slotLoan) {
	s.mu.Lock()
	at, _ := slices.BinarySearchFunc(s.loans, l, func(a, b slotLoan) int { return a.until.Compare(b.until) })
	s.loans = slices.Insert(s.loans, at, l)
	s.mu.Unlock()
	if s.inFlight.Add(1) <= s.lent.Load()+1 {
		s.lastProgress.Store(time.Now().UnixNano())
	}
	s.borrowed.Add(1)
	s.sentSinceReport.Add(1)
}

// release returns a call slot, a borrowed one first. It removes a borrowed slot
// before it uncounts the call, so that no other call takes the slot.
func (s *serverState) release() {
	repay := s.takeLoan()
	s.inFlight.Add(-1)
	s.doneSinceReport.Add(1)
	s.lastProgress.Store(time.Now().UnixNano())
	if repay != nil {
		repay()
	}
}

// takeLoan removes the loan that expires first. It returns the function that
// returns the slot to its lender, or nil if there is no loan. Calls are not tied
// to slots, so the calls still running keep the loans that last longest.
func (s *serverState) takeLoan() func() {
	if s.borrowed.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loans) == 0 {
		return nil
	}
	first := s.loans[0]
	s.loans = slices.Delete(s.loans, 0, 1)
	s.borrowed.Add(-1)
	return first.release
}

// observe updates the server's state with the result of a call.
func (s *Server) observe(now time.Time, sample policy.CallSample) {
	s.pool.observe(sample)
	if sample.OK {
		s.updateCallTime(sample.Latency)
	}
	sample.Allowance = int(s.allowance.Load() + s.borrowed.Load())
	s.mu.Lock()
	s.limit.Observe(now, sample)
	s.apply(now)
	s.mu.Unlock()
	s.checkOutlier(now, sample)
}

func (s *serverState) updateCallTime(latency time.Duration) {
	s.sampled.Store(true)
	old := s.smoothedCallTime.Load()
	if old == 0 {
		s.smoothedCallTime.Store(int64(latency))
		return
	}
	s.smoothedCallTime.Store(old + (int64(latency)-old)/smoothingDivisor)
}

// decayCallTime moves the smoothed call time of a server without calls towards
// the mean of its pool.
func (s *serverState) decayCallTime(poolMean time.Duration) {
	old := s.smoothedCallTime.Load()
	if s.sampled.Swap(false) || old == 0 || poolMean == 0 || s.inFlight.Load() > 0 {
		return
	}
	s.smoothedCallTime.Store(old + (int64(poolMean)-old)/decayDivisor)
}

// Report applies a load report of the server. Reports that are not newer than
// the last one of the same boot are ignored.
func (s *serverState) Report(now time.Time, r policy.LoadReport) {
	r.Boot = policy.BootKey(r.Boot)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.report.Load()
	// If the clock of a server was ahead and has been corrected, its reports are
	// ignored until their time passes that of the last one. The cap on the time
	// limits how long that takes.
	if latest := now.Add(maxClockSkew); r.At.After(latest) {
		r.At = latest
	}
	if old != nil && r.Boot == old.Boot && !r.At.After(old.At) {
		return
	}
	s.report.Store(&r)
	s.sentSinceReport.Store(0)
	s.doneSinceReport.Store(0)
	s.limit.Report(now, r)
	s.apply(now)
}

// refresh recomputes this instance's share of the limit. It compares the time
// without progress to a high quantile of the pool's call times to detect a
// stalled server.
func (s *Server) refresh(now time.Time, self string, r roster, highCallTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Duration(now.UnixNano() - s.lastProgress.Load())
	if s.inFlight.Load() > s.lent.Load() && policy.Stalled(since, highCallTime) {
		s.limit.Stalled(now)
	}
	p := &s.position
	if p.epoch != r.epoch || p.home != s.home {
		*p = sharePosition{r.epoch, s.home, r.rank(self, s.home, s.hash), r.countSharers(s.home), false}
	}
	p.withheld = r.withheld
	s.apply(now)
}

// apply publishes the current limit and allowance. It runs on every call result,
// load report and refresh, so that a server that turned cold gets no more calls
// than it can take as soon as that is detected. The caller holds mu.
func (s *serverState) apply(now time.Time) {
	limit := s.limit.Limit(now)
	rank := s.position.rank
	if s.position.withheld {
		rank = s.position.sharers.Members
	}
	s.cold.Store(s.limit.Cold(now))
	s.totalLimit.Store(int64(limit))
	s.allowance.Store(int64(s.limits.Share(limit, rank, s.position.sharers)))
}

// candidate returns the server's state as input for placement.
func (s *Server) candidate(usable, local bool) policy.Candidate {
	c := policy.Candidate{
		Usable:   usable,
		Local:    local,
		InFlight: int(s.inFlight.Load()),
		Limit:    int(s.allowance.Load() + s.borrowed.Load()),
		Total:    int(s.totalLimit.Load()),
		Expected: time.Duration(s.smoothedCallTime.Load()),
		ID:       s.hash,
	}
	if r := s.report.Load(); r != nil {
		c.Reported = max(0, r.Running+r.Waiting+int(s.sentSinceReport.Load()-s.doneSinceReport.Load()))
	}
	return c
}

// ServerDump is the state of a server in a Dump.
type ServerDump struct {
	ID        string             `json:"id"`
	Zone      string             `json:"zone"`
	Address   string             `json:"address"`
	Version   string             `json:"version,omitempty"`
	InFlight  int64              `json:"in_flight"`
	Borrowed  int64              `json:"borrowed"`
	Limit     int64              `json:"limit"`
	Allowance int64              `json:"allowance"`
	Cold      bool               `json:"cold"`
	Expected  string             `json:"expected"`
	Ejected   string             `json:"ejected_until,omitempty"`
	Report    *policy.LoadReport `json:"report,omitempty"`
}

func (s *Server) dump() ServerDump {
	d := ServerDump{
		ID: s.ID, Zone: s.Config.Zone, Address: s.Config.Address, Version: s.Config.Version,
		InFlight: s.inFlight.Load(), Borrowed: s.borrowed.Load(),
		Limit: s.totalLimit.Load(), Allowance: s.allowance.Load(), Cold: s.cold.Load(),
		Expected: time.Duration(s.smoothedCallTime.Load()).String(),
		Report:   s.report.Load(),
	}
	if until := s.ejected.Load(); until > 0 {
		d.Ejected = time.Unix(0, until).UTC().Format(time.RFC3339Nano)
	}
	return d
}
