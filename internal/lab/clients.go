package lab

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
)

// clientRequest is a request of a client, with the client's own retries.
type clientRequest struct {
	firstID           string
	index             int // among the requests of the agent's clients
	agent             *agent
	class             int
	tenant            int
	weight            float64
	key               uint64
	sid               string
	work              time.Duration
	body              []byte
	intendedAt        time.Duration
	timeout           time.Duration // of each of the client's attempts
	cancelsAfter      time.Duration // after which the client disconnects; 0: never
	honoursRetryAfter bool
	attempts          int
	attemptSeenFor    string // the id of the client's latest attempt that the agent forwarded to a backend
	random            *rand.Rand
	uri               string
	idempotencyKey    string
}

// runRequest sends a request, with the client's own retries, and counts the outcome.
func (l *Lab) runRequest(req *clientRequest) {
	class := &l.classes[req.class]
	l.mu.Lock()
	req.weight = class.weight
	if !l.takeQuota(req.intendedAt, req.tenant) {
		req.weight *= l.Scenario.Load.OverQuotaWeight
	}
	l.mu.Unlock()
	const minRetryWaitMs, maxRetryWaitMs = 28, 220 // of a client without Retry-After, or that ignores it
	var answer check.Answer
	for {
		id := req.firstID
		if req.attempts > 0 {
			id = fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("request/%d/%d/%d", req.agent.number, req.index, req.attempts)))
		}
		var wait time.Duration
		answer, wait = l.attemptRequest(req, id)
		req.attempts++
		if answer != check.Rejected && answer != check.Unreachable || req.attempts > l.Scenario.Load.Retries || l.ctx.Err() != nil {
			break
		}
		if wait == 0 || !req.honoursRetryAfter {
			wait = time.Duration(rng.Between(req.random, minRetryWaitMs, maxRetryWaitMs)) * time.Millisecond
		}
		if l.now()+wait > req.intendedAt+class.deadline {
			break
		}
		time.Sleep(wait)
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	req.agent.openRequests--
	l.tally.CountOutcome(check.Outcome{IntendedAt: req.intendedAt, FinishedAt: now, Answer: answer, InObjective: answer == check.Served && now <= req.intendedAt+class.objective,
		Weight: req.weight, Class: req.class, Tenant: req.tenant, Zone: req.agent.number % len(l.Scenario.Fleet.Zones), ClientAttempts: req.attempts})
}

// attemptRequest sends a request once. It returns the outcome, and the wait that Retry-After requests.
func (l *Lab) attemptRequest(req *clientRequest, id string) (check.Answer, time.Duration) {
	agent := req.agent
	clientEnd, agentEnd := endpointOf(netfault.Client, agent.number), endpointOf(netfault.Agent, agent.number)
	l.mu.Lock()
	now := l.now()
	l.check.Open(now, &check.Request{ID: id, FirstID: req.firstID, Attempt: req.attempts, Agent: agent.number, Class: req.class, SentAt: now, Timeout: req.timeout,
		Fingerprint: fingerprint(http.MethodPost, req.uri, req.idempotencyKey, req.body)})
	agent.requests[id] = req
	unreachable, refused := l.network.Unreachable(clientEnd, agentEnd), l.network.Refused(clientEnd, agentEnd)
	var latency time.Duration
	if !unreachable {
		latency = l.network.Arrivals(clientEnd, agentEnd, netfault.TCP, id)[0]
	}
	l.mu.Unlock()
	answer, wait := check.Unreachable, time.Duration(0)
	if !unreachable && !refused {
		if latency > 0 {
			time.Sleep(latency)
		}
		answer, wait = l.exchange(req, id)
	} else if unreachable {
		time.Sleep(connectTimeout)
	}
	finishedAt := l.now()
	l.mu.Lock()
	l.check.Finish(finishedAt, id, answer)
	l.scheduleAt(l.now()+check.Retention, func(time.Duration) { delete(agent.requests, id) }) // until then, a late attempt of the agent finds its request
	l.mu.Unlock()
	return answer, wait
}

// exchange sends a request and returns the outcome. If the agent closes an idle connection while the request is on its way,
// exchange sends the request again on a new connection.
func (l *Lab) exchange(req *clientRequest, id string) (check.Answer, time.Duration) {
	for fresh := false; ; fresh = true {
		c, err := req.agent.getConn(fresh)
		if err != nil {
			return check.Unreachable, 0
		}
		used := c.used
		answer, wait, reusable := l.sendAndReceive(c, req, id)
		if reusable {
			req.agent.putIdle(c)
		} else {
			c.Close()
		}
		if answer == check.ClosedNew && used && !l.reachedBackend(id) {
			continue // the agent closed the idle connection
		}
		if answer == check.ClosedNew && l.reachedBackend(id) {
			answer = check.Closed // the agent has read the request, so it must answer
		}
		return answer, wait
	}
}

// reachedBackend reports whether an attempt of a request has reached a backend, which shows that the agent has read the request.
func (l *Lab) reachedBackend(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check.Attempts(id) > 0
}
