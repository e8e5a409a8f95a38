package duties

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// usageInterval is the time between two checks whether a usage report is due, at the
	// holder and at others.
	usageInterval, usageIdleInterval = 200 * time.Millisecond, time.Second
	// callRetryMin and callRetryMax bound the wait before a call to the platform is repeated.
	callRetryMin, callRetryMax = 250 * time.Millisecond, 2 * time.Second
	// defaultPause is the wait after a call that the platform's rate limit refused, if it
	// states none.
	defaultPause = time.Second
)

// usageReport is a usage report whose content is fixed: it is in the store before the first
// call, so that every holder repeats it exactly.
type usageReport struct {
	Window int64              `cbor:"1,keyasint"`
	Counts policy.UsageCounts `cbor:"2,keyasint"`
	// Skipped is true if the window, and those before it, are not reported.
	Skipped bool `cbor:"3,keyasint,omitempty"`
}

// adopt takes the newest fixed report that the store holds. The caller holds mu.
func (m *Duties) adopt(r *usageReport) {
	if r.Window < m.collector.Fixed() || r.Window <= m.accepted {
		return
	}
	m.collector.Fix(r.Window)
	m.pending = r
	if r.Skipped {
		m.pending = nil
	}
}

// skip records that the windows that have ended are not reported, if some of them may have been
// although the store has no record of it. It reports whether nothing has failed.
func (m *Duties) skip(ctx context.Context) bool {
	m.mu.Lock()
	unsure := m.unsure
	current, known := m.collector.Current(time.Now())
	m.mu.Unlock()
	if !unsure {
		return true
	}
	if !known {
		return false
	}
	r := &usageReport{Window: current - 1, Skipped: true}
	if err := m.appendRecord(ctx, false, r); err != nil {
		m.host.Logger.Warn("skipped usage windows not recorded, trying again", "window", r.Window, "error", err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.host.Logger.Info("usage windows up to one are not reported, the store may have lost the record of their reports", "window", r.Window, "fixed_window", m.collector.Fixed())
	m.collector.Fix(r.Window)
	m.unsure = false
	return true
}

// runUsage reports the usage while this instance holds the duties, until the context ends.
func (m *Duties) runUsage(ctx context.Context) {
	retry := backoff.Backoff{Min: callRetryMin, Max: callRetryMax}
	for backoff.Sleep(ctx, m.usageIn()) {
		m.setMembers(time.Now())
		if !m.Holds(time.Now()) {
			continue
		}
		if !m.skip(ctx) || !m.fixNext(ctx) {
			retry.Wait(ctx)
			continue
		}
		m.mu.Lock()
		pending := m.pending
		m.mu.Unlock()
		if pending == nil {
			continue
		}
		if m.reportUsage(ctx, pending) {
			retry.Reset()
			continue
		}
		retry.Wait(ctx)
	}
}

// usageIn returns the time until the next check whether a usage report is due.
func (m *Duties) usageIn() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Mine() {
		return usageInterval
	}
	return usageIdleInterval
}

// fixNext fixes the report of the next window that is complete, unless one is pending. It reports
// whether nothing has failed.
func (m *Duties) fixNext(ctx context.Context) bool {
	now := time.Now()
	m.mu.Lock()
	due, ok := m.collector.Next(now)
	ok = ok && m.pending == nil && !m.unsure && m.lease.Holds(now)
	m.mu.Unlock()
	if !ok {
		return true
	}
	r := &usageReport{Window: due.Window, Counts: due.Counts}
	if err := m.appendRecord(ctx, false, r); err != nil {
		m.host.Logger.Warn("usage report not fixed, trying again", "window", r.Window, "error", err)
		return false
	}
	m.mu.Lock()
	m.collector.Include(r.Window)
	m.pending = r
	m.mu.Unlock()
	if len(due.Missing) > 0 || due.Skipped > 0 || due.Before {
		m.host.Counter("duty_usage_incomplete").Inc(1)
		m.host.Logger.Warn("usage report may be incomplete", "window", r.Window, "missing_instances", due.Missing, "skipped_windows", due.Skipped, "began_before_collection", due.Before)
	}
	return true
}

// setMembers records the instances that have counts.
func (m *Duties) setMembers(now time.Time) {
	names := []string{m.host.ID()}
	if m.host.Fleet != nil {
		for _, member := range m.host.Fleet.Members() {
			names = append(names, member.ID)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collector.SetMembers(now, names)
}

// reportUsage makes the call for a fixed report. It reports whether the report needs no other
// call.
func (m *Duties) reportUsage(ctx context.Context, r *usageReport) bool {
	began := time.Now()
	err := m.call(ctx, "usage", func(h platform.DutyHolder) error {
		return m.platform.ReportUsage(ctx, h, r.Window, r.Counts)
	})
	log := []any{"window", r.Window, "requests", r.Counts.Total(), "accounts", len(r.Counts), "took", time.Since(began)}
	switch {
	case err == nil:
		m.host.Logger.Info("usage reported", log...)
	case errors.Is(err, platform.ErrDutyRefused):
		m.host.Logger.Error("usage report refused for good", append(log, "error", err)...)
	default:
		m.host.Logger.Warn("usage report failed, trying again", append(log, "error", err)...)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = max(m.accepted, r.Window)
	if m.pending == r {
		m.pending = nil
	}
	return true
}

// call makes a duty call once, if this instance holds the duties.
func (m *Duties) call(ctx context.Context, duty string, f func(h platform.DutyHolder) error) error {
	m.mu.Lock()
	paused := time.Until(m.pausedTill)
	m.mu.Unlock()
	if paused > 0 {
		return errors.WithStack(&platform.DutyRateError{RetryAfter: paused})
	}
	if err := m.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "duty call")
	}
	m.calls.RLock()
	defer m.calls.RUnlock()
	h, err := m.confirm(ctx)
	if err == nil {
		err = f(h)
	}
	m.noteCall(duty, err)
	return err
}

// noteCall counts the result of a duty call.
func (m *Duties) noteCall(duty string, err error) {
	var limited *platform.DutyRateError
	result := "ok"
	switch {
	case err == nil:
	case errors.As(err, &limited):
		result = "rate-limited"
		wait := limited.RetryAfter
		if wait == 0 {
			wait = defaultPause
		}
		m.mu.Lock()
		m.pausedTill = time.Now().Add(wait)
		m.mu.Unlock()
	case errors.Is(err, kernel.ErrNotHolder):
		result = "not-holder"
	case errors.Is(err, platform.ErrDutyRefused):
		result = "refused"
	default:
		result = "failed"
	}
	m.host.Counter(`duty_calls{duty="` + duty + `",result="` + result + `"}`).Inc(1)
}

// OrderServers implements kernel.Duties.
func (m *Duties) OrderServers(ctx context.Context, service, zone string, count int) error {
	if !m.active || !m.assigned.Scaling {
		return kernel.ErrNotHolder
	}
	return m.call(ctx, "scaling", func(h platform.DutyHolder) error {
		return m.platform.OrderServers(ctx, h, service, zone, count)
	})
}
