package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/tcpinfo"
)

// host is a backend: its machine, and a listener for each agent.
type host struct {
	lab     *Lab
	number  int
	machine *model.Machine
	server  *http.Server
	gates   []*gate // by agent
	ended   bool    // its process has ended

	lastChange uint64 // number of the latest change that discovery has to learn of

	mu     sync.Mutex
	conns  map[*backendConn]bool
	opened map[time.Duration]int // connections, by second
}

func (h *host) endpoint() netfault.Endpoint {
	return netfault.Endpoint{Role: netfault.Backend, Number: h.number}
}

// backendConn is a connection from one agent.
type backendConn struct {
	net.Conn
	host      *host
	agent     int
	used      bool // by one goroutine at a time: its server's
	overLimit bool // one more than the backend takes
}

func (c *backendConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// listen starts listening, an address for each agent.
func (h *host) listen() error {
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: idleClose,
		ErrorLog: log.New(io.Discard, "", 0), // agents that break off are its daily bread
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	for n := range h.lab.agents {
		g, err := newGate(h.lab.block.linkAddr(n), func(c net.Conn) net.Conn {
			n := n
			h.mu.Lock()
			defer h.mu.Unlock()
			if a := h.lab.agentCalling(c); a != nil {
				n = a.number
			}
			b := &backendConn{Conn: c, host: h, agent: n, overLimit: h.machine.MaxConns > 0 && len(h.conns) >= h.machine.MaxConns}
			h.conns[b] = true
			h.opened[max(0, h.lab.now())/time.Second]++
			return b
		})
		if err != nil {
			return err
		}
		h.gates = append(h.gates, g)
		h.lab.running.Go(func() {
			if err := h.server.Serve(g); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				h.lab.mu.Lock()
				h.lab.fail(fmt.Errorf("backend %s: %w", h.machine.ID, err))
				h.lab.mu.Unlock()
			}
		})
	}
	return nil
}

// agentCalling is the agent whose process has called from its own address, if any.
func (l *Lab) agentCalling(c net.Conn) *agent {
	if l.fleet == nil {
		return nil
	}
	if e := l.fleet.byProcessAddr[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]; e != nil && e.Role == netfault.Member {
		return l.agents[e.Number]
	}
	return nil
}

// close refuses connections from now on, and resets those that stand if wanted.
func (h *host) close(resets bool) {
	if h.server == nil {
		return
	}
	for _, g := range h.gates {
		g.Close()
	}
	if resets {
		h.reset(nil)
	}
	h.server.Close()
}

// reset resets the connections of some agents; nil: of all.
func (h *host) reset(of func(agent int) bool) {
	h.mu.Lock()
	var list []*backendConn
	for c := range h.conns {
		if of == nil || of(c.agent) {
			list = append(list, c)
		}
	}
	h.mu.Unlock()
	for _, c := range list {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closed already if it fails
		}
		c.Close()
	}
}

// attempt is one request of an agent at a backend.
type attempt struct {
	number        uint64
	id            string
	host          *host
	agent         int
	conn          *backendConn
	arrivedAt     time.Duration // its last byte, to the kernel
	reply         chan answer
	statedTimeout time.Duration // that the agent says it will wait; below 0: it says nothing
	disconnected  bool          // its connection is closed
	fromLabClient bool          // a client of the lab sent it
}

type answer struct {
	status   int
	neverRan bool
	body     string
}

const maxBodyBytes = 1 << 20

