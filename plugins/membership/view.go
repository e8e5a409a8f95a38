package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// viewVersion identifies the contents of a view. Subscribers are notified only
// when it changes.
type viewVersion struct {
	version   uint64 // policy.MemberTable.Version
	revisions uint64 // policy.MemberTable.Revisions
}

var memberStates = map[policy.MemberStatus]kernel.MemberState{
	policy.MemberStarting: kernel.MemberStarting,
	policy.MemberReady:    kernel.MemberReady,
	policy.MemberLeaving:  kernel.MemberLeaving,
	policy.MemberSuspect:  kernel.MemberSuspect,
	policy.MemberGone:     kernel.MemberGone,
}

// View implements kernel.Membership.
func (g *Gossip) View() *kernel.MemberView { return g.view.Load() }

// Subscribe implements kernel.Membership.
func (g *Gossip) Subscribe(f func(*kernel.MemberView)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers = append(g.subscribers, f)
}

// storeView builds a view from the member table and makes it the current one.
// The caller holds mu.
func (g *Gossip) storeView(now time.Time) {
	infos := g.table.View(now)
	v := &kernel.MemberView{Members: make([]kernel.Member, 0, len(infos)+1)}
	v.Self = member(policy.MemberInfo{Record: g.table.Self(), Status: g.table.Self().Status, LastHeard: now})
	v.Members = append(v.Members, v.Self)
	for _, info := range infos {
		v.Members = append(v.Members, member(info))
	}
	slices.SortFunc(v.Members, func(a, b kernel.Member) int { return strings.Compare(a.ID, b.ID) })
	g.view.Store(v)
}

func member(info policy.MemberInfo) kernel.Member {
	r := info.Record
	return kernel.Member{
		ID: r.ID, Boot: strconv.FormatUint(r.Boot, 16), Zone: r.Zone, State: memberStates[info.Status],
		Incarnation: r.Incarnation, GossipAddress: r.GossipAddress, PeerAddress: r.PeerAddress,
		ConfigRevision: r.Revision, LastSeen: info.LastHeard,
	}
}

// publish stores a new view if the member table changed or the current view is
// older than a second, and notifies the subscribers of a change.
func (g *Gossip) publish(now time.Time) {
	g.mu.Lock()
	current := viewVersion{version: g.table.Version(), revisions: g.table.Revisions()}
	changed := current != g.notified
	g.notified = current
	if changed || now.Sub(g.view.Load().Self.LastSeen) >= time.Second {
		g.storeView(now)
	}
	subscribers := g.subscribers
	g.mu.Unlock()
	if !changed {
		return
	}
	g.updateMemberGauges()
	v := g.view.Load()
	for _, f := range subscribers {
		f(v)
	}
}

// updateMemberGauges sets the gauges for the number of members in each state.
func (g *Gossip) updateMemberGauges() {
	counts := make(map[kernel.MemberState]int64)
	for _, m := range g.view.Load().Members {
		counts[m.State]++
	}
	for _, state := range memberStates {
		g.host.Gauge(`members{state="` + string(state) + `"}`).Update(counts[state])
	}
}

// gossipDump is the module's section of the instance's state dump.
type gossipDump struct {
	Members   []kernel.Member `json:"members"`
	Digests   []string        `json:"digests"`
	Conflicts uint64          `json:"conflicts"`
	Secrets   int             `json:"secrets"`
}

// Dump implements kernel.Dumper.
func (g *Gossip) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := gossipDump{Members: g.view.Load().Members, Conflicts: g.table.Conflicts, Secrets: len(g.keyring.Secrets())}
	for kind := range g.sources {
		d.Digests = append(d.Digests, kind)
	}
	slices.Sort(d.Digests)
	return d
}
