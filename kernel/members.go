package kernel

import (
	"time"
)

// MemberState is the state of an instance as another instance sees it.
type MemberState string

// The states of a member.
const (
	MemberStarting MemberState = "starting"
	MemberReady    MemberState = "ready"
	MemberLeaving  MemberState = "leaving"
	MemberSuspect  MemberState = "suspect"
	MemberGone     MemberState = "gone"
)

// Member is one instance.
type Member struct {
	ID string `json:"id"`
	// Boot changes with every start of the process.
	Boot        string      `json:"boot"`
	Zone        string      `json:"zone"`
	State       MemberState `json:"state"`
	Incarnation uint64      `json:"incarnation"`
	// GossipAddress receives heartbeats (UDP), PeerAddress requests (QUIC).
	GossipAddress string `json:"gossip_address"`
	PeerAddress   string `json:"peer_address"`
	// ConfigRevision is the revision of the member's active configuration
	// tables.
	ConfigRevision uint64    `json:"config_revision"`
	LastSeen       time.Time `json:"last_seen"`
}

// MemberView is an immutable view of all members, sorted by ID. It holds at
// least the instance itself.
type MemberView struct {
	Self    Member
	Members []Member
}

// Live returns the members that may handle requests: those ready or suspect.
func (v *MemberView) Live() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.State == MemberReady || m.State == MemberSuspect {
			out = append(out, m)
		}
	}
	return out
}

// Membership tracks the other instances.
type Membership interface {
	View() *MemberView
	// Subscribe calls f after every change of the view.
	Subscribe(f func(*MemberView))
	// SetState announces the instance's own state to the others.
	SetState(s MemberState)
}
