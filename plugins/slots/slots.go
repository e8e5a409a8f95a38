// Package slots lends call slots of backend servers between instances.
//
// Each instance owns a share of a server's concurrency limit. An instance whose
// share is used up, or 0 because the limit is smaller than the number of
// instances, asks an instance that holds a share. The lender counts a lent slot
// as in use until it is returned or its lease expires, so that the sum over all
// instances does not exceed the limit. The lease ends shortly after the
// borrower's deadline, at which its call ends too.
package slots

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

const (
	section = "slots"

	// methodBorrow and methodReturn are the methods called on other instances.
	methodBorrow = "slots.borrow"
	methodReturn = "slots.return"

	// leaseMargin is how long a lease lasts beyond the borrower's deadline.
	leaseMargin = 500 * time.Millisecond
	// maxLease is the longest lease that a borrower may ask for.
	maxLease = 10 * time.Minute
	// earlyReturnTTL is how long the return of a loan is kept if it arrives before
	// the request for the loan. maxEarlyReturns limits the number kept.
	earlyReturnTTL  = 30 * time.Second
	maxEarlyReturns = 1024
	// returnTimeout limits the call that returns a slot.
	returnTimeout = 2 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "slots",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "ask_timeout", Kind: config.Duration, Default: "100ms", Doc: "timeout of a request to another instance for a call slot"},
			{Section: section, Name: "ask", Kind: config.Int, Default: "2", Doc: "maximum number of instances asked for a call slot before the call is queued"},
			{Section: section, Name: "asks_per_second", Kind: config.Float, Default: "40", Doc: "maximum rate of requests for call slots that this instance sends to others"},
		},
		New: func() kernel.Module { return &Slots{loans: make(map[loanID]*loan)} },
	})
}

// Slots implements kernel.SlotBorrower and serves the borrow and return requests
// of other instances.
type Slots struct {
	host           *kernel.Host
	timeout        time.Duration
	maxAsked       int
	pendingReturns sync.WaitGroup // calls in progress that return slots

	limiter *rate.Limiter // limits borrow requests to other instances

	mu    sync.Mutex
	loans map[loanID]*loan // lent by this instance; guarded by mu
	// earlyReturns holds the times of returns that arrived before the request for
	// the loan, which happens when the request is delayed on the network; guarded
	// by mu.
	earlyReturns map[loanID]time.Time
	stopped      bool // guarded by mu
}

// loanID identifies a loan at the lender. The borrower chooses the number, so
// that it can return a slot even if the response that granted it was lost.
type loanID struct {
	borrower string
	number   uint64
}

// loan is a slot lent to another instance.
type loan struct {
	release func()
	expiry  *time.Timer
}

type borrowRequest struct {
	Server string `cbor:"1,keyasint"`
	// LeaseMS is the requested lease in milliseconds.
	LeaseMS int64  `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint"`
}

type borrowResponse struct {
	Lent bool `cbor:"1,keyasint"`
}

type returnRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Provision implements kernel.Provisioner.
func (s *Slots) Provision(h *kernel.Host) error {
	s.host = h
	s.timeout = h.Settings.Duration(section, "ask_timeout")
	s.maxAsked = h.Settings.Int(section, "ask")
	perSecond := h.Settings.Float(section, "asks_per_second")
	s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	if h.Peers != nil {
		h.Peers.Handle(methodBorrow, s.handleBorrow)
		h.Peers.Handle(methodReturn, s.handleReturn)
	}
	return nil
}

// Stop implements kernel.Stopper. It waits until the calls that return borrowed
// slots have ended, and drops the loans that this instance has granted.
func (s *Slots) Stop(context.Context) error {
	s.pendingReturns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for id, l := range s.loans {
		l.expiry.Stop()
		delete(s.loans, id)
	}
	return nil
}

// Borrow implements kernel.SlotBorrower. It asks up to the configured number of
// holders of a share, in random order, within the rate limit.
func (s *Slots) Borrow(ctx context.Context, server string) (func(), bool) {
	if s.host.Peers == nil || s.host.Membership == nil {
		return nil, false
	}
	holders := s.host.SlotHolders(server)
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	members := readyMembers(s.host.Membership.View())
	for _, id := range holders[:min(s.maxAsked, len(holders))] {
		m, ok := members[id]
		if !ok || !s.limiter.Allow() {
			continue
		}
		number := rand.Uint64()
		if s.requestSlot(ctx, m, server, number) {
			s.host.Counter("slots_borrowed").Inc(1)
			return s.returnFunc(m, number), true
		}
	}
	s.host.Counter("slots_denied").Inc(1)
	return nil, false
}

