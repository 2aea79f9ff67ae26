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
	lab    *Lab
	n      int
	m      *model.Machine
	server *http.Server
	gates  []*gate // by agent
	down   bool    // its process has ended

	changed uint64 // number of the latest change that discovery has to learn of

	mu     sync.Mutex
	conns  map[*backendConn]bool
	opened map[time.Duration]int // connections, by second
}

func (h *host) party() netfault.Endpoint {
	return netfault.Endpoint{Role: netfault.Backend, Number: h.n}
}

// backendConn is a connection from one agent.
type backendConn struct {
	net.Conn
	host  *host
	agent int
	used  bool // by one goroutine at a time: its server's
	over  bool // one more than the backend takes
}

func (c *backendConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// open starts listening, an address for each agent.
func (h *host) open() error {
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: idleClose,
		ErrorLog: log.New(io.Discard, "", 0), // agents that break off are its daily bread
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	for n := range h.lab.agents {
		g, err := newGate(h.lab.block.world(n), func(c net.Conn) net.Conn {
			n := n
			h.mu.Lock()
			defer h.mu.Unlock()
			if a := h.lab.caller(c); a != nil {
				n = a.n
			}
			b := &backendConn{Conn: c, host: h, agent: n, over: h.m.MaxConns > 0 && len(h.conns) >= h.m.MaxConns}
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
				h.lab.fail(fmt.Errorf("backend %s: %w", h.m.ID, err))
				h.lab.mu.Unlock()
			}
		})
	}
	return nil
}

