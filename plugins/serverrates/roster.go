package serverrates

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// settleTime is the time after which all instances have learned of a change of the
// members: a few reads of the member list.
const settleTime = 3 * time.Second

// roster holds the member lists of the last settleTime, so that an instance knows for
// how long it has been the grantor of a server.
type roster struct {
	mu    sync.Mutex
	lists []memberList // oldest first; guarded by mu
}

// memberList is a member list as it was known from a time until the next one.
type memberList struct {
	from    time.Time
	members []kernel.FleetMember
}

// members returns the known members. Without a fleet this instance is the only one.
func (*roster) members(h *kernel.Host) []kernel.FleetMember {
	if h.Fleet == nil {
		return []kernel.FleetMember{{ID: h.ID(), Zone: h.Zone(), Capacity: 1}}
	}
	return h.Fleet.Members()
}

// update records the known members and returns the lists of the last settleTime. In a
// new process the first list is empty.
func (r *roster) update(now time.Time, h *kernel.Host) []memberList {
	members := r.members(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lists) == 0 && h.Fleet != nil {
		r.lists = append(r.lists, memberList{from: now})
	}
	if n := len(r.lists); n == 0 || !slices.Equal(r.lists[n-1].members, members) {
		r.lists = append(r.lists, memberList{now, members})
	}
	for len(r.lists) > 1 && now.Sub(r.lists[1].from) >= settleTime {
		r.lists = r.lists[1:]
	}
	return slices.Clone(r.lists)
}

// role returns this instance's role in the division of a server's rate. It is settled
// if the rank has been the same in all lists of the last settleTime.
func (r *roster) role(now time.Time, h *kernel.Host, server *catalog.Server) policy.GrantorRole {
	lists := r.update(now, h)
	rank := func(l memberList) int {
		return slices.IndexFunc(kernel.FleetRanking(server.ID, server.Zone, l.members), func(m kernel.FleetMember) bool { return m.ID == h.ID() })
	}
	role := policy.GrantorRole{Rank: rank(lists[len(lists)-1]), Settled: h.Fleet == nil || h.Fleet.Confirmed()}
	for _, l := range lists[:len(lists)-1] {
		role.Settled = role.Settled && rank(l) == role.Rank
	}
	return role
}
