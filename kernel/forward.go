package kernel

import (
	"time"

	"github.com/pkg/errors"
)

// ReleaseResults notifies the stage servers that results are no longer needed.
func (h *Host) ReleaseResults(handles []string) {
	if h.Stages != nil && len(handles) > 0 {
		h.Stages.Release(handles)
	}
}

// CountRequest counts a finished forwarded request.
func (h *Host) CountRequest(route string, out Outcome, took time.Duration) {
	h.addCount(requestsFamily, route, string(out.Kind), 1)
	h.observeDuration(requestSecondsFamily, route, int64(took))
	if out.Reason != ReasonNone {
		h.addCount(outcomeReasonsFamily, route, string(out.Reason), 1)
	}
}

// CountStage counts a finished stage of a forwarded request.
func (h *Host) CountStage(service string, err error, took time.Duration) {
	result := "ok"
	var failure *StageFailure
	switch {
	case errors.As(err, &failure):
		result = string(failure.Reason)
	case err != nil:
		result = "failed"
	}
	h.addCount(forwardStagesFamily, service, result, 1)
	h.observeDuration(forwardStageFamily, service, int64(took))
}

// CountSend counts one attempt to send a request to a backend server.
func (h *Host) CountSend(service, result string) { h.addCount(sendsFamily, service, result, 1) }
