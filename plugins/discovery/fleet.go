package discovery

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// fleetGroup is the group in the store that every instance joins. Each heartbeat
// renews the membership, so that the members are the live instances.
const fleetGroup = "fleet"

// joinsPerTTL is the number of heartbeats (joins) within the TTL of a member.
const joinsPerTTL = 3

// membersRefreshInterval limits the age of the member list that this instance
// reads from the store while the group's generation stays the same.
const membersRefreshInterval = 5 * time.Second

// refreshesPerJoin is the number of refreshes of the member list for each
// heartbeat.
const refreshesPerJoin = 2

const (
	membersPath = "/members"
	// membersTimeout limits the call that gets the members from the zone's reader.
	membersTimeout = 400 * time.Millisecond
)

// leaveTimeout limits the call that leaves the fleet. If the call fails, the
// entry expires by itself.
const leaveTimeout = 500 * time.Millisecond

// memberSeparator separates the fields of a member's name. No ID, zone or
// address contains it.
const memberSeparator = "|"

// joinFleet keeps this instance in the fleet and its member list up to date. It
// leaves the fleet when the context ends or d.leaving is closed.
func (d *Discovery) joinFleet(ctx context.Context) {
	settings := d.host.Settings
	f := &fleetMembership{
		d: d, ttl: settings.Duration(section, "member_ttl"),
		self: kernel.FleetMember{ID: d.host.ID(), Zone: d.host.Zone(), Address: settings.String(section, "peer_address"), Capacity: settings.Float(section, "capacity")},
	}
	f.topicCount = uint64(max(1, settings.Int(section, "member_topics")))
	ticker := time.NewTicker(f.ttl / joinsPerTTL / refreshesPerJoin)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%refreshesPerJoin == 0 {
			f.join(ctx)
		}
		f.refreshMembers(ctx, time.Now())
		select {
		case <-ticker.C:
			continue
		case <-d.leaving:
		case <-ctx.Done():
		}
		f.leave(ctx)
		return
	}
}

// fleetMembership is this instance's membership in the fleet. Only the goroutine
// of joinFleet uses it.
type fleetMembership struct {
	d    *Discovery
	self kernel.FleetMember
	ttl  time.Duration
	// topicOffset selects the topic, of topicCount, whose partitions this instance
	// shares with others. The store divides each topic evenly among its members,
	// independently of other topics, so that a member that joins with many topics
	// may get no partition of any. With a single topic each of its members gets a
	// partition, unless there are more members than partitions.
	topicOffset, topicCount uint64
	// heldPartitions is the number of partitions that the last join assigned.
	// emptyJoins counts the consecutive joins that assigned none.
	heldPartitions, emptyJoins int
	// generation is the group's generation at the last join. listedGeneration is
	// the generation for which the members were last read from the store, at
	// listedAt.
	generation, listedGeneration uint64
	listedAt                     time.Time
	// era is the store's era of the generations.
	era uint64
}

// emptyJoinsPerTopic is the number of joins without a partition after which an
// instance changes to another topic. Other members give up partitions only with
// their next join or the one after it.
const emptyJoinsPerTopic = 4

// maxMemberTopics bounds the topics of members. The store has 100 topics at most, of which
// others are used for records.
const maxMemberTopics = 80

// topicName returns the topic that this instance currently joins with.
func (f *fleetMembership) topicName() string {
	return fmt.Sprintf("fleet-%d", (policy.Rendezvous(fleetGroup, f.self.ID)+f.topicOffset)%f.topicCount)
}

// join sends a heartbeat to the store. If the store takes partitions from this
// instance, it hands them to others only after this instance has confirmed the
// new generation, so join sends a second heartbeat at once.
func (f *fleetMembership) join(ctx context.Context) {
	held := f.heldPartitions
	if !f.joinOnce(ctx) {
		return
	}
	if f.heldPartitions < held {
		f.joinOnce(ctx)
	}
	if f.heldPartitions > 0 {
		f.emptyJoins = 0
		return
	}
	if f.emptyJoins++; f.emptyJoins%emptyJoinsPerTopic == 0 {
		f.changeTopic()
	}
}

// changeTopic selects another topic, and of twice as many topics as before once the first
// change was in vain too: the fleet has more instances than all topics have partitions. Members
// are read from all topics of the group, so that instances need not agree on the number.
func (f *fleetMembership) changeTopic() {
	f.topicOffset++
	if f.emptyJoins > emptyJoinsPerTopic && f.topicCount < maxMemberTopics {
		f.topicCount = min(2*f.topicCount, maxMemberTopics)
		f.d.host.Counter("member_topics_added").Inc(1)
	}
	f.d.host.Logger.Info("no partition assigned, changing to another topic", "topic", f.topicName(), "topics", f.topicCount, "joins", f.emptyJoins)
}

// joinOnce sends one heartbeat and reports whether it succeeded.
func (f *fleetMembership) joinOnce(ctx context.Context) bool {
	d := f.d
	f.checkEra()
	group, err := d.client.Join(ctx, fleetGroup, encodeMember(f.self), []string{f.topicName()}, f.ttl, f.generation)
	if err != nil {
		d.host.Counter(`store_calls_failed{call="join"}`).Inc(1)
		d.noteLoadFailed()
		if !d.storeUnresponsive.Swap(true) {
			d.host.Logger.Warn("metadata store does not answer the heartbeat", "error", err)
		}
		return false
	}
	f.generation, f.heldPartitions = group.Generation, len(group.Partitions)
	if d.storeUnresponsive.Swap(false) {
		d.host.Logger.Info("metadata store answers the heartbeat again, restarting store reads")
		now := time.Now()
		d.noteStoreAvailable(now)
		if since := d.cutOffSince.Load(); since != nil {
			// The readers need time to find the store available, too.
			d.cutOffSince.CompareAndSwap(since, &now)
		}
		interruptReads(d.watches())
	}
	return true
}

