package balancer

// Whether a failed attempt is followed by another, when, and where to.

import (
	"math"
	"slices"
	"time"
)

const (
	maxRetryTokens  = 100.0    // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost       = 5.0      // tokens for a retry ...
	timeoutCost     = 10.0     // ... and for one after a time-out, which may mean a deeper trouble
	successRefill   = 1.0      // tokens that a served attempt brings back
	backoffUnit     = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	maxBackoffUnits = 8.0      // the longest backoff, in units
)

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(req *request, result Result) {
	cost := retryCost
	if result == TimedOut {
		cost = timeoutCost
	}
	unit := backoffUnit * float64(b.classes[req.class].LatencyObjective)
	retryAt := b.now + time.Duration(b.rng.Float64()*min(math.Exp2(float64(req.retries)), maxBackoffUnits)*unit)
	possible := func(backend *backendState) bool {
		return backend.State == Up && b.mayAttempt(req, backend) && (req.possiblyExecuted == 0 || !b.zone(backend).failedOver)
	}
	if !slices.ContainsFunc(b.backends, possible) || b.tokens < cost || retryAt >= req.deadline || result == NotSent {
		b.finish(req)
		return
	}
	b.tokens -= cost
	req.retries++
	req.inBackoff = true
	b.setRequestTimer(req, retryAt)
}

// mayAttempt is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayAttempt(req *request, backend *backendState) bool {
	if !b.permits(req, backend.Zone) || req.ended || req.committed || len(req.attempts) >= b.settings.MaxAttempts ||
		req.openAttempts > 0 && !b.settings.HedgingAllowed {
		return false
	}
	class := &b.classes[req.class]
	if class.Idempotency == Idempotent || req.possiblyExecuted == 0 {
		return true
	}
	// A repeat may reach its backend a connect time-out after it is sent: the window must hold then.
	if class.Idempotency == NonIdempotent || b.now+b.settings.ConnectTimeout >= b.sendDeadline(req) {
		return false
	}
	return class.Scope == ScopeAll || class.Scope == ScopeZone && backend.Zone == req.scopeAttempt.zone ||
		class.Scope == ScopeCell && backend.Cell == req.scopeAttempt.cell
}
