// Package policies registers the implementations of package policy as modules,
// so that the settings can select the standard or the baseline implementation of
// each policy.
package policies

import (
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

func init() {
	register("admission.standard", func() kernel.Module { return policy.NewStandardAdmission() })
	register("admission.baseline", func() kernel.Module { return policy.AdmitAll{} })
	register("placement.standard", func() kernel.Module { return policy.StandardPlacement{} })
	register("placement.baseline", func() kernel.Module { return &policy.RoundRobin{} })
	register("limits.standard", func() kernel.Module { return policy.AdaptiveLimits{} })
	register("limits.baseline", func() kernel.Module { return policy.FixedLimits{} })
	register("retry.baseline", func() kernel.Module { return policy.BlindRetries{} })
	register("queue.standard", func() kernel.Module { return policy.FairQueues{} })
	register("retry.standard", func() kernel.Module { return &policy.BudgetedRetries{} })
	register("queue.baseline", func() kernel.Module { return policy.FIFOQueues{} })
	register("rollout.standard", func() kernel.Module { return policy.StandardRollout{} })
	register("ejection.standard", func() kernel.Module { return policy.OutlierEjections{} })
	register("ejection.baseline", func() kernel.Module { return policy.NoEjections{} })
	register("rollout.baseline", func() kernel.Module { return policy.LinearRollout{} })
}

func register(id kernel.ModuleID, create func() kernel.Module) {
	kernel.Register(kernel.ModuleInfo{ID: id, Phase: kernel.PhasePolicy, New: create})
}
