// Package membership maintains the view of the fleet's instances.
//
// The module "membership.gossip" discovers other instances by heartbeats over
// UDP, which also carry digests. With the module "membership.static", the
// baseline, the view holds only the instance itself.
package membership

import (
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/kernel"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "membership.static",
		Phase: kernel.PhaseMembership,
		New:   func() kernel.Module { return &Static{} },
	})
}

// Static implements kernel.Membership with a view that holds only the instance
// itself.
type Static struct {
	view atomic.Pointer[kernel.MemberView]
	self kernel.Member
}

// Provision implements kernel.Provisioner.
func (s *Static) Provision(h *kernel.Host) error {
	s.self = kernel.Member{ID: h.ID(), Boot: uuid.NewString(), Zone: h.Zone()}
	s.SetState(kernel.MemberStarting)
	return nil
}

// View implements kernel.Membership.
func (s *Static) View() *kernel.MemberView { return s.view.Load() }

// Subscribe implements kernel.Membership. It never calls the function, not even
// when SetState changes the instance's own state: no member joins or leaves.
func (s *Static) Subscribe(func(*kernel.MemberView)) {}

// SetState implements kernel.Membership.
func (s *Static) SetState(state kernel.MemberState) {
	self := s.self
	self.State = state
	self.LastSeen = time.Now()
	s.view.Store(&kernel.MemberView{Self: self, Members: []kernel.Member{self}})
}
