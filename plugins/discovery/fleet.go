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

// fleetGroup is the group of the store that all instances join. Its members
// are the instances that live.
const fleetGroup = "fleet"

// joinsPerTTL is how often an instance tells that it lives within the time
// after which it counts as gone.
const joinsPerTTL = 3

// ownersInterval bounds the age of the known instances while nothing shows
// that they changed.
const ownersInterval = 5 * time.Second

// looksPerJoin is how often an instance looks at the list of members for each
// time that it tells that it lives.
const looksPerJoin = 2

const (
	membersPath = "/members"
	// membersTimeout bounds the call of the zone's reader for the members.
	membersTimeout = 400 * time.Millisecond
)

// leaveTimeout bounds the call that leaves the fleet; without it the entry
// expires by itself.
const leaveTimeout = 500 * time.Millisecond

// memberSeparator stands between the fields of a member's name, which no
// identifier, zone or address holds.
const memberSeparator = "|"

// joinFleet keeps this instance in the fleet and knows the others.
func (d *Discovery) joinFleet(ctx context.Context) {
	settings := d.host.Settings
	f := &fleet{
		d: d, ttl: settings.Duration(section, "member_ttl"),
		self: kernel.FleetMember{ID: d.host.ID(), Zone: d.host.Zone(), Address: settings.String(section, "peer_address"), Capacity: settings.Float(section, "capacity")},
	}
	f.allTopics = uint64(max(1, settings.Int(section, "member_topics")))
	ticker := time.NewTicker(f.ttl / joinsPerTTL / looksPerJoin)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if n%looksPerJoin == 0 {
			f.join(ctx)
		}
		f.look(ctx, time.Now())
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

// fleet is this instance's membership.
type fleet struct {
	d    *Discovery
	self kernel.FleetMember
	ttl  time.Duration
	// topic is the one whose partitions this instance shares with others, of
	// allTopics. The store divides each topic evenly, so that who lists many
	// may get nothing of any; of one topic everyone gets a partition while the
	// members are no more than these.
	topic, allTopics uint64
	// parts is the number of partitions held; empty counts the joins in a row
	// that brought none.
	parts, empty int
	// generation is that of the last join, listed that of the last list of
	// members, which was read at listedAt.
	generation, listed uint64
	listedAt           time.Time
}

// joinsToMove is the number of joins without a partition after which an instance
// turns to another topic: the holders give up theirs with their next join or the
// one after it.
const joinsToMove = 4

// topicName is the topic that this instance shares now.
func (f *fleet) topicName() string {
	return fmt.Sprintf("fleet-%d", (policy.Rendezvous(fleetGroup, f.self.ID)+f.topic)%f.allTopics)
}

// join tells the store that this instance lives. Partitions that go to others
// do so once the store hears that this instance knows, so it joins again.
func (f *fleet) join(ctx context.Context) {
	held := f.parts
	if !f.joinOnce(ctx) {
		return
	}
	if f.parts < held {
		f.joinOnce(ctx)
	}
	if f.parts > 0 {
		f.empty = 0
		return
	}
	if f.empty++; f.empty%joinsToMove == 0 {
		f.topic++
		f.d.host.Logger.Info("no partition to be known by, taking another topic", "topic", f.topicName(), "joins", f.empty)
	}
}

// joinOnce makes one call, and reports whether it was answered.
func (f *fleet) joinOnce(ctx context.Context) bool {
	d := f.d
	group, err := d.client.Join(ctx, fleetGroup, encodeMember(f.self), []string{f.topicName()}, f.ttl, f.generation)
	if err != nil {
		d.host.Counter(`store_calls_failed{call="join"}`).Inc(1)
		if !d.away.Swap(true) {
			d.host.Logger.Warn("metadata store does not answer the heartbeat", "error", err)
		}
		return false
	}
	f.generation, f.parts = group.Generation, len(group.Parts)
	if d.away.Swap(false) {
		d.host.Logger.Info("metadata store answers the heartbeat again")
		d.noteRegained(time.Now())
		d.renew.renew()
	}
	return true
}

// look brings the list of members up to date: from the zone's reader, or from
// the store if this instance is the reader or gets no answer.
func (f *fleet) look(ctx context.Context, now time.Time) {
	d := f.d
	if reader := d.reader(now); reader.ID != "" {
		if members, ok := d.readMembers(ctx, reader); ok {
			d.setMembers(members)
			return
		}
	}
	if d.away.Load() || f.listed == f.generation && now.Sub(f.listedAt) < ownersInterval {
		return
	}
	parts, err := d.client.Owners(ctx, fleetGroup)
	if err != nil {
		d.host.Logger.Warn("members of the fleet cannot be read", "error", err)
		return
	}
	f.listed, f.listedAt = f.generation, now
	d.setMembers(membersOf(parts, f.self))
}

// leave tells the store that this instance takes no work of others.
func (f *fleet) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := f.d.client.Leave(ctx, fleetGroup, encodeMember(f.self)); err != nil {
		f.d.host.Logger.Warn("could not leave the fleet, the entry expires", "after", f.ttl, "error", err)
	}
}

// setMembers puts a list of members in force.
func (d *Discovery) setMembers(members []kernel.FleetMember) {
	if old := d.members.Swap(&members); old == nil || !slices.Equal(*old, members) {
		d.host.Logger.Info("fleet changed", "members", len(members))
		d.host.Gauge("fleet_members").Update(int64(len(members)))
	}
}

// serveMembers tells another instance of the members.
func (d *Discovery) serveMembers(w http.ResponseWriter, _ *http.Request) {
	if !d.mayRead() {
		http.Error(w, notReading, http.StatusServiceUnavailable)
		return
	}
	body, err := cbor.Marshal(d.Members())
	if err != nil {
		panic("discovery: members: " + err.Error())
	}
	_, _ = w.Write(body) // an instance that left needs nothing
}

// readMembers asks the zone's reader for the members, of which this instance is
// one in any case.
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

// membersOf returns the members that hold partitions, and self, in order of ID.
func membersOf(parts []platform.GroupPart, self kernel.FleetMember) []kernel.FleetMember {
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

// Members implements kernel.Fleet.
func (d *Discovery) Members() []kernel.FleetMember {
	if m := d.members.Load(); m != nil {
		return *m
	}
	return nil
}

func encodeMember(m kernel.FleetMember) string {
	return strings.Join([]string{m.ID, m.Zone, m.Address, strconv.FormatFloat(m.Capacity, 'g', -1, 64)}, memberSeparator)
}

func decodeMember(name string) (kernel.FleetMember, bool) {
	fields := strings.Split(name, memberSeparator)
	if len(fields) != 4 || fields[0] == "" {
		return kernel.FleetMember{}, false
	}
	capacity, err := strconv.ParseFloat(fields[3], 64)
	return kernel.FleetMember{ID: fields[0], Zone: fields[1], Address: fields[2], Capacity: capacity}, err == nil
}
