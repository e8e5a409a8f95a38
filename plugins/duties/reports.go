package duties

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// reportPath is the path of reports to the holder.
	reportPath = "/duties-report"
	// reportInterval is the maximum time between two reports of an instance, and reportJitter
	// the time over which reports of different instances spread.
	reportInterval, reportJitter = time.Second, 200 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 700 * time.Millisecond
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 1 << 20
)

// reportSection is a section of the reports.
type reportSection struct {
	collect func(now time.Time) []byte
	receive func(now time.Time, instance string, data []byte)
}

// report is what an instance sends to the holder.
type report struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Token is the highest token that the instance knows.
	Token    uint64             `cbor:"3,keyasint"`
	Usage    policy.UsageReport `cbor:"4,keyasint"`
	Sections map[string][]byte  `cbor:"5,keyasint,omitempty"`
}

// reportReply is the response to a report.
type reportReply struct {
	// Accepted is false if the instance does not hold the duties. Holder is then the one that it
	// knows.
	Accepted bool   `cbor:"1,keyasint"`
	Holder   holder `cbor:"2,keyasint"`
	// Fixed is the last window whose usage report is fixed.
	Fixed int64 `cbor:"3,keyasint"`
}

// OnReport implements kernel.Duties. It may be called before this module is provisioned.
func (m *Duties) OnReport(section string, collect func(now time.Time) []byte, receive func(now time.Time, instance string, data []byte)) {
	if m.sections == nil {
		m.sections = make(map[string]reportSection)
	}
	m.sections[section] = reportSection{collect, receive}
}

// CountRun implements kernel.UsageMeter.
func (m *Duties) CountRun(now time.Time, account string) {
	if !m.active || !m.assigned.Usage || account == "" {
		return
	}
	m.ledgerMu.Lock()
	dropped := m.ledger.Count(now, account)
	m.ledgerMu.Unlock()
	m.noteDropped(dropped)
}

func (m *Duties) noteDropped(n int64) {
	if n > 0 {
		m.host.Counter("duty_usage_dropped").Inc(n)
		m.host.Logger.Warn("usage of a window dropped, it was not reported in time", "requests", n)
	}
}

// runReports sends reports to the holder until the context ends.
func (m *Duties) runReports(ctx context.Context) {
	for backoff.Sleep(ctx, m.reportIn(time.Now())) {
		m.sendReport(ctx, time.Now(), false)
		m.logLate()
	}
}

// reportIn returns the time until the next report: soon after the end of a usage window, so that
// the window is complete at the holder early.
func (m *Duties) reportIn(now time.Time) time.Duration {
	next := reportInterval - backoff.Jitter(reportJitter)
	if window := m.host.Settings.Duration(section, "window"); m.assigned.Usage {
		ends := window - time.Duration(now.UnixNano()%int64(window))
		next = min(next, ends+backoff.Jitter(reportJitter))
	}
	return next
}

// sendReport sends a report to the holder, if one is known. final is true if it is the last one.
func (m *Duties) sendReport(ctx context.Context, now time.Time, final bool) {
	m.mu.Lock()
	to, mine := m.holder, m.lease.Mine()
	m.mu.Unlock()
	if to.Token == 0 {
		return
	}
	r := m.collect(now, to.Token)
	r.Usage.Final = final
	if mine {
		m.fix(m.receive(now, r).Fixed)
		return
	}
	if m.host.PeerCalls == nil || to.Address == "" || to.Incarnation == m.incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := m.host.PeerCalls.CallPeer(ctx, to.Address, reportPath, encode(r))
	if err == nil {
		var reply reportReply
		if err = cbor.Unmarshal(body, &reply); err == nil && reply.Accepted {
			m.fix(reply.Fixed)
			return
		}
		m.mu.Lock()
		m.noteHolder(time.Now(), reply.Holder, "stated by "+to.Instance)
		m.mu.Unlock()
	}
	m.host.Counter("duty_reports_failed").Inc(1)
	m.host.Logger.Debug("report to the holder of the duties failed", "holder", to.Instance, "token", to.Token, "error", err)
}

// collect returns the report of this instance.
func (m *Duties) collect(now time.Time, token uint64) report {
	r := report{Instance: m.host.ID(), Incarnation: m.incarnation, Token: token, Sections: make(map[string][]byte)}
	// The holder and the candidates know of a fixed report before its holder states it.
	m.mu.Lock()
	fixed := m.collector.Fixed()
	m.mu.Unlock()
	m.ledgerMu.Lock()
	m.ledger.Fix(fixed)
	r.Usage = m.ledger.Report(now)
	m.ledgerMu.Unlock()
	for name, s := range m.sections {
		if data := s.collect(now); data != nil {
			r.Sections[name] = data
		}
	}
	return r
}

// fix drops the counts of windows whose report is fixed.
func (m *Duties) fix(through int64) {
	m.ledgerMu.Lock()
	defer m.ledgerMu.Unlock()
	m.ledger.Fix(through)
}

// receive takes a report at the holder.
func (m *Duties) receive(now time.Time, r report) reportReply {
	m.mu.Lock()
	m.lease.LearnToken(now, r.Token)
	late := m.collector.Merge(now, r.Instance, r.Incarnation, r.Usage)
	reply := reportReply{Accepted: true, Holder: m.holder, Fixed: m.collector.Fixed()}
	if late > 0 {
		m.late.requests += late
		m.late.reports++
	}
	m.mu.Unlock()
	m.host.Counter("duty_usage_late").Inc(late)
	for name, data := range r.Sections {
		if s, ok := m.sections[name]; ok {
			s.receive(now, r.Instance, data)
		}
	}
	return reply
}

// lateUsage sums the counts that came after the report of their window was fixed.
type lateUsage struct{ requests, reports int64 }

// logLate logs the counts that came too late since the last call.
func (m *Duties) logLate() {
	m.mu.Lock()
	late := m.late
	m.late = lateUsage{}
	m.mu.Unlock()
	if late.reports > 0 {
		m.host.Logger.Warn("usage arrived after the report of its window was fixed", "requests", late.requests, "reports", late.reports)
	}
}

// serveReport receives a report of another instance.
func (m *Duties) serveReport(w http.ResponseWriter, hr *http.Request) {
	r, err := readReport(hr)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	m.mu.Lock()
	m.lease.LearnToken(now, r.Token)
	m.noteLease(now, "another instance knows a later holder")
	mine, reply := m.lease.Mine(), reportReply{Holder: m.holder}
	m.mu.Unlock()
	if mine {
		reply = m.receive(now, r)
	}
	_, _ = w.Write(encode(reply)) // a peer that has disconnected needs no response
}

func readReport(hr *http.Request) (r report, err error) {
	body, err := io.ReadAll(io.LimitReader(hr.Body, maxReportBytes))
	if err != nil {
		return report{}, errors.Wrap(err, "report")
	}
	if err := cbor.Unmarshal(body, &r); err != nil {
		return report{}, errors.Wrap(err, "report")
	}
	if r.Instance == "" || r.Incarnation == "" {
		return report{}, errors.New("report names no instance")
	}
	return r, nil
}
