package lab

// The arrivals of requests: which client sends which request, and when.

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/rng"
)

// arrival is the time of the next request of an agent's clients.
type arrival struct {
	at    time.Duration
	agent *agent
}

type arrivalHeap []arrival

func (h arrivalHeap) Len() int { return len(h) }

func (h arrivalHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].agent.number < h[j].agent.number
}

func (h arrivalHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *arrivalHeap) Push(x any) { *h = append(*h, x.(arrival)) }

func (h *arrivalHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}

// distributeLoad draws the request rate of each agent, so that the rates sum up to the rate of the scenario, and creates the
// random streams of the agent's clients.
func (l *Lab) distributeLoad() {
	r, sum := l.rng.Stream("weights"), 0.0
	for _, a := range l.agents {
		a.rate = rng.Lognormal(r, 1, l.Scenario.Load.Skew)
		sum += a.rate
	}
	for _, a := range l.agents {
		a.rate *= l.Scenario.Load.Rate / sum
	}
	zipf := rng.NewZipf(l.Scenario.Load.Keys, l.Scenario.Load.KeySkew)
	for _, a := range l.agents {
		a.arrivalRandom, a.requestRandom, a.keys = l.rng.Of("arrivals", a.number), l.rng.Of("requests", a.number), zipf
	}
}

// loadFactorAt returns the factor by which bursts raise the load at a time. The factor depends only on the scenario, so the
// arrivals of a seed do not depend on what the agents do.
func (l *Lab) loadFactorAt(at time.Duration) float64 {
	f := 1.0
	if interval := l.Scenario.RepeatInterval.Duration(); interval > 0 {
		at %= interval
	}
	for _, x := range l.Scenario.Faults {
		if x.Kind == "burst" && at >= x.At.Duration() && (x.Duration == 0 || at < x.At.Duration()+x.Duration.Duration()) {
			f *= x.Size
		}
	}
	return f
}

// nextArrival draws the time of the next request from a Poisson process whose rate follows the load in steps of 10 ms. A time at
// or after the end of the run means that the agent's clients send no further request.
func (l *Lab) nextArrival(a *agent, at time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	remaining := a.arrivalRandom.ExpFloat64()
	for {
		rate := a.rate * l.loadFactorAt(at)
		if untilNext := remaining / rate; untilNext <= step.Seconds() {
			return at + seconds(untilNext)
		}
		remaining -= rate * step.Seconds()
		if at += step; at > l.Scenario.Duration.Duration() {
			return math.MaxInt64
		}
	}
}

// runArrivals starts each request at its arrival time, whether or not earlier requests have finished (an open-loop load), until
// the run ends.
func (l *Lab) runArrivals() {
	var h arrivalHeap
	for _, a := range l.agents {
		if at := l.nextArrival(a, 0); at < l.Scenario.Duration.Duration() {
			h = append(h, arrival{at, a})
		}
	}
	heap.Init(&h)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for len(h) > 0 {
		next := h[0]
		if wait := next.at - l.now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-l.ctx.Done():
				return
			}
			continue
		}
		req := l.newRequest(next.agent, next.at)
		l.mu.Lock()
		l.recordLateness(l.now() - next.at)
		next.agent.openRequests++
		l.mu.Unlock()
		l.running.Go(func() { l.runRequest(req) })
		if h[0].at = l.nextArrival(next.agent, next.at); h[0].at >= l.Scenario.Duration.Duration() {
			heap.Pop(&h)
		} else {
			heap.Fix(&h, 0)
		}
	}
	timer.Reset(max(0, l.Scenario.Duration.Duration()-l.now()))
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
}

// newRequest draws the next request of an agent's clients.
func (l *Lab) newRequest(a *agent, at time.Duration) *clientRequest {
	r := a.requestRandom
	req := &clientRequest{agent: a, index: a.nextIndex, intendedAt: at, random: l.rng.Stream(fmt.Sprintf("client/%d/%d", a.number, a.nextIndex))}
	a.nextIndex++
	req.firstID = fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("request/%d/%d/0", a.number, req.index)))
	if r.Float64() >= l.classes[0].share {
		req.class = 1
	}
	class := &l.classes[req.class]
	usage := tenants[0].share * tenants[0].usage
	if r.Float64()*(usage+tenants[1].share*tenants[1].usage) >= usage {
		req.tenant = 1
	}
	req.work = time.Duration(rng.Lognormal(r, float64(class.work), class.cv))
	req.sid = fmt.Sprintf("stop-%06d", a.keys.Draw(r))
	req.key = l.rng.Hash("key/" + req.sid)
	req.timeout = time.Duration(l.Scenario.Load.TimeoutShare * float64(class.deadline))
	req.honoursRetryAfter = req.random.Float64() < l.Scenario.Load.RetryAfterShare
	if cancelDraw := req.random.Float64(); req.random.Float64() < l.Scenario.Load.CancelShare {
		req.cancelsAfter = time.Duration(cancelDraw * float64(class.objective))
	}
	req.uri = "/" + class.name + "/v1"
	if class.idempotency == check.IdempotencyKey {
		req.idempotencyKey = fmt.Sprintf("%016x%016x", l.rng.Hash("idem/"+req.firstID), req.key)
	}
	req.body = fmt.Appendf(nil, `{"stop":%q,"n":%d,"pad":"%0*d"}`, req.sid, req.index, 20+r.IntN(200), 0)
	return req
}

// takeQuota counts a request against the quota of its tenant and reports whether the request is within the quota. Lab.mu is held.
func (l *Lab) takeQuota(now time.Duration, tenant int) bool {
	if l.tenantQuotas == nil {
		l.tenantQuotas = make([]tokenBucket, len(tenants))
		for i, t := range tenants {
			l.tenantQuotas[i] = tokenBucket{tokens: l.quotaRate(t), rate: l.quotaRate(t)}
		}
	}
	q := &l.tenantQuotas[tenant]
	q.tokens = min(q.rate, q.tokens+q.rate*(now-q.refilledAt).Seconds())
	q.refilledAt = max(q.refilledAt, now)
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

type tokenBucket struct {
	tokens, rate float64
	refilledAt   time.Duration
}
