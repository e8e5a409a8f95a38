package kernel

import (
	"context"
	"slices"

	"github.com/savoryfold/savoryfold/policy"
)

// Lend reserves one of this instance's free call slots on a server, named
// "pool/name", for another instance. The release function returns the slot and
// must be called exactly once. Lend returns false while calls wait for a slot
// here.
func (h *Host) Lend(server string) (release func(), ok bool) {
	p, s := h.findServer(server)
	if s == nil || p.waiters.hasWaiting() || !p.usable(s) || !s.takeSlot() {
		return nil, false
	}
	s.lent.Add(1)
	return func() {
		s.lent.Add(-1)
		s.inFlight.Add(-1)
		p.slotFreed()
	}, true
}

// IdleSlots returns the number of free call slots that this instance could lend
// on a server, named "pool/name".
func (h *Host) IdleSlots(server string) int {
	p, s := h.findServer(server)
	if s == nil || p.waiters.hasWaiting() || !p.usable(s) {
		return 0
	}
	return int(max(0, s.allowance.Load()+s.borrowed.Load()-s.inFlight.Load()))
}

// SlotHolders returns the IDs of the other instances that hold a share of the
// limit of a server, named "pool/name", in rank order.
func (h *Host) SlotHolders(server string) []string {
	_, s := h.findServer(server)
	if s == nil {
		return nil
	}
	members := h.runtime.sharers.current()
	limit := int(s.totalLimit.Load())
	sharers := members.countSharers(s.home)
	holders := make([]string, len(members.list))
	for _, m := range members.list {
		rank := members.rank(m.id, s.home, s.hash)
		if m.id != h.ID() && h.Decisions.Limits.Share(limit, rank, sharers) > 0 {
			holders[rank] = m.id
		}
	}
	return slices.DeleteFunc(holders, func(id string) bool { return id == "" })
}

// findServer returns the server with the ID and its pool, or nil for both.
func (h *Host) findServer(id string) (*Pool, *Server) {
	snap := h.Snapshot()
	if snap == nil {
		return nil, nil
	}
	for _, p := range snap.pools {
		for _, s := range p.Servers {
			if s.ID == id {
				return p, s
			}
		}
	}
	return nil, nil
}

// usable reports whether the server may get new calls now.
func (p *Pool) usable(s *Server) bool {
	v := p.newView(&slotRequest{})
	defer v.recycle()
	return v.usable(s)
}

// borrow takes a call slot from another instance. Placement chooses the server
// as if every server had a free slot. It returns nil if no slot is lent.
func (p *Pool) borrow(ctx context.Context, req *slotRequest) *Server {
	borrower := p.host.Borrower
	if borrower == nil {
		return nil
	}
	v := p.newView(req)
	defer v.recycle()
	v.borrowing = true
	choice := p.choose(req, v)
	if choice.Index == policy.NoServer {
		return nil
	}
	s := p.Servers[choice.Index]
	release, ok := borrower.Borrow(ctx, s.ID)
	if !ok {
		return nil
	}
	until, _ := ctx.Deadline()
	s.acquireBorrowed(slotLoan{until, release})
	p.reasons.count(reasonBorrowed)
	return s
}
