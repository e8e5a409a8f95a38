// Package slots lends call slots of backend servers between instances.
//
// Each instance owns a share of a server's limit. One whose share is used up,
// or 0 because the limit is smaller than the number of instances, asks an
// instance that holds a share. The lender counts a lent slot as taken until it
// comes back or its lease ends, so that the sum over all instances stays under
// the limit. The lease ends with the borrower's deadline, at which its call
// ends too.
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

	// methodBorrow and methodReturn are the requests between instances.
	methodBorrow = "slots.borrow"
	methodReturn = "slots.return"

	// leaseMargin is how long a lender waits past the borrower's deadline.
	leaseMargin = 500 * time.Millisecond
	// maxLease bounds a lease whatever the borrower asks for.
	maxLease = 10 * time.Minute
	// returnedMemory is how long a loan that came back early is remembered, and
	// maxReturned how many are.
	returnedMemory = 30 * time.Second
	maxReturned    = 1024
	// returnTimeout bounds the message that gives a slot back.
	returnTimeout = 2 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "slots",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "ask_timeout", Kind: config.Duration, Default: "100ms", Doc: "longest wait for another instance's answer to a request for a call slot"},
			{Section: section, Name: "ask", Kind: config.Int, Default: "2", Doc: "instances asked for a call slot before the call waits"},
			{Section: section, Name: "asks_per_second", Kind: config.Float, Default: "40", Doc: "most requests for call slots that this instance sends a second"},
		},
		New: func() kernel.Module { return &Slots{loans: make(map[loanID]*loan)} },
	})
}

// Slots implements kernel.SlotBorrower and answers the requests of others.
type Slots struct {
	host    *kernel.Host
	timeout time.Duration
	ask     int
	pending sync.WaitGroup // messages that give slots back

	limiter *rate.Limiter // of requests to other instances

	mu    sync.Mutex
	loans map[loanID]*loan // lent by this instance; guarded by mu
	// returned holds loans that were given back before they were asked for, as
	// happens when the request was held up on its way; guarded by mu.
	returned map[loanID]time.Time
	stopped  bool // guarded by mu
}

// loanID identifies a loan at the lender. The borrower chooses the number, so
// that it can give back a slot whose grant did not reach it.
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
	// LeaseMS is how long the slot is wanted, in milliseconds.
	LeaseMS int64  `cbor:"2,keyasint"`
	Number  uint64 `cbor:"3,keyasint"`
}

type borrowAnswer struct {
	Lent bool `cbor:"1,keyasint"`
}

type returnRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Provision implements kernel.Provisioner.
func (s *Slots) Provision(h *kernel.Host) error {
	s.host = h
	s.timeout = h.Settings.Duration(section, "ask_timeout")
	s.ask = h.Settings.Int(section, "ask")
	perSecond := h.Settings.Float(section, "asks_per_second")
	s.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	if h.Peers != nil {
		h.Peers.Handle(methodBorrow, s.handleBorrow)
		h.Peers.Handle(methodReturn, s.handleReturn)
	}
	return nil
}

// Stop implements kernel.Stopper: it waits until borrowed slots were given back
// and ends the leases of lent ones.
func (s *Slots) Stop(context.Context) error {
	s.pending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for id, l := range s.loans {
		l.expiry.Stop()
		delete(s.loans, id)
	}
	return nil
}

// Borrow implements kernel.SlotBorrower.
func (s *Slots) Borrow(ctx context.Context, server string) (func(), bool) {
	if s.host.Peers == nil || s.host.Membership == nil {
		return nil, false
	}
	holders := s.host.SlotHolders(server)
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	members := byID(s.host.Membership.View())
	for _, id := range holders[:min(s.ask, len(holders))] {
		m, ok := members[id]
		if !ok || !s.limiter.Allow() {
			continue
		}
		number := rand.Uint64()
		if s.request(ctx, m, server, number) {
			s.host.Counter("slots_borrowed").Inc(1)
			return s.giveBack(m, number), true
		}
	}
	s.host.Counter("slots_denied").Inc(1)
	return nil, false
}

func byID(v *kernel.MemberView) map[string]kernel.Member {
	members := make(map[string]kernel.Member, len(v.Members))
	for _, m := range v.Members {
		if m.State == kernel.MemberReady {
			members[m.ID] = m
		}
	}
	return members
}

// request asks one instance for a slot. A slot whose grant may have been lost on
// its way is given back.
func (s *Slots) request(ctx context.Context, m kernel.Member, server string, number uint64) bool {
	wanted := maxLease
	if deadline, ok := ctx.Deadline(); ok {
		wanted = min(wanted, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	body, err := s.host.Peers.Call(ctx, m, methodBorrow, encode(borrowRequest{server, wanted.Milliseconds(), number}))
	if err != nil {
		s.host.Counter("slots_ask_errors").Inc(1)
		s.giveBack(m, number)()
		return false
	}
	var answer borrowAnswer
	return cbor.Unmarshal(body, &answer) == nil && answer.Lent
}

// giveBack returns a function that gives a borrowed slot back. A message that
// is lost costs the lender the slot until the lease ends.
func (s *Slots) giveBack(m kernel.Member, number uint64) func() {
	return func() {
		s.pending.Go(func() {
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
		return encode(borrowAnswer{}), nil
	}
	wanted := time.Duration(req.LeaseMS) * time.Millisecond
	lent := s.lend(loanID{from, req.Number}, release, wanted+leaseMargin)
	return encode(borrowAnswer{lent}), nil
}

// lend records a loan. A repeated request of the same loan gets nothing.
func (s *Slots) lend(id loanID, release func(), d time.Duration) bool {
	s.mu.Lock()
	if _, late := s.returned[id]; late || s.stopped || s.loans[id] != nil {
		s.mu.Unlock()
		release()
		return false
	}
	defer s.mu.Unlock()
	expire := func() {
		if s.end(id) {
			s.host.Counter("slots_expired").Inc(1)
		}
	}
	s.loans[id] = &loan{release: release, expiry: time.AfterFunc(d, expire)}
	s.host.Counter("slots_lent").Inc(1)
	return true
}

// end ends a loan. It reports whether there was one.
func (s *Slots) end(id loanID) bool {
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

// noteReturned remembers a loan that was given back before it was asked for.
func (s *Slots) noteReturned(id loanID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned == nil {
		s.returned = make(map[loanID]time.Time)
	}
	if len(s.returned) >= maxReturned {
		maps.DeleteFunc(s.returned, func(_ loanID, at time.Time) bool { return now.Sub(at) > returnedMemory })
	}
	if len(s.returned) < maxReturned {
		s.returned[id] = now
	}
}

func (s *Slots) handleReturn(_ context.Context, from string, body []byte) ([]byte, error) {
	var req returnRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.New("slots: malformed request")
	}
	if id := (loanID{from, req.Number}); !s.end(id) {
		s.noteReturned(id, time.Now())
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
