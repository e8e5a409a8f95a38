package duties

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// checkInterval is the time between two checks of the lease at the holder, idleInterval at
	// instances that are no candidates for it.
	checkInterval, idleInterval = 100 * time.Millisecond, 500 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call to the store.
	retryMin, retryMax = 100 * time.Millisecond, time.Second
	// maxCandidates is the number of instances that follow the lease to take it over.
	maxCandidates = 3
	// candidatesKey is the key in whose rendezvous order candidates are chosen.
	candidatesKey = "duties"
)

// record is a record of the duties topic.
type record struct {
	Lease policy.LeaseRecord `cbor:"1,keyasint"`
	// Report is the usage report that was fixed by this record, nil in others.
	Report *usageReport `cbor:"2,keyasint,omitempty"`
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("duties: encode: " + err.Error())
	}
	return data
}

func decodeHolder(data []byte) (h holder, err error) {
	err = cbor.Unmarshal(data, &h)
	return h, errors.Wrap(err, "decode holder")
}

// runLease acquires, renews and follows the lease until the context ends.
func (m *Duties) runLease(ctx context.Context) {
	pause := backoff.Backoff{Min: retryMin, Max: retryMax}
	for ctx.Err() == nil {
		if m.releaseIfStopped(ctx) {
			return
		}
		now := time.Now()
		rank := m.rank()
		m.mu.Lock()
		step, wait := m.lease.Next(now, rank), m.lease.Wait(now, max(0, rank))
		m.mu.Unlock()
		var err error
		switch step {
		case policy.LeaseIdle:
			m.sleep(ctx, m.checkIn())
			continue
		case policy.LeaseList:
			err = m.list(ctx)
		case policy.LeaseFollow:
			err = m.follow(ctx, wait)
		case policy.LeaseAppend:
			err = m.appendRecord(ctx, true, nil)
		}
		switch {
		case err == nil, errors.Is(err, platform.ErrStoreConflict), errors.Is(err, platform.ErrTrimmed):
			pause.Reset()
		case ctx.Err() == nil:
			m.host.Counter("duty_store_calls_failed").Inc(1)
			pause.Wait(ctx)
		}
	}
}

// checkIn returns the time until the next check of the lease.
func (m *Duties) checkIn() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Mine() {
		return checkInterval
	}
	return idleInterval
}

// sleep waits until the time has passed, the context ends, or the lease may have changed.
func (m *Duties) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.wake:
	case <-ctx.Done():
	}
}

// rank returns the position of this instance among the candidates, or -1 if it is none.
func (m *Duties) rank() int {
	if m.host.Fleet == nil {
		return 0
	}
	return slices.IndexFunc(candidates(m.host.Fleet.Members()), func(c kernel.FleetMember) bool { return c.ID == m.host.ID() })
}

// candidates returns the instances that follow the lease, in the order in which they take it
// over. They are of different availability zones if there are enough.
func candidates(members []kernel.FleetMember) []kernel.FleetMember {
	var first, others []kernel.FleetMember
	zones := make(map[string]bool)
	for _, member := range kernel.FleetRanking(candidatesKey, "", members) {
		if zones[member.Zone] {
			others = append(others, member)
			continue
		}
		zones[member.Zone] = true
		first = append(first, member)
	}
	all := append(first, others...)
	return all[:min(len(all), maxCandidates)]
}

// unknownHolder is the incarnation of the holder that a record names that cannot be decoded. Its
// lease is awaited as that of any other.
const unknownHolder = "unknown"

// list reads the newest records.
func (m *Duties) list(ctx context.Context) error {
	records, end, err := m.store.Newest(ctx, platform.DutiesTopic)
	if err != nil {
		return err
	}
	var newest *policy.LeaseRecord
	var newestOffset uint64
	var report *record
	for _, r := range records {
		decoded, err := decodeRecord(r)
		if err != nil {
			m.host.Logger.Warn("record of the duties cannot be decoded, its holder is unknown", "offset", r.Offset, "error", err)
			decoded = record{Lease: policy.LeaseRecord{Incarnation: unknownHolder, Era: m.store.Era()}}
		}
		if decoded.Report != nil {
			report = &decoded
		}
		if newest == nil || r.Offset > newestOffset {
			newest, newestOffset = &decoded.Lease, r.Offset
		}
	}
	if newest != nil && newestOffset+1 != end {
		return errors.Wrap(platform.ErrStoreUnavailable, "records were appended during the listing")
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	era, held := m.store.Era(), m.lease.HeldLately(now)
	m.lease.Listed(now, era, end, newest)
	switch {
	case report != nil && report.Lease.Era == era:
		m.unsure = false
	case !held:
		m.unsure = true
	}
	if report != nil {
		m.adopt(report.Report)
	}
	m.noteLease(now, "read from the store")
	return nil
}

func decodeRecord(r platform.StoreRecord) (decoded record, err error) {
	if err := cbor.Unmarshal(r.Value, &decoded); err != nil {
		return record{}, errors.Wrap(err, "decode record of the duties")
	}
	if decoded.Lease.Incarnation == "" {
		return record{}, errors.New("record of the duties names no holder")
	}
	return decoded, nil
}

// follow waits for the next record.
func (m *Duties) follow(ctx context.Context, wait time.Duration) error {
	m.mu.Lock()
	_, at := m.lease.Record()
	m.mu.Unlock()
	records, _, err := m.store.Read(ctx, platform.DutiesTopic, at, wait, storeTimeout)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.lease.Forget()
		return err
	}
	for _, r := range records {
		decoded, err := decodeRecord(r)
		if err != nil {
			m.lease.Forget()
			return err
		}
		m.lease.Followed(now, decoded.Lease)
		if decoded.Report != nil {
			m.unsure = false
			m.adopt(decoded.Report)
		}
		m.noteLease(now, "followed the store")
	}
	return nil
}

