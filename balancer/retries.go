package balancer

// Retries: whether a failed attempt is followed by another, when, and where it may go.

import (
	"math"
	"slices"
	"time"
)

const (
	backoffUnit     = 1.0 / 32 // share of the class's latency objective: a unit of 1 s would exceed most objectives
	maxBackoffUnits = 8.0      // longest backoff, in units
)

// retry schedules the next attempt of a request after a failed attempt, or finishes the request if no further attempt
// is possible.
func (b *Balancer) retry(req *request, result Result) {
	cost := RetryCost(result)
	unit := backoffUnit * float64(b.classes[req.class].LatencyObjective)
	retryAt := b.now + time.Duration(b.rng.Float64()*min(math.Exp2(float64(req.retries)), maxBackoffUnits)*unit)
	allowed := func(backend *backendState) bool {
		return backend.State == Up && b.mayAttempt(req, backend) && (req.possiblyExecuted == 0 || !b.zone(backend).failedOver)
	}
	if !slices.ContainsFunc(b.backends, allowed) || !b.retryBudget.Covers(cost) || retryAt >= req.deadline || result == NotSent {
		b.finish(req)
		return
	}
	b.retryBudget.Spend(cost)
	req.retries++
	req.inBackoff = true
	b.setRequestTimer(req, retryAt)
}

// mayAttempt reports whether the rules allow an attempt of the request, the first or a further one, at this backend.
func (b *Balancer) mayAttempt(req *request, backend *backendState) bool {
	if !b.permits(req, backend.Zone) || req.ended || req.committed || len(req.attempts) >= b.settings.MaxAttempts ||
		req.openAttempts > 0 && !b.settings.HedgingAllowed {
		return false
	}
	class := &b.classes[req.class]
	if class.Idempotency == Idempotent || req.possiblyExecuted == 0 {
		return true
	}
	// A retry may reach its backend up to a connect timeout after its send, and must still be within the window then.
	if class.Idempotency == NonIdempotent || b.now+b.settings.ConnectTimeout >= b.sendDeadline(req) {
		return false
	}
	return class.Scope == ScopeAll || class.Scope == ScopeZone && backend.Zone == req.scopeAttempt.zone ||
		class.Scope == ScopeCell && backend.Cell == req.scopeAttempt.cell
}
