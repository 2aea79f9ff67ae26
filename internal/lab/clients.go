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

// play is one client's request: all its tries together.
type play struct {
	first    string
	n        int // of the agent's requests
	agent    *agent
	class    int
	tenant   int
	worth    float64
	key      uint64
	sid      string
	work     time.Duration
	body     []byte
	intended time.Duration
	patience time.Duration // of each try
	leaves   time.Duration // the client goes away so long after a try's begin; 0: it doesn't
	honours  bool
	tries    int
	reached  string // the latest of its tries of which an attempt was seen
	draw     *rand.Rand
	uri      string
	idem     string
}

// due is the next arrival at an agent.
type due struct {
	at    time.Duration
	agent *agent
}

type dues []due

func (h dues) Len() int { return len(h) }
func (h dues) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].agent.n < h[j].agent.n
}
func (h dues) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dues) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dues) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}

// weigh shares the load out over the agents.
func (l *Lab) weigh() {
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
		a.gaps, a.draws, a.keys = l.rng.Of("arrivals", a.n), l.rng.Of("requests", a.n), zipf
	}
}

// factor is by how much the load is up at a time. It is part of the schedule, so that a seed gives the same
// arrivals whatever the agents do.
func (l *Lab) factor(at time.Duration) float64 {
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

// gap draws the next arrival after a time: an exponential span of load, walked in small steps as it changes.
func (l *Lab) gap(a *agent, at time.Duration) time.Duration {
	const walk = 10 * time.Millisecond
	left := a.gaps.ExpFloat64()
	for {
		rate := a.rate * l.factor(at)
		if need := left / rate; need <= walk.Seconds() {
			return at + seconds(need)
		}
		left -= rate * walk.Seconds()
		if at += walk; at > l.Scenario.Duration.Duration() {
			return math.MaxInt64
		}
	}
}

// arrivals sends every request at its time, whatever became of the ones before, until the run's time is over.
func (l *Lab) arrivals() {
	var h dues
	for _, a := range l.agents {
		if at := l.gap(a, 0); at < l.Scenario.Duration.Duration() {
			h = append(h, due{at, a})
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
		p := l.draw(d.agent, d.at)
		l.mu.Lock()
		l.lateBy(l.now() - d.at)
		d.agent.open++
		l.mu.Unlock()
		l.running.Go(func() { l.play(p) })
		if h[0].at = l.gap(d.agent, d.at); h[0].at >= l.Scenario.Duration.Duration() {
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

// draw makes an agent's next request.
func (l *Lab) draw(a *agent, at time.Duration) *play {
	r := a.draws
	p := &play{agent: a, n: a.drawn, intended: at, draw: l.rng.Stream(fmt.Sprintf("client/%d/%d", a.n, a.drawn))}
	a.drawn++
	p.first = fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("request/%d/%d/0", a.n, p.n)))
	if r.Float64() >= l.kinds[0].share {
		p.class = 1
	}
	c := &l.kinds[p.class]
	usage := tenants[0].share * tenants[0].usage
	if r.Float64()*(usage+tenants[1].share*tenants[1].usage) >= usage {
		p.tenant = 1
	}
	p.work = time.Duration(rng.Lognormal(r, float64(c.work), c.cv))
	p.sid = fmt.Sprintf("stop-%06d", a.keys.Draw(r))
	p.key = l.rng.Hash("key/" + p.sid)
	p.patience = time.Duration(l.Scenario.Load.TimeoutShare * float64(c.deadline))
	p.honours = p.draw.Float64() < l.Scenario.Load.RetryAfterShare
	if leaves := p.draw.Float64(); p.draw.Float64() < l.Scenario.Load.CancelShare {
		p.leaves = time.Duration(leaves * float64(c.aim))
	}
	p.uri = "/" + c.name + "/v1"
	if c.effect == check.IdempotencyKey {
		p.idem = fmt.Sprintf("%016x%016x", l.rng.Hash("idem/"+p.first), p.key)
	}
	p.body = fmt.Appendf(nil, `{"stop":%q,"n":%d,"pad":"%0*d"}`, p.sid, p.n, 20+r.IntN(200), 0)
	return p
}

// inShare takes a request against its tenant's quota and reports whether it lies within. The lock is held.
func (l *Lab) inShare(now time.Duration, tenant int) bool {
	if l.quotas == nil {
		l.quotas = make([]quota, len(tenants))
		for i, t := range tenants {
			l.quotas[i] = quota{left: l.quota(t), rate: l.quota(t)}
		}
	}
	q := &l.quotas[tenant]
	q.left = min(q.rate, q.left+q.rate*(now-q.at).Seconds())
	q.at = max(q.at, now)
	if q.left < 1 {
		return false
	}
	q.left--
	return true
}

type quota struct {
	left, rate float64
	at         time.Duration
}

// play sends one request, with the client's own tries, and counts how it ended.
func (l *Lab) play(p *play) {
	c := &l.kinds[p.class]
	l.mu.Lock()
	p.worth = c.worth
	if !l.inShare(p.intended, p.tenant) {
		p.worth *= l.Scenario.Load.OverQuotaWeight
	}
	l.mu.Unlock()
	const firstWait, secondWait = 28, 220 // ms, of a client that was told nothing
	var end check.Answer
	for {
		id := p.first
		if p.tries > 0 {
			id = fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("request/%d/%d/%d", p.agent.n, p.n, p.tries)))
		}
		var wait time.Duration
		end, wait = l.try(p, id)
		p.tries++
		if end != check.Rejected && end != check.Unreachable || p.tries > l.Scenario.Load.Retries || l.ctx.Err() != nil {
			break
		}
		if wait == 0 || !p.honours {
			wait = time.Duration(rng.Between(p.draw, firstWait, secondWait)) * time.Millisecond
		}
		if l.now()+wait > p.intended+c.deadline {
			break
		}
		time.Sleep(wait)
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p.agent.open--
	l.tally.CountOutcome(check.Outcome{IntendedAt: p.intended, FinishedAt: now, Answer: end, InObjective: end == check.Served && now <= p.intended+c.aim,
		Weight: p.worth, Class: p.class, Tenant: p.tenant, Zone: p.agent.n % len(l.Scenario.Fleet.Zones), ClientAttempts: p.tries})
}

// clientConn is a client's connection to its agent.
type clientConn struct {
	net.Conn
	read *bufio.Reader
	used bool
}

// try sends a request once and returns how it ended, and how long the client is to stay away.
func (l *Lab) try(p *play, id string) (check.Answer, time.Duration) {
	a := p.agent
	me, agent := party(netfault.Client, a.n), party(netfault.Agent, a.n)
	l.mu.Lock()
	now := l.now()
	l.check.Open(now, &check.Request{ID: id, FirstID: p.first, Attempt: p.tries, Agent: a.n, Class: p.class, SentAt: now, Timeout: p.patience,
		Fingerprint: fingerprint(http.MethodPost, p.uri, p.idem, p.body)})
	a.plays[id] = p
	shut, refused := l.net.Unreachable(me, agent), l.net.Refused(me, agent)
	var way time.Duration
	if !shut {
		way = l.net.Arrivals(me, agent, netfault.TCP, id)[0]
	}
	l.mu.Unlock()
	answer, wait := check.Unreachable, time.Duration(0)
	if !shut && !refused {
		if way > 0 {
			time.Sleep(way)
		}
		answer, wait = l.exchange(p, id)
	} else if shut {
		time.Sleep(connectTimeout)
	}
	over := l.now()
	l.mu.Lock()
	l.check.Finish(over, id, answer)
	l.at(l.now()+check.Retention, func(time.Duration) { delete(a.plays, id) }) // a late attempt still has its work
	l.mu.Unlock()
	return answer, wait
}

// exchange is the request itself. One that crosses the agent's closing of an idle connection is sent once more.
func (l *Lab) exchange(p *play, id string) (check.Answer, time.Duration) {
	for again := false; ; again = true {
		c, err := p.agent.connect(again)
		if err != nil {
			return check.Unreachable, 0
		}
		used := c.used
		answer, wait, keep := l.on(c, p, id)
		if keep {
			p.agent.keep(c)
		} else {
			c.Close()
		}
		if answer == check.ClosedNew && used && !l.wasRead(id) {
			continue // the agent closed it between requests
		}
		if answer == check.ClosedNew && l.wasRead(id) {
			answer = check.Closed // it has read the request, and owes an answer
		}
		return answer, wait
	}
}

// wasRead reports whether the agent has read a request: it has sent it on.
func (l *Lab) wasRead(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check.Attempts(id) > 0
}

var writers = sync.Pool{New: func() any { return new([]byte) }}

// on writes the request on a connection and reads the answer.
func (l *Lab) on(c *clientConn, p *play, id string) (answer check.Answer, wait time.Duration, keep bool) {
	buf := writers.Get().(*[]byte)
	defer writers.Put(buf)
	b := append((*buf)[:0], "POST "...)
	b = append(b, p.uri...)
	b = fmt.Appendf(b, " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: %s\r\nCookie: sid=%s\r\nX-Expires-In: %.3f\r\n",
		id, tenants[p.tenant].name, p.sid, p.patience.Seconds())
	if p.idem != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", p.idem)
	}
	if p.tries > 0 {
		b = append(b, "X-Second-Try: 1\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(p.body))
	b = append(b, p.body...)
	*buf = b
	patience := p.patience + answerSlack + 2*socketSlack
	leaves := p.leaves > 0 && p.leaves < patience
	if leaves {
		patience = p.leaves
	}
	_ = c.SetDeadline(time.Now().Add(patience)) // a closed connection shows in the write
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
		return ended(err, leaves, check.ClosedNew), 0, false
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return ended(err, leaves, check.Closed), 0, false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return ended(err, leaves, check.Closed), 0, false
	}
	keep = !resp.Close
	switch resp.StatusCode {
	case http.StatusOK:
		if !madeFor(string(body), id) {
			return check.Foreign, 0, keep
		}
		return check.Served, 0, keep
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent: no advice
		return check.Rejected, seconds(s), keep
	}
	return check.Failed, 0, keep
}

// ended says what an error in reading an answer means.
func ended(err error, leaves bool, closed check.Answer) check.Answer {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return closed
	case leaves:
		return check.Disconnected
	}
	return check.Unanswered
}

// connect returns a connection that is idle, or a new one; fresh: a new one.
func (a *agent) connect(fresh bool) (*clientConn, error) {
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
	c, err := net.DialTimeout("tcp4", a.listen, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, read: bufio.NewReader(c)}, nil
}

// keep keeps a connection for the next request.
func (a *agent) keep(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		c.Close()
		return
	}
	a.idle = append(a.idle, c)
}