// checkEra drops the generations of an earlier era of the store.
func (f *fleetMembership) checkEra() {
	if era := f.d.client.Era(); era != f.era {
		f.era, f.generation, f.listedGeneration, f.listedAt = era, 0, 0, time.Time{}
	}
}

// refreshMembers updates the member list from the zone's reader. It reads the
// store instead if this instance is the reader, the reader cannot serve a list, or
// that list lacks this instance.
func (f *fleetMembership) refreshMembers(ctx context.Context, now time.Time) {
	d := f.d
	f.checkEra()
	if reader, _ := d.usableReader(now); reader.ID != "" {
		if members, ok := d.readMembers(ctx, reader); ok {
			d.setMembers(members)
			return
		}
	}
	if d.storeUnresponsive.Load() || d.Members() != nil && !d.mayReadStore(now) || f.listedGeneration == f.generation && now.Sub(f.listedAt) < membersRefreshInterval {
		return
	}
	parts, err := d.client.Owners(ctx, fleetGroup)
	if err != nil {
		d.host.Logger.Warn("cannot read fleet members", "error", err)
		d.noteLoadFailed()
		return
	}
	f.listedGeneration, f.listedAt = f.generation, now
	d.setMembers(membersOf(parts, f.self))
}

// leave takes this instance out of the fleet, so that others send it no more
// work.
func (f *fleetMembership) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := f.d.client.Leave(ctx, fleetGroup, encodeMember(f.self)); err != nil {
		f.d.host.Logger.Warn("cannot leave the fleet, the entry expires", "after", f.ttl, "error", err)
	}
}

// setMembers replaces the member list.
//
// A restored store has forgotten the memberships. Until each instance has had the time to
// join again, those that were known before are kept.
func (d *Discovery) setMembers(members []kernel.FleetMember) {
	if d.restoredWithin(time.Now(), d.host.Settings.Duration(section, "member_ttl")) {
		members = mergeMembers(members, d.Members())
	}
	old := d.members.Swap(&members)
	if old == nil {
		d.mu.Lock()
		d.noteLoaded()
		d.mu.Unlock()
	}
	if old == nil || !slices.Equal(*old, members) {
		d.host.Logger.Info("fleet members changed", "members", len(members))
		d.host.Gauge("fleet_members").Update(int64(len(members)))
	}
}

// serveMembers serves the member list to another instance of the zone.
func (d *Discovery) serveMembers(w http.ResponseWriter, _ *http.Request) {
	if !d.canServeReads() {
		http.Error(w, notServingReads, http.StatusServiceUnavailable)
		return
	}
	body, err := cbor.Marshal(d.Members())
	if err != nil {
		panic("discovery: members: " + err.Error())
	}
	_, _ = w.Write(body) // a peer that has disconnected needs no response
}

// readMembers gets the members from the zone's reader. It reports false if the
// call fails or the list lacks this instance.
func (d *Discovery) readMembers(ctx context.Context, reader kernel.FleetMember) ([]kernel.FleetMember, bool) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	data, err := d.host.PeerCalls.CallPeer(ctx, reader.Address, membersPath, nil)
	if err != nil {
		d.avoidReader(reader, membersPath, err)
		return nil, false
	}
	var members []kernel.FleetMember
	if err := cbor.Unmarshal(data, &members); err != nil {
		d.avoidReader(reader, membersPath, err)
		return nil, false
	}
	known := slices.ContainsFunc(members, func(m kernel.FleetMember) bool { return m.ID == d.host.ID() })
	return members, known
}

// membersOf returns the members that hold partitions, and always self, sorted by
// ID.
func membersOf(parts []platform.GroupPartition, self kernel.FleetMember) []kernel.FleetMember {
	byID := map[string]kernel.FleetMember{self.ID: self}
	for _, p := range parts {
		if m, ok := decodeMember(p.Member); ok && m.ID != self.ID {
			byID[m.ID] = m
		}
	}
	members := make([]kernel.FleetMember, 0, len(byID))
	for _, m := range byID {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b kernel.FleetMember) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// mergeMembers returns the members of two lists, sorted by ID. Those of the first are newer.
func mergeMembers(members, before []kernel.FleetMember) []kernel.FleetMember {
	all := slices.Clone(members)
	for _, m := range before {
		if !slices.ContainsFunc(members, func(o kernel.FleetMember) bool { return o.ID == m.ID }) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b kernel.FleetMember) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Members implements kernel.Fleet.
func (d *Discovery) Members() []kernel.FleetMember {
	if m := d.members.Load(); m != nil {
		return *m
	}
	return nil
}

// Confirmed implements kernel.Fleet.
func (d *Discovery) Confirmed() bool { return d.canServeReads() }

func encodeMember(m kernel.FleetMember) string {
	return strings.Join([]string{m.ID, m.Zone, m.Address, strconv.FormatFloat(m.Capacity, 'g', -1, 64)}, memberSeparator)
}

// maxCapacity bounds the capacity of a member.
const maxCapacity = 1e9

// validCapacity reports whether a member may have the capacity. One that is not a number
// would leave its zone without a reader, an infinite one would own everything.
func validCapacity(c float64) bool { return c >= 0 && c <= maxCapacity }

func decodeMember(name string) (kernel.FleetMember, bool) {
	fields := strings.Split(name, memberSeparator)
	if len(fields) != 4 || fields[0] == "" {
		return kernel.FleetMember{}, false
	}
	capacity, err := strconv.ParseFloat(fields[3], 64)
	return kernel.FleetMember{ID: fields[0], Zone: fields[1], Address: fields[2], Capacity: capacity}, err == nil && validCapacity(capacity)
}
