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
	"sync"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/tcpinfo"
)

// host is an emulated backend: its model, and a listener for each agent.
type host struct {
	lab     *Lab
	number  int
	machine *model.Machine
	server  *http.Server
	gates   []*gate // by agent
	ended   bool    // the backend has ended

	lastChange uint64 // sequence number of the backend's latest change that was passed to discovery

	mu     sync.Mutex
	conns  map[*backendConn]bool
	opened map[time.Duration]int // connections opened, by second of the run
}

func (h *host) endpoint() netfault.Endpoint {
	return netfault.Endpoint{Role: netfault.Backend, Number: h.number}
}

// backendConn is a connection from one agent.
type backendConn struct {
	net.Conn
	host      *host
	agent     int
	used      bool // the connection has carried an attempt; guarded by Lab.mu
	overLimit bool // the connection exceeds the connection limit of the backend
}

func (c *backendConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// listen opens a listener for each agent and serves requests on them until close is called.
func (h *host) listen() error {
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: idleClose,
		ErrorLog: log.New(io.Discard, "", 0), // agents are expected to disconnect
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	for n := range h.lab.agents {
		g, err := newGate(h.lab.block.linkAddr(n), func(c net.Conn) net.Conn {
			n := n
			h.mu.Lock()
			defer h.mu.Unlock()
			if a := h.lab.agentBySource(c); a != nil {
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

// agentBySource returns the agent whose address is the source address of a connection, or nil if there is none.
func (l *Lab) agentBySource(c net.Conn) *agent {
	if l.fleet == nil {
		return nil
	}
	if e := l.fleet.byProcessAddr[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]; e != nil && e.Role == netfault.Member {
		return l.agents[e.Number]
	}
	return nil
}

// close stops accepting connections and closes open ones. With resets, it closes them with a TCP reset.
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

// reset closes the connections of the affected agents with a TCP reset. If affected is nil, it closes the connections of all
// agents.
func (h *host) reset(affected func(agent int) bool) {
	h.mu.Lock()
	var list []*backendConn
	for c := range h.conns {
		if affected == nil || affected(c.agent) {
			list = append(list, c)
		}
	}
	h.mu.Unlock()
	for _, c := range list {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails only on a closed connection
		}
		c.Close()
	}
}

const maxBodyBytes = 1 << 20

// ServeHTTP receives an attempt or a health check, and answers once the emulation has a response.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*backendConn)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the connection ended before the last byte, so the attempt does not count
	}
	a := &attempt{id: r.Header.Get("X-Trace-Id"), host: h, agent: c.agent, conn: c, reply: make(chan response, 1), statedTimeout: -1}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64); err == nil {
		a.statedTimeout = seconds(s)
	}
	l := h.lab
	a.arrivedAt = l.now() - tcpinfo.SinceLastData(c.Conn) // correct even if this goroutine runs late
	l.mu.Lock()
	now := l.now()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.lastAttempt++
	a.number = l.lastAttempt
	probe := r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load")
	if !probe {
		l.countAttempt(now, a)
	}
	l.deliver(now, a.arrivedAt, a, fingerprint(r.Method, r.URL.RequestURI(), r.Header.Get("Idempotency-Key"), body), probe)
	l.mu.Unlock()
	select {
	case resp := <-a.reply:
		resp.write(w, c.overLimit)
	case <-r.Context().Done():
		l.mu.Lock()
		a.disconnected = true
		l.scheduleAt(l.now()+l.baseLatency(a.endpoint(), h.endpoint()), func(now time.Duration) { l.completeJobs(h, h.machine.Cancel(now, a.number)) })
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// write writes a response. With closes, the response has the header Connection: close.
func (resp response) write(w http.ResponseWriter, closes bool) {
	if resp.neverRan {
		w.Header().Set("X-Never-Ran", "1")
	}
	if closes {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(resp.status)
	_, _ = io.WriteString(w, resp.body) // fails only if the agent has disconnected
}

// countAttempt counts an attempt that has reached its backend, and checks it against the residency policy. Lab.mu is held.
func (l *Lab) countAttempt(now time.Duration, a *attempt) {
	h := a.host
	l.tally.CountAttempt(now, l.zone(a.endpoint()) != h.machine.Zone)
	req := l.agents[a.agent].requests[a.id]
	if req == nil {
		return
	}
	if req.attemptSeenFor != a.id {
		req.attemptSeenFor = a.id
		l.tally.CountFirstAttempt(now, l.unreachable(a.agent, h))
	}
	if l.residency != nil {
		l.check.CheckResidency(l.residency, now, a.arrivedAt, a.id, a.agent, req.tenant, req.class, h.machine.Zone, h.machine.ID)
	}
}