// readyMembers returns the ready members by ID.
func readyMembers(v *kernel.MemberView) map[string]kernel.Member {
	members := make(map[string]kernel.Member, len(v.Members))
	for _, m := range v.Members {
		if m.State == kernel.MemberReady {
			members[m.ID] = m
		}
	}
	return members
}

// requestSlot asks one instance for a slot. If the call fails, the slot may have
// been granted, so it is returned.
func (s *Slots) requestSlot(ctx context.Context, m kernel.Member, server string, number uint64) bool {
	lease := maxLease
	if deadline, ok := ctx.Deadline(); ok {
		lease = min(lease, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	body, err := s.host.Peers.Call(ctx, m, methodBorrow, encode(borrowRequest{server, lease.Milliseconds(), number}))
	if err != nil {
		s.host.Counter("slots_ask_errors").Inc(1)
		s.returnFunc(m, number)()
		return false
	}
	var response borrowResponse
	return cbor.Unmarshal(body, &response) == nil && response.Lent
}

// returnFunc returns a function that returns a borrowed slot to its lender in the
// background. If that call is lost, the lender cannot use the slot until the
// lease expires.
func (s *Slots) returnFunc(m kernel.Member, number uint64) func() {
	return func() {
		s.pendingReturns.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			if _, err := s.host.Peers.Call(ctx, m, methodReturn, encode(returnRequest{number})); err != nil {
				s.host.Counter("slots_return_errors").Inc(1)
			}
		})
	}
}

func (s *Slots) handleBorrow(_ context.Context, from string, body []byte) ([]byte, error) {
	var req borrowRequest
	if err := cbor.Unmarshal(body, &req); err != nil || req.LeaseMS <= 0 || req.LeaseMS > maxLease.Milliseconds() {
		return nil, errors.New("slots: malformed request")
	}
	release, ok := s.host.Lend(req.Server)
	if !ok {
		return encode(borrowResponse{}), nil
	}
	lease := time.Duration(req.LeaseMS) * time.Millisecond
	lent := s.lend(loanID{from, req.Number}, release, lease+leaseMargin)
	return encode(borrowResponse{lent}), nil
}

// lend records a loan that lasts for d and reports whether it is granted. It
// denies a loan whose ID is already lent or returned, so that a duplicate request
// does not take another slot.
func (s *Slots) lend(id loanID, release func(), d time.Duration) bool {
	s.mu.Lock()
	if _, returned := s.earlyReturns[id]; returned || s.stopped || s.loans[id] != nil {
		s.mu.Unlock()
		release()
		return false
	}
	defer s.mu.Unlock()
	expire := func() {
		if s.endLoan(id) {
			s.host.Counter("slots_expired").Inc(1)
		}
	}
	s.loans[id] = &loan{release: release, expiry: time.AfterFunc(d, expire)}
	s.host.Counter("slots_lent").Inc(1)
	return true
}

// endLoan ends a loan, releases its slot and reports whether there was one.
func (s *Slots) endLoan(id loanID) bool {
	s.mu.Lock()
	l := s.loans[id]
	delete(s.loans, id)
	s.mu.Unlock()
	if l == nil {
		return false
	}
	l.expiry.Stop()
	l.release()
	return true
}

// noteEarlyReturn records the return of a loan that this instance has not lent,
// so that a delayed request for it is denied.
func (s *Slots) noteEarlyReturn(id loanID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.earlyReturns == nil {
		s.earlyReturns = make(map[loanID]time.Time)
	}
	if len(s.earlyReturns) >= maxEarlyReturns {
		maps.DeleteFunc(s.earlyReturns, func(_ loanID, at time.Time) bool { return now.Sub(at) > earlyReturnTTL })
	}
	if len(s.earlyReturns) < maxEarlyReturns {
		s.earlyReturns[id] = now
	}
}

func (s *Slots) handleReturn(_ context.Context, from string, body []byte) ([]byte, error) {
	var req returnRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.New("slots: malformed request")
	}
	if id := (loanID{from, req.Number}); !s.endLoan(id) {
		s.noteEarlyReturn(id, time.Now())
	}
	return nil, nil
}

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic("slots: encode: " + err.Error())
	}
	return body
}

// Dump implements kernel.Dumper.
func (s *Slots) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	lent := make(map[string]int)
	for id := range s.loans {
		lent[id.borrower]++
	}
	return struct {
		Lent map[string]int `json:"lent_by_borrower"`
	}{lent}
}
