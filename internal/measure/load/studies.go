package load

import (
	"errors"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/admit"
)

// studyWorkers is the maximum number of concurrent runs of a study.
const studyWorkers = 4

// Studies returns the studies of the behaviour under load and during failures.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "cold-targets", Deterministic: true, Run: studyColdTargets},
		{Name: "picking", Deterministic: true, Run: studyPicking},
		{Name: "failures-together", Deterministic: true, Run: studyCorrelatedFailures},
		{Name: "steering", Deterministic: true, Run: studySteering},
		{Name: "fairness", Deterministic: true, Run: studyFairness},
		{Name: "admission", Deterministic: true, Run: studyAdmission},
		{Name: "organisations-memory", Run: studyOrganisationMemory},
		{Name: "domain-loss", Deterministic: true, Run: studyDomainLoss},
		{Name: "old-loads", Deterministic: true, Run: studyOldLoads},
		{Name: "slow-orders", Deterministic: true, Run: studySlowOrders},
		{Name: "decision-costs", Run: studyDecisionCosts},
	}
}

// retryAfter returns the retry hint of a gate's refusal, or 0 if there is none.
func retryAfter(err error) time.Duration {
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}