// ServeHTTP takes an attempt, or a probe.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*backendConn)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the connection ended before the request's last byte: it never came
	}
	a := &attempt{id: r.Header.Get("X-Trace-Id"), host: h, agent: c.agent, conn: c, reply: make(chan answer, 1), statedTimeout: -1}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64); err == nil {
		a.statedTimeout = seconds(s)
	}
	l := h.lab
	a.arrivedAt = l.now() - tcpinfo.SinceLastData(c.Conn) // also where the lab sees to it later
	l.mu.Lock()
	now := l.now()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.lastAttempt++
	a.number = l.lastAttempt
	print := fingerprint(r.Method, r.URL.RequestURI(), r.Header.Get("Idempotency-Key"), body)
	probe := r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load")
	if !probe {
		l.tally.CountAttempt(now, l.zone(a.endpoint()) != h.machine.Zone)
		if p := l.agents[a.agent].requests[a.id]; p != nil {
			if p.attemptSeenFor != a.id {
				p.attemptSeenFor = a.id
				l.tally.CountFirstAttempt(now, l.unreachable(a.agent, h))
			}
			if l.residency != nil {
				l.check.CheckResidency(l.residency, now, a.arrivedAt, a.id, a.agent, p.tenant, p.class, h.machine.Zone, h.machine.ID)
			}
		}
	}
	l.deliver(now, a.arrivedAt, a, print, probe)
	l.mu.Unlock()
	select {
	case ans := <-a.reply:
		if ans.neverRan {
			w.Header().Set("X-Never-Ran", "1")
		}
		if c.overLimit {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(ans.status)
		_, _ = io.WriteString(w, ans.body) // an agent that has left is told so by its own end
	case <-r.Context().Done():
		l.mu.Lock()
		a.disconnected = true
		l.scheduleAt(l.now()+l.baseLatency(a.endpoint(), h.endpoint()), func(now time.Duration) { l.completeJobs(h, h.machine.Cancel(now, a.number)) })
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (a *attempt) endpoint() netfault.Endpoint {
	return netfault.Endpoint{Role: netfault.Agent, Number: a.agent}
}

func fingerprint(method, uri, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, "\x00", uri, "\x00", key, "\x00"} {
		_, _ = d.WriteString(s) // a hash takes every write
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// deliver takes an attempt over the network, which it reached at a time, to its machine. The lock is held.
func (l *Lab) deliver(now, sentAt time.Duration, a *attempt, fingerprint uint64, probe bool) {
	h := a.host
	l.attempts[a.number] = a
	newConnection := !a.conn.used
	a.conn.used = true
	if l.network.Fault(a.endpoint(), h.endpoint(), netfault.TCP).Cut || h.machine.State == model.Silent {
		if !probe {
			l.check.Record(now, a.id, "network", fmt.Sprintf("the attempt to %s does not get through", h.machine.ID))
		}
		l.queueUntilReachable(a.endpoint(), h.endpoint(), func(now time.Duration) { l.deliver(now, now, a, fingerprint, probe) })
		return
	}
	if a.disconnected {
		delete(l.attempts, a.number)
		return
	}
	latency := l.network.Arrivals(a.endpoint(), h.endpoint(), netfault.TCP, a.id+"/"+h.machine.ID)[0]
	if newConnection { // a handshake: one round trip more, and work
		latency += 2 * l.baseLatency(a.endpoint(), h.endpoint())
	}
	if !probe {
		a.fromLabClient = l.check.Arrive(sentAt, check.Arrival{Attempt: a.number, ID: a.id, Agent: a.agent, Backend: h.machine.ID,
			Cell: h.machine.Cell, Fingerprint: fingerprint, SentAt: a.arrivedAt, StatedTimeout: a.statedTimeout})
	}
	switch {
	case probe:
		l.scheduleAt(now+latency, func(now time.Duration) {
			load := h.machine.Load()
			l.lastAttempt++ // its work has a number of its own: the answer doesn't wait for it
			l.completeJobs(h, h.machine.Arrive(now, model.Job{Attempt: l.lastAttempt, Work: h.machine.ProbeWork, Agent: a.agent, ErrorDraw: 1}))
			l.reply(now, a, answer{status: http.StatusOK, body: fmt.Sprintf("TEXT inflight=%d, util=%.3f, latency_ms=%.3f",
				load.Inflight, load.Util, load.Service.Seconds()*1e3)}, "probed")
		})
	case a.conn.overLimit:
		l.scheduleAt(now+latency, func(now time.Duration) {
			l.reply(now, a, answer{http.StatusServiceUnavailable, true, "too many connections"}, "turns the attempt away: too many connections")
		})
	default:
		draw := l.rng.Stream("attempt/" + a.id + "/" + h.machine.ID)
		job := model.Job{Attempt: a.number, Agent: a.agent, ErrorDraw: draw.Float64(), NewConnection: newConnection,
			StartKnown: l.check.KnowsStart(a.agent, h.machine.ID, h.machine.StartedAt)}
		if p := l.clientRequestOf(a); p != nil {
			job.Work, job.Key = time.Duration(float64(p.work)*rng.Lognormal(draw, 1, 0.3)), p.key
			if l.isDuplicate(now, p, h) { // its effect has happened there: what is left to do is to say so
				l.check.Record(now, a.id, h.machine.ID, "its pod has met the key: the repeat is dropped")
				job.Work, job.Key = h.machine.ProbeWork, 0
			}
		} else {
			job.Work = l.classes[0].work
		}
		l.scheduleAt(now+latency, func(now time.Duration) { l.completeJobs(h, h.machine.Arrive(now, job)) })
	}
}

// cellKey is a client's request as the backends of one pod know it.
type cellKey struct {
	cell int
	key  string
}

// isDuplicate reports whether a keyed request has come to a pod before, within its window, and keeps that it has. The
// lock is held.
func (l *Lab) isDuplicate(now time.Duration, p *clientRequest, h *host) bool {
	if p.idempotencyKey == "" {
		return false
	}
	key, window := cellKey{h.machine.Cell, p.idempotencyKey}, l.classes[p.class].dedupWindow
	if l.servedKeys[key] {
		return true
	}
	l.servedKeys[key] = true
	l.scheduleAt(now+window, func(time.Duration) { delete(l.servedKeys, key) })
	return false
}

// clientRequestOf is the client's request behind an attempt; nil: a visitor's.
func (l *Lab) clientRequestOf(a *attempt) *clientRequest {
	if !a.fromLabClient {
		return nil
	}
	return l.agents[a.agent].requests[a.id]
}

// completeJobs answers the attempts that a machine is done with. The lock is held.
func (l *Lab) completeJobs(h *host, done []model.Completion) {
	for _, d := range done {
		a := l.attempts[d.Attempt]
		if a == nil {
			continue // a probe's work, or one that is answered
		}
		what := d.Result.String()
		if d.QueuedFor > 0 {
			what += fmt.Sprintf(" after %v in the waiting room", d.QueuedFor.Round(100*time.Microsecond))
		}
		switch d.Result {
		case model.Lost, model.Dropped: // nothing comes back
			l.check.Record(d.At, a.id, h.machine.ID, what)
			delete(l.attempts, d.Attempt)
		case model.Rejected:
			l.reply(d.At, a, answer{http.StatusServiceUnavailable, true, "full"}, what)
		case model.Failed:
			l.reply(d.At, a, answer{http.StatusInternalServerError, false, "failed"}, what)
		case model.Served:
			l.reply(d.At, a, answer{http.StatusOK, false, servedBody(a.id, h.machine.ID)}, what)
		}
	}
	if h.machine.State == model.Overloaded && !h.ended {
		h.ended = true
		l.check.Overloaded(h.machine.OverloadedAt, h.machine.ID, h.machine.InformedShare)
		l.overloadedBackends++
		l.endHost(h)
		l.discovery.learn(l.now(), h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
	}
}

// servedBody is the body that a backend makes for a request.
func servedBody(id, backend string) string { return "served " + id + " by " + backend }

// isServedBody reports whether a body is one that a backend makes for a request.
func isServedBody(body, id string) bool { return strings.HasPrefix(body, "served "+id+" by s-") }

// reply takes what a machine answers back over the network. The lock is held.
func (l *Lab) reply(now time.Duration, a *attempt, answer answer, what string) {
	h := a.host
	if l.network.Fault(h.endpoint(), a.endpoint(), netfault.TCP).Cut || h.machine.State == model.Silent {
		l.check.Record(now, a.id, "network", "the answer of "+h.machine.ID+" ("+what+") does not get through")
		l.queueUntilReachable(h.endpoint(), a.endpoint(), func(now time.Duration) { l.reply(now, a, answer, what) })
		return
	}
	delete(l.attempts, a.number)
	latency := l.network.Arrivals(h.endpoint(), a.endpoint(), netfault.TCP, a.id+"/"+h.machine.ID)[0]
	l.check.RecordReply(now, a.id, h.machine.ID, what, answer.neverRan)
	l.scheduleAt(now+latency, func(time.Duration) {
		select {
		case a.reply <- answer:
		default: // under the lab's lock nothing may wait
			l.fail(fmt.Errorf("the lab answered attempt %d of %s twice", a.number, a.id))
		}
	})
}

// queueUntilReachable keeps a message until its way may be free again. The lock is held.
func (l *Lab) queueUntilReachable(from, to netfault.Endpoint, send func(now time.Duration)) {
	l.partitioned = append(l.partitioned, partitionedMessage{from, to, send})
}

// retryPartitioned tries what is parked again: what is still held up parks itself anew. The lock is held.
func (l *Lab) retryPartitioned(now time.Duration) {
	list := l.partitioned
	l.partitioned = nil
	for _, p := range list {
		p.send(now)
	}
}

// endHost has a backend's process end: connections are reset and refused. The lock is held.
func (l *Lab) endHost(h *host) {
	h.ended = true
	l.running.Go(func() { h.close(true) })
}
