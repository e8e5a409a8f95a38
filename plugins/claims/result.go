package claims

import (
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

func refuse(kind kernel.OutcomeKind, reason kernel.OutcomeReason, detail string) kernel.ClaimGrant {
	return refuseWithRetryAfter(kind, reason, detail, 0)
}

func refuseWithRetryAfter(kind kernel.OutcomeKind, reason kernel.OutcomeReason, detail string, retryAfter time.Duration) kernel.ClaimGrant {
	return kernel.ClaimGrant{Result: kernel.Result{
		Outcome: kernel.Outcome{Kind: kind, Reason: reason, Detail: detail, RetryAfter: retryAfter},
	}}
}

func refuseLogUnavailable(detail string) kernel.ClaimGrant {
	return refuseWithRetryAfter(kernel.NotRun, kernel.ReasonLogUnavailable, detail, retryAfterLogUnavailable)
}

func refuseKeyTime() kernel.ClaimGrant {
	return refuse(kernel.Rejected, kernel.ReasonKeyInvalidOrExpired,
		"the time within the idempotency key is too old or ahead; this says nothing of earlier requests with the key")
}

// refuseFinding returns the result of a request whose claim did not win.
func (m *Log) refuseFinding(f claim.Finding) kernel.ClaimGrant {
	switch f.Verdict {
	case claim.KeyTime:
		return refuseKeyTime()
	case claim.KeyReused:
		return refuse(kernel.Rejected, kernel.ReasonKeyReused, "the key was used with another body")
	}
	switch f.Slot.State {
	case claim.Done:
		if f.Slot.Evicted {
			return refuseWithRetryAfter(kernel.Unknown, kernel.ReasonLogUnavailable, "an earlier request with this key ran; its answer is on the log, which is out of reach", retryAfterLogUnavailable)
		}
		return replay(f.Slot.Answer)
	case claim.Settled:
		return settledResult(f.Slot.Settlement)
	case claim.Held:
		if m.alive(f.Slot.Origin.Boot) {
			return refuseWithRetryAfter(kernel.Unknown, kernel.ReasonInProgress, "an earlier request with this key is in progress", retryAfterInProgress)
		}
	}
	return refuse(kernel.Unknown, kernel.ReasonInDoubt, "an earlier request with this key may have run; an operator has to settle it")
}

// replay returns the stored answer of the request that ran.
func replay(a claim.Answer) kernel.ClaimGrant {
	if a.Dropped {
		return refuse(kernel.Unknown, kernel.ReasonAnswerNotKept, "an earlier request with this key ran and was answered; its answer was too large to be kept")
	}
	return kernel.ClaimGrant{Result: kernel.Result{
		Outcome:  kernel.Outcome{Kind: kernel.Served},
		Answer:   kernel.Answer{ContentType: a.ContentType, Body: a.Body},
		Replayed: true,
	}}
}

// settledResult returns the result of a retry after an operator's decision. The
// outcome is never NotRun, since the holder may only be paused and still run the
// request.
func settledResult(v claim.Settlement) kernel.ClaimGrant {
	if v.Ran {
		return refuse(kernel.Unknown, kernel.ReasonAnswerNotKept, "an operator found that the request with this key ran; its answer is not at hand")
	}
	return refuse(kernel.Unknown, kernel.ReasonSettledNotRun, "an operator found that the request with this key did not run; the key stays closed, send it with a new one")
}
