package loadreport

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/policy"
)

// maxReportBytes limits the part of a poll's response that is read.
const maxReportBytes = 4 << 10

// poll gets the load report of one server and passes it to the kernel.
func (m *Module) poll(ctx context.Context, t *target) {
	start := time.Now()
	report, size, err := m.fetch(ctx, t.server.Config.Address)
	if err != nil {
		if ctx.Err() == nil {
			m.host.Counter(`loadreport_polls{result="failed",pool="` + t.server.Config.Pool + `"}`).Inc(1)
		}
		return
	}
	m.host.Counter(`loadreport_polls{result="ok",pool="` + t.server.Config.Pool + `"}`).Inc(1)
	m.host.Counter("loadreport_poll_bytes").Inc(int64(size))
	m.host.Counter("loadreport_poll_nanoseconds").Inc(int64(time.Since(start)))
	now := time.Now()
	report.At = plausibleTime(now, report.At)
	t.server.Report(now, report)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polledReports[t.server.ID] = polledReport{report: report, at: now}
}

// plausibleTime returns the server's time of a report, or the time of the poll if
// the server's clock is off by more than maxAcceptAge. Times in a digest are
// relative to its newest report, so one wrong clock would distort the times of
// the other servers in the digest.
func plausibleTime(now, at time.Time) time.Time {
	if now.Sub(at).Abs() > maxAcceptAge {
		return now
	}
	return at
}

func (m *Module) fetch(ctx context.Context, address string) (policy.LoadReport, int, error) {
	var report policy.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return report, 0, errors.Wrap(err, "load report")
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return report, 0, errors.Wrap(err, "load report")
	}
	defer resp.Body.Close()
	body, err := upstream.ReadBody(resp, resp.Body, maxReportBytes)
	if err != nil {
		return report, 0, errors.Wrap(err, "load report")
	}
	if resp.StatusCode != http.StatusOK {
		return report, 0, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, 0, errors.Wrap(err, "load report")
	}
	if !report.Valid() {
		return report, 0, errors.New("load report: value out of range")
	}
	return report, len(body), nil
}
