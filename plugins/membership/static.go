// Package membership knows the other instances.
//
// The module "membership.gossip" learns of them by heartbeats over UDP, and
// spreads digests with the heartbeats. The module "membership.static" is the
// baseline: the instance knows only itself.
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

// Static implements kernel.Membership with a view that holds the instance only.
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

// Subscribe implements kernel.Membership. The view's members never change.
func (s *Static) Subscribe(func(*kernel.MemberView)) {}

// SetState implements kernel.Membership.
func (s *Static) SetState(state kernel.MemberState) {
	self := s.self
	self.State = state
	self.LastSeen = time.Now()
	s.view.Store(&kernel.MemberView{Self: self, Members: []kernel.Member{self}})
}