// caller is the agent whose process has called from its own address, if any.
func (l *Lab) caller(c net.Conn) *agent {
	if l.fleet == nil {
		return nil
	}
	if e := l.fleet.mine[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]; e != nil && e.Role == netfault.Member {
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
	number uint64
	id     string
	host   *host
	agent  int
	conn   *backendConn
	came   time.Duration // its last byte, to the kernel
	reply  chan answer
	stated time.Duration // that the agent says it will wait; below 0: it says nothing
	gone   bool          // its connection is closed
	known  bool          // a client of the lab sent it
}

type answer struct {
	status int
	never  bool
	body   string
}

const mostBody = 1 << 20

// ServeHTTP takes an attempt, or a probe.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*backendConn)
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if err != nil {
		return // the connection ended before the request's last byte: it never came
	}
	a := &attempt{id: r.Header.Get("X-Trace-Id"), host: h, agent: c.agent, conn: c, reply: make(chan answer, 1), stated: -1}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64); err == nil {
		a.stated = seconds(s)
	}
	l := h.lab
	a.came = l.now() - tcpinfo.SinceLastData(c.Conn) // also where the lab sees to it later
	l.mu.Lock()
	now := l.now()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.attempt++
	a.number = l.attempt
	print := fingerprint(r.Method, r.URL.RequestURI(), r.Header.Get("Idempotency-Key"), body)
	probe := r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load")
	if !probe {
		l.tally.CountAttempt(now, l.zone(a.party()) != h.m.Zone)
		if p := l.agents[a.agent].plays[a.id]; p != nil {
			if p.reached != a.id {
				p.reached = a.id
				l.tally.CountFirstAttempt(now, l.shut(a.agent, h))
			}
			if l.resident != nil {
				l.check.CheckResidency(l.resident, now, a.came, a.id, a.agent, p.tenant, p.class, h.m.Zone, h.m.ID)
			}
		}
	}
	l.send(now, a.came, a, print, probe)
	l.mu.Unlock()
	select {
	case ans := <-a.reply:
		if ans.never {
			w.Header().Set("X-Never-Ran", "1")
		}
		if c.over {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(ans.status)
		_, _ = io.WriteString(w, ans.body) // an agent that has left is told so by its own end
	case <-r.Context().Done():
		l.mu.Lock()
		a.gone = true
		l.at(l.now()+l.way(a.party(), h.party()), func(now time.Duration) { l.ended(h, h.m.Cancel(now, a.number)) })
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (a *attempt) party() netfault.Endpoint {
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

// send takes an attempt over the network, which it reached at a time, to its machine. The lock is held.
func (l *Lab) send(now, reached time.Duration, a *attempt, print uint64, probe bool) {
	h := a.host
	l.attempts[a.number] = a
	fresh := !a.conn.used
	a.conn.used = true
	if l.net.Fault(a.party(), h.party(), netfault.TCP).Cut || h.m.State == model.Silent {
		if !probe {
			l.check.Record(now, a.id, "network", fmt.Sprintf("the attempt to %s does not get through", h.m.ID))
		}
		l.park(a.party(), h.party(), func(now time.Duration) { l.send(now, now, a, print, probe) })
		return
	}
	if a.gone {
		delete(l.attempts, a.number)
		return
	}
	d := l.net.Arrivals(a.party(), h.party(), netfault.TCP, a.id+"/"+h.m.ID)[0]
	if fresh { // a handshake: one round trip more, and work
		d += 2 * l.way(a.party(), h.party())
	}
	if !probe {
		a.known = l.check.Arrive(reached, check.Arrival{Attempt: a.number, ID: a.id, Agent: a.agent, Backend: h.m.ID,
			Cell: h.m.Cell, Fingerprint: print, SentAt: a.came, StatedTimeout: a.stated})
	}
	switch {
	case probe:
		l.at(now+d, func(now time.Duration) {
			load := h.m.Load()
			l.attempt++ // its work has a number of its own: the answer doesn't wait for it
			l.ended(h, h.m.Arrive(now, model.Job{Attempt: l.attempt, Work: h.m.ProbeWork, Agent: a.agent, ErrorDraw: 1}))
			l.answer(now, a, answer{status: http.StatusOK, body: fmt.Sprintf("TEXT inflight=%d, util=%.3f, latency_ms=%.3f",
				load.Inflight, load.Util, load.Service.Seconds()*1e3)}, "probed")
		})
	case a.conn.over:
		l.at(now+d, func(now time.Duration) {
			l.answer(now, a, answer{http.StatusServiceUnavailable, true, "too many connections"}, "turns the attempt away: too many connections")
		})
	default:
		draw := l.rng.Stream("attempt/" + a.id + "/" + h.m.ID)
		job := model.Job{Attempt: a.number, Agent: a.agent, ErrorDraw: draw.Float64(), NewConnection: fresh,
			StartKnown: l.check.KnowsStart(a.agent, h.m.ID, h.m.StartedAt)}
		if p := l.playing(a); p != nil {
			job.Work, job.Key = time.Duration(float64(p.work)*rng.Lognormal(draw, 1, 0.3)), p.key
			if l.dropped(now, p, h) { // its effect has happened there: what is left to do is to say so
				l.check.Record(now, a.id, h.m.ID, "its pod has met the key: the repeat is dropped")
				job.Work, job.Key = h.m.ProbeWork, 0
			}
		} else {
			job.Work = l.kinds[0].work
		}
		l.at(now+d, func(now time.Duration) { l.ended(h, h.m.Arrive(now, job)) })
	}
}

// podKey is a client's request as the backends of one pod know it.
type podKey struct {
	cell int
	key  string
}

// dropped reports whether a keyed request has come to a pod before, within its window, and keeps that it has. The
// lock is held.
func (l *Lab) dropped(now time.Duration, p *play, h *host) bool {
	if p.idem == "" {
		return false
	}
	k, window := podKey{h.m.Cell, p.idem}, l.kinds[p.class].window
	if l.pods[k] {
		return true
	}
	l.pods[k] = true
	l.at(now+window, func(time.Duration) { delete(l.pods, k) })
	return false
}

// playing is the client's request behind an attempt; nil: a visitor's.
func (l *Lab) playing(a *attempt) *play {
	if !a.known {
		return nil
	}
	return l.agents[a.agent].plays[a.id]
}

// ended answers the attempts that a machine is done with. The lock is held.
func (l *Lab) ended(h *host, done []model.Completion) {
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
			l.check.Record(d.At, a.id, h.m.ID, what)
			delete(l.attempts, d.Attempt)
		case model.Rejected:
			l.answer(d.At, a, answer{http.StatusServiceUnavailable, true, "full"}, what)
		case model.Failed:
			l.answer(d.At, a, answer{http.StatusInternalServerError, false, "failed"}, what)
		case model.Served:
			l.answer(d.At, a, answer{http.StatusOK, false, served(a.id, h.m.ID)}, what)
		}
	}
	if h.m.State == model.Overloaded && !h.down {
		h.down = true
		l.check.Overloaded(h.m.OverloadedAt, h.m.ID, h.m.InformedShare)
		l.fallen++
		l.refuse(h)
		l.disc.learn(l.now(), h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
	}
}

// served is the body that a backend makes for a request.
func served(id, backend string) string { return "served " + id + " by " + backend }

// madeFor reports whether a body is one that a backend makes for a request.
func madeFor(body, id string) bool { return strings.HasPrefix(body, "served "+id+" by s-") }

// answer takes what a machine answers back over the network. The lock is held.
func (l *Lab) answer(now time.Duration, a *attempt, ans answer, what string) {
	h := a.host
	if l.net.Fault(h.party(), a.party(), netfault.TCP).Cut || h.m.State == model.Silent {
		l.check.Record(now, a.id, "network", "the answer of "+h.m.ID+" ("+what+") does not get through")
		l.park(h.party(), a.party(), func(now time.Duration) { l.answer(now, a, ans, what) })
		return
	}
	delete(l.attempts, a.number)
	d := l.net.Arrivals(h.party(), a.party(), netfault.TCP, a.id+"/"+h.m.ID)[0]
	l.check.RecordReply(now, a.id, h.m.ID, what, ans.never)
	l.at(now+d, func(time.Duration) {
		select {
		case a.reply <- ans:
		default: // under the lab's lock nothing may wait
			l.fail(fmt.Errorf("the lab answered attempt %d of %s twice", a.number, a.id))
		}
	})
}

// park keeps a message until its way may be free again. The lock is held.
func (l *Lab) park(from, to netfault.Endpoint, send func(now time.Duration)) {
	l.parked = append(l.parked, parked{from, to, send})
}

// unpark tries what is parked again: what is still held up parks itself anew. The lock is held.
func (l *Lab) unpark(now time.Duration) {
	list := l.parked
	l.parked = nil
	for _, p := range list {
		p.send(now)
	}
}

// refuse has a backend's process end: connections are reset and refused. The lock is held.
func (l *Lab) refuse(h *host) {
	h.down = true
	l.running.Go(func() { h.close(true) })
}
