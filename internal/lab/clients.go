package lab

import (
	"bufio"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
)

// clientRequest is one client's request: all its tries together.
type clientRequest struct {
	firstID           string
	index             int // of the agent's requests
	agent             *agent
	class             int
	tenant            int
	weight            float64
	key               uint64
	sid               string
	work              time.Duration
	body              []byte
	intendedAt        time.Duration
	timeout           time.Duration // of each try
	cancelsAfter      time.Duration // the client goes away so long after a try's begin; 0: it doesn't
	honoursRetryAfter bool
	attempts          int
	attemptSeenFor    string // the latest of its tries of which an attempt was seen
	random            *rand.Rand
	uri               string
	idempotencyKey    string
}

// arrival is the next arrival at an agent.
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
func (h *arrivalHeap) Push(x any)   { *h = append(*h, x.(arrival)) }
func (h *arrivalHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}

// distributeLoad shares the load out over the agents.
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

// loadFactorAt is by how much the load is up at a time. It is part of the schedule, so that a seed gives the same
// arrivals whatever the agents do.
func (l *Lab) loadFactorAt(at time.Duration) float64 {
	f := 1.0
	if again := l.Scenario.RepeatInterval.Duration(); again > 0 {
		at %= again
	}
	for _, x := range l.Scenario.Faults {
		if x.Kind == "burst" && at >= x.At.Duration() && (x.Duration == 0 || at < x.At.Duration()+x.Duration.Duration()) {
			f *= x.Size
		}
	}
	return f
}

// nextArrival draws the next arrival after a time: an exponential span of load, walked in small steps as it changes.
func (l *Lab) nextArrival(a *agent, at time.Duration) time.Duration {
	const walk = 10 * time.Millisecond
	left := a.arrivalRandom.ExpFloat64()
	for {
		rate := a.rate * l.loadFactorAt(at)
		if need := left / rate; need <= walk.Seconds() {
			return at + seconds(need)
		}
		left -= rate * walk.Seconds()
		if at += walk; at > l.Scenario.Duration.Duration() {
			return math.MaxInt64
		}
	}
}

// runArrivals sends every request at its time, whatever became of the ones before, until the run's time is over.
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
		d := h[0]
		if wait := d.at - l.now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-l.ctx.Done():
				return
			}
			continue
		}
		p := l.newRequest(d.agent, d.at)
		l.mu.Lock()
		l.recordLateness(l.now() - d.at)
		d.agent.openRequests++
		l.mu.Unlock()
		l.running.Go(func() { l.runRequest(p) })
		if h[0].at = l.nextArrival(d.agent, d.at); h[0].at >= l.Scenario.Duration.Duration() {
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

// newRequest makes an agent's next request.
func (l *Lab) newRequest(a *agent, at time.Duration) *clientRequest {
	r := a.requestRandom
	req := &clientRequest{agent: a, index: a.lastIndex, intendedAt: at, random: l.rng.Stream(fmt.Sprintf("client/%d/%d", a.number, a.lastIndex))}
	a.lastIndex++
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

// takeQuota takes a request against its tenant's quota and reports whether it lies within. The lock is held.
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

// runRequest sends one request, with the client's own tries, and counts how it ended.
func (l *Lab) runRequest(req *clientRequest) {
	class := &l.classes[req.class]
	l.mu.Lock()
	req.weight = class.weight
	if !l.takeQuota(req.intendedAt, req.tenant) {
		req.weight *= l.Scenario.Load.OverQuotaWeight
	}
	l.mu.Unlock()
	const minRetryWaitMs, maxRetryWaitMs = 28, 220 // ms, of a client that was told nothing
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

// clientConn is a client's connection to its agent.
type clientConn struct {
	net.Conn
	read *bufio.Reader
	used bool
}

// attemptRequest sends a request once and returns how it ended, and how long the client is to stay away.
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
	l.scheduleAt(l.now()+check.Retention, func(time.Duration) { delete(agent.requests, id) }) // a late attempt still has its work
	l.mu.Unlock()
	return answer, wait
}

// exchange is the request itself. One that crosses the agent's closing of an idle connection is sent once more.
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
			continue // the agent closed it between requests
		}
		if answer == check.ClosedNew && l.reachedBackend(id) {
			answer = check.Closed // it has read the request, and owes an answer
		}
		return answer, wait
	}
}

// reachedBackend reports whether the agent has read a request: it has sent it on.
func (l *Lab) reachedBackend(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check.Attempts(id) > 0
}

var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// sendAndReceive writes the request on a connection and reads the answer.
func (l *Lab) sendAndReceive(c *clientConn, req *clientRequest, id string) (answer check.Answer, wait time.Duration, reusable bool) {
	buf := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)
	b := append((*buf)[:0], "POST "...)
	b = append(b, req.uri...)
	b = fmt.Appendf(b, " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: %s\r\nCookie: sid=%s\r\nX-Expires-In: %.3f\r\n",
		id, tenants[req.tenant].name, req.sid, req.timeout.Seconds())
	if req.idempotencyKey != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", req.idempotencyKey)
	}
	if req.attempts > 0 {
		b = append(b, "X-Second-Try: 1\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(req.body))
	b = append(b, req.body...)
	*buf = b
	timeout := req.timeout + answerGrace + 2*socketSlack
	cancels := req.cancelsAfter > 0 && req.cancelsAfter < timeout
	if cancels {
		timeout = req.cancelsAfter
	}
	_ = c.SetDeadline(time.Now().Add(timeout)) // a closed connection shows in the write
	if _, err := c.Write(b); err != nil {
		return check.ClosedNew, 0, false // not taken whole
	}
	taken := l.now()
	l.mu.Lock()
	l.check.Accept(taken, id)
	l.mu.Unlock()
	c.used = true
	_, err := c.read.Peek(1)
	if err != nil {
		return readErrorAnswer(err, cancels, check.ClosedNew), 0, false
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return readErrorAnswer(err, cancels, check.Closed), 0, false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return readErrorAnswer(err, cancels, check.Closed), 0, false
	}
	reusable = !resp.Close
	switch resp.StatusCode {
	case http.StatusOK:
		if !isServedBody(string(body), id) {
			return check.Foreign, 0, reusable
		}
		return check.Served, 0, reusable
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent: no advice
		return check.Rejected, seconds(s), reusable
	}
	return check.Failed, 0, reusable
}

// readErrorAnswer says what an error in reading an answer means.
func readErrorAnswer(err error, cancels bool, closed check.Answer) check.Answer {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return closed
	case cancels:
		return check.Disconnected
	}
	return check.Unanswered
}

// getConn returns a connection that is idle, or a new one; fresh: a new one.
func (a *agent) getConn(fresh bool) (*clientConn, error) {
	a.mu.Lock()
	if a.closed { // another lab's agent may be there by now
		a.mu.Unlock()
		return nil, net.ErrClosed
	}
	if n := len(a.idle); n > 0 && !fresh {
		c := a.idle[n-1]
		a.idle = a.idle[:n-1]
		a.mu.Unlock()
		return c, nil
	}
	a.mu.Unlock()
	c, err := net.DialTimeout("tcp4", a.listenAddr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, read: bufio.NewReader(c)}, nil
}

// putIdle keeps a connection for the next request.
func (a *agent) putIdle(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		c.Close()
		return
	}
	a.idle = append(a.idle, c)
}
