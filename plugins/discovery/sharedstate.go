package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// stateReadWait is how long the store may hold a read of shared states that finds
	// no records.
	stateReadWait = 2 * time.Second
	// stateWriteInterval is the minimum time between two writes of an instance.
	stateWriteInterval = 100 * time.Millisecond
	// abandonedStateTTL is the time after which the state of an instance that is no
	// longer a member is deleted, and abandonedStateInterval the time between checks.
	abandonedStateTTL      = 15 * time.Minute
	abandonedStateInterval = time.Minute
)

// stateJanitorKey is the key whose owner deletes abandoned states.
const stateJanitorKey = "abandoned-states"

// sharedStates publishes the states of this instance and follows those of all. It
// implements kernel.SharedState.
type sharedStates struct {
	host   *kernel.Host
	sinks  map[string][]func(instance string, state []byte) // by kind
	wake   chan struct{}                                    // holds a value if there may be something to write
	listed chan struct{}                                    // closed after the first listing
	once   sync.Once

	mu sync.Mutex
	// published is the newest state of each kind, and stored the one that was last
	// read from the store; guarded by mu.
	published, stored map[string]string
	// seen is when the record of a key was last read; guarded by mu.
	seen map[string]time.Time
}

func newSharedStates(h *kernel.Host) *sharedStates {
	return &sharedStates{
		host: h, sinks: make(map[string][]func(string, []byte)), wake: make(chan struct{}, 1), listed: make(chan struct{}),
		published: make(map[string]string), stored: make(map[string]string), seen: make(map[string]time.Time),
	}
}

// PublishState implements kernel.SharedState.
func (d *Discovery) PublishState(kind string, state []byte) {
	s := d.states
	s.mu.Lock()
	s.published[kind] = string(state)
	s.mu.Unlock()
	s.signal()
}

// OnState implements kernel.SharedState.
func (d *Discovery) OnState(kind string, f func(instance string, state []byte)) {
	d.states.sinks[kind] = append(d.states.sinks[kind], f)
}

func (s *sharedStates) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write writes published states until the context ends. Nothing is written before
// the first listing, which delivers the state that an earlier process left.
func (s *sharedStates) write(ctx context.Context, client *platform.StoreClient) {
	select {
	case <-s.listed:
	case <-ctx.Done():
		return
	}
	pause := backoff.Backoff{Min: retryMin, Max: retryMax}
	written := make(map[string]string)
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for kind, state := range s.due(written) {
			if err := client.Put(ctx, platform.SharedStateTopic, platform.SharedStateKey(kind, s.host.ID()), []byte(state)); err != nil {
				if ctx.Err() != nil {
					return
				}
				s.host.Counter(`store_calls_failed{call="shared-state"}`).Inc(1)
				s.host.Logger.Warn("cannot publish shared state, trying again", "kind", kind, "error", err)
				pause.Wait(ctx)
				s.signal()
				continue
			}
			pause.Reset()
			written[kind] = state
		}
		backoff.Sleep(ctx, stateWriteInterval)
	}
}

// due returns the published states that are not written or that the store has
// replaced: a call without a response may take effect after a later one.
func (s *sharedStates) due(written map[string]string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[string]string)
	for kind, state := range s.published {
		stored, ok := s.stored[kind]
		if written[kind] != state || ok && stored != state {
			due[kind] = state
		}
	}
	return due
}

// apply applies records of the shared state topic.
func (s *sharedStates) apply(now time.Time, records []platform.StoreRecord, kind recordsKind) {
	if kind == restoredListing {
		s.forgetStored()
	}
	for _, r := range records {
		kind, instance, ok := platform.ParseSharedStateKey(r.Key)
		if !ok {
			continue
		}
		if s.note(now, r, kind, instance) || r.Value == nil {
			continue
		}
		for _, sink := range s.sinks[kind] {
			sink(instance, r.Value)
		}
	}
	if kind != newRecords {
		s.once.Do(func() { close(s.listed) })
	}
}

// isListed reports whether the shared states were listed.
func (s *sharedStates) isListed() bool {
	select {
	case <-s.listed:
		return true
	default:
		return false
	}
}

// forgetStored records that the store may hold none of the published states, so that those
// that it does not list are written again.
func (s *sharedStates) forgetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.seen)
	for kind := range s.published {
		s.stored[kind] = ""
	}
	s.signal()
}

// note records that a record was read, and reports whether it is a state that this
// process has published itself. In the first listing it is none: nothing is written
// before.
func (s *sharedStates) note(now time.Time, r platform.StoreRecord, kind, instance string) (own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Value == nil {
		delete(s.seen, r.Key)
	} else {
		s.seen[r.Key] = now
	}
	if instance != s.host.ID() {
		return false
	}
	select {
	case <-s.listed:
	default:
		return false
	}
	state, published := s.published[kind]
	if !published {
		return false
	}
	s.stored[kind] = string(r.Value)
	if state != string(r.Value) {
		s.signal()
	}
	return true
}

// deleteAbandoned periodically deletes the states of instances that have long been
// gone. One instance does it for all.
func (d *Discovery) deleteAbandoned(ctx context.Context) {
	periodic.Run(ctx, abandonedStateInterval, func(now time.Time) {
		members := d.Members()
		if kernel.FleetOwner(stateJanitorKey, members, func(kernel.FleetMember) bool { return true }).ID != d.host.ID() {
			return
		}
		for _, key := range d.states.abandoned(now, members) {
			if err := d.client.Put(ctx, platform.SharedStateTopic, key, nil); err != nil {
				d.host.Logger.Warn("cannot delete the state of an instance that has left", "key", key, "error", err)
			}
		}
	})
}

// abandoned returns the keys of states that were last written abandonedStateTTL ago
// by instances that are not members.
func (s *sharedStates) abandoned(now time.Time, members []kernel.FleetMember) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, at := range s.seen {
		_, instance, _ := platform.ParseSharedStateKey(key)
		member := slices.ContainsFunc(members, func(m kernel.FleetMember) bool { return m.ID == instance })
		if !member && now.Sub(at) > abandonedStateTTL {
			keys = append(keys, key)
		}
	}
	return keys
}