// errReportFixed means that the report of a window was fixed while another one was being made.
var errReportFixed = errors.New("the report of the window is fixed already")

// appendRecord appends the next record of this instance, and with it a usage report if it is
// not nil. Unless acquire is true, it appends nothing if this instance does not hold the lease
// or is stopping. The append fails unless the topic ends where this instance believes, so a
// success confirms that it held the lease at that time.
func (m *Duties) appendRecord(ctx context.Context, acquire bool, report *usageReport) error {
	m.appends.Lock()
	defer m.appends.Unlock()
	m.mu.Lock()
	next, at := m.lease.Record()
	holds := m.lease.Mine() && !m.stopped
	fixed := report != nil && report.Window <= m.collector.Fixed()
	m.mu.Unlock()
	key := platform.LeaseKey
	switch {
	case !acquire && !holds:
		return kernel.ErrNotHolder
	case fixed:
		return errReportFixed
	case report != nil:
		key = platform.ReportKey
	}
	return m.appendNext(ctx, key, record{next, report}, at)
}

// appendNext appends a record at an offset. The caller holds appends.
func (m *Duties) appendNext(ctx context.Context, key string, r record, at uint64) error {
	sent := time.Now()
	err := m.store.PutAt(ctx, platform.DutiesTopic, key, encode(r), at)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if !errors.Is(err, platform.ErrStoreUnavailable) {
			m.lease.Forget()
		}
		return err
	}
	m.lease.Appended(sent, now, m.store.Era(), r.Lease)
	reason := "renewed"
	switch {
	case r.Lease.Released:
		reason = "released"
	case r.Lease.Renewal == 0:
		reason = "acquired"
	}
	m.noteLease(now, reason)
	return nil
}

// confirm makes sure that a call may begin now: it appends a record unless the last one is
// recent enough.
func (m *Duties) confirm(ctx context.Context) (platform.DutyHolder, error) {
	if h, ok := m.mayCall(); ok {
		return h, nil
	}
	m.mu.Lock()
	holds := m.lease.Known() && m.lease.Mine() && !time.Now().Before(m.lease.NotBefore())
	m.mu.Unlock()
	if !holds {
		return platform.DutyHolder{}, kernel.ErrNotHolder
	}
	if err := m.appendRecord(ctx, false, nil); err != nil {
		return platform.DutyHolder{}, errors.Wrap(kernel.ErrNotHolder, err.Error())
	}
	h, ok := m.mayCall()
	if !ok {
		return platform.DutyHolder{}, errors.Wrap(kernel.ErrNotHolder, "the store confirmed the lease too late")
	}
	return h, nil
}

// mayCall reports whether a call may begin now, and as which holder.
func (m *Duties) mayCall() (platform.DutyHolder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return platform.DutyHolder{Instance: m.host.ID(), Token: m.lease.Latest().Token}, m.lease.MayCall(time.Now()) && !m.stopped
}

// releaseTimeout bounds the release of the lease.
const releaseTimeout = 500 * time.Millisecond

// releaseIfStopped releases the lease once this instance stops. It reports whether it does.
func (m *Duties) releaseIfStopped(ctx context.Context) bool {
	m.mu.Lock()
	stopped, mine := m.stopped, m.lease.Mine()
	m.mu.Unlock()
	if !stopped {
		return false
	}
	if mine {
		m.release(ctx)
	}
	return true
}

// release lets another instance take the lease at once. It waits for calls in progress.
func (m *Duties) release(ctx context.Context) {
	m.calls.Lock()
	defer m.calls.Unlock()
	m.appends.Lock()
	defer m.appends.Unlock()
	m.mu.Lock()
	next, at := m.lease.Record()
	mine := m.lease.Mine()
	m.mu.Unlock()
	if !mine {
		return
	}
	next.Released = true
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := m.appendNext(ctx, platform.LeaseKey, record{Lease: next}, at); err != nil {
		m.host.Logger.Warn("cannot release the duties, their lease expires", "after", m.times.Term, "error", err)
	}
}
