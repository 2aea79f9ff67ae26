// Package upstream holds the agent's connections to backends and makes attempts on them.
//
// A Pool makes exactly the attempts that it is told to make: it neither chooses backends nor retries. Each attempt is one
// request, written at most once, and its result says for certain whether the backend may have executed it (attempt.go,
// trackedconn.go). Idle connections are reused while they can be trusted (reuse.go). Bodies and responses that are too large
// to be buffered are streamed (upload.go, stream.go, bufferedresponse.go), within a budget of memory (buffers.go).
package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/residency/gate"
)

// A backend may send a response twice, the second some milliseconds after the first. On an idle connection the duplicate is
// recognised as unsolicited and the connection is closed; once the next request is written, it would be taken for that
// request's response. So connections that have been idle for settleTime are preferred, and while unsolicited bytes were
// seen within unsolicitedMemory, only those are reused. Requiring it always would cost one more connection for each
// backend, and 6% more latency under load, where no duplicates ever come.
const (
	settleTime        = 20 * time.Millisecond
	unsolicitedMemory = reuseHalfLife // after the latest unsolicited byte
)

// maxResponseHeader is in bytes.
const maxResponseHeader = 32 << 10

var (
	ErrTimedOut           = errors.New("timed out")
	ErrCancelled          = errors.New("cancelled")
	errNoDescriptor       = errors.New("no file descriptor left for another connection")
	errEndpointChanged    = errors.New("endpoint changed")
	errAlreadyAnswered    = errors.New("request already answered")
	errResidencyForbidden = errors.New("forbidden by the residency policy")
	errTooLarge           = errors.New("response too large")
	ErrBackendDisabled    = errors.New("backend detached by operators")
)

// Pool owns the connections to all backends. It makes exactly the attempts that it is told to make; each is one
// request, written at most once on one connection. Its methods may be called from any goroutine.
type Pool struct {
	cfg         Config
	log         *slog.Logger
	transport   *http.Transport
	idleTimeout time.Duration

	// Buffers is the memory for streams, of which the frontend takes its part too.
	Buffers *Buffers
	// DialContext opens connections to backends. It may be replaced before the first attempt.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// Residency is the residency policy, set before the first attempt; nil: none.
	Residency gate.Enforcer

	mu              sync.Mutex
	maxConns        int                      // bound on openConns
	endpoints       map[string]*Endpoint     // by backend id
	disabled        map[string]bool          // backend ids to which operators forbid to send
	idle            map[string][]*pooledConn // by backend id, the most recently used last
	openConns       int                      // idle, in use or being dialled
	reuseStats      reuseStats
	settleTime      time.Duration // idle time after which a connection is preferred; a constant outside tests
	lastUnsolicited time.Time     // when unsolicited bytes were last found
	closed          bool          // no connection is kept any more
}

// Config is what a pool is told at its start.
type Config struct {
	MaxConns       int           // connections that may be open at once
	MemoryMB       int           // of the process, of which streams get a part; 0: a default
	DialFrom       string        // local IP address for connections; "": the system chooses
	ConnectTimeout time.Duration // also of health checks
	IdleClose      time.Duration // after which backends may close an idle connection
	LoadInline     bool          // responses carry load reports
	LoadProbed     bool          // health checks do
}

// pooledConn is one connection to a backend. It carries one request at a time.
type pooledConn struct {
	*http.ClientConn
	tracked   *trackedConn
	addr      string
	idleSince time.Time     // last time it became idle
	idleFor   time.Duration // how long it was idle before its current use; 0: new
}

// New returns a pool without endpoints.
func New(cfg Config, log *slog.Logger) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	if cfg.DialFrom != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.DialFrom)}
	}
	p := &Pool{cfg: cfg, log: log, Buffers: newBuffers(cfg.MemoryMB), maxConns: cfg.MaxConns, DialContext: dialer.DialContext,
		// Backends may close an idle connection after IdleClose. A request that crosses the close is lost as a
		// reset that may have been executed. A quarter of the time is far more than any network delay.
		idleTimeout: cfg.IdleClose * 3 / 4,
		settleTime:  settleTime,
		endpoints:   map[string]*Endpoint{}, disabled: map[string]bool{}, idle: map[string][]*pooledConn{}}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
		// The tracked connection goes to dial by the slot in its context.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := p.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := newTrackedConn(c)
			if slot, ok := ctx.Value(dialSlotKey{}).(*dialSlot); ok {
				slot.conn = conn
			}
			return conn, nil
		},
	}
	return p
}

type (
	dialSlotKey struct{}
	dialSlot    struct{ conn *trackedConn }
)

// Endpoint is what the list says about a backend as far as it matters to an attempt between the balancer's decision and
// its first byte. It is immutable: a change in the list makes a new one, so pointers can be compared.
type Endpoint struct {
	Addr       string
	Zone, Cell int
	Draining   bool
}

// ApplyUpdate applies an update of the list. Idle connections to a backend that is gone, drains or has a new address are
// closed: another process answers at the new address, and a draining backend wants no new requests.
func (p *Pool) ApplyUpdate(update discovery.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if update.Endpoints.Kind != balancer.UpdateDelta && update.Endpoints.Kind != balancer.UpdateFailed {
		for id := range p.endpoints {
			if _, listed := update.Addrs[id]; !listed {
				p.removeEndpoint(id)
			}
		}
	}
	for _, backend := range update.Endpoints.Backends {
		addr, ok := update.Addrs[backend.ID]
		if !ok {
			p.removeEndpoint(backend.ID)
			continue
		}
		current := Endpoint{Addr: addr, Zone: backend.Zone, Cell: backend.Cell, Draining: backend.State != balancer.Up}
		if previous := p.endpoints[backend.ID]; previous == nil || *previous != current {
			p.endpoints[backend.ID] = &current
			if previous != nil && (previous.Addr != addr || current.Draining) {
				p.closeIdle(backend.ID)
			}
		}
	}
}

// SetDisabled forbids to write to a backend, or permits it again. Both close its idle connections: operators restart
// the backend in between.
func (p *Pool) SetDisabled(id string, disabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if disabled {
		p.disabled[id] = true
	} else {
		delete(p.disabled, id)
	}
	p.closeIdle(id)
}

// removeEndpoint forgets a backend and closes its idle connections. The caller holds mu.
func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.closeIdle(id)
}

// closeIdle closes a backend's idle connections. The caller holds mu.
func (p *Pool) closeIdle(id string) {
	for _, c := range p.idle[id] {
		p.discard(c)
	}
	delete(p.idle, id)
}

// discard closes a connection and uncounts it. The caller holds mu; closing a socket does not block.
func (p *Pool) discard(conn *pooledConn) {
	p.openConns--
	if conn.tracked.hasUnsolicited() {
		p.lastUnsolicited = time.Now()
	}
	conn.Close()
}

// acquire returns an idle connection to a backend, or the address at which to dial a new one, already counted in
// openConns. It fails with errEndpointChanged, ErrBackendDisabled or errNoDescriptor.
func (p *Pool) acquire(id string) (*pooledConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[id]
	switch {
	case endpoint == nil:
		return nil, "", errEndpointChanged
	case p.disabled[id]:
		return nil, "", ErrBackendDisabled
	}
	p.idle[id] = slices.DeleteFunc(p.idle[id], func(conn *pooledConn) bool {
		usable := p.isUsable(conn)
		if !usable {
			p.discard(conn)
		}
		return !usable
	})
	if i := p.pickIdle(p.idle[id]); i >= 0 {
		conn := p.idle[id][i]
		p.idle[id] = slices.Delete(p.idle[id], i, i+1)
		conn.idleFor = max(1, time.Since(conn.idleSince))
		return conn, endpoint.Addr, nil
	}
	if p.openConns >= p.maxConns && !p.evictOldest() {
		return nil, "", errNoDescriptor
	}
	p.openConns++
	return nil, endpoint.Addr, nil
}

// pickIdle returns the index of the idle connection to use: the most recently used one that has settled, otherwise the
// most recently used one; below 0: none. The caller holds mu.
func (p *Pool) pickIdle(idle []*pooledConn) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if time.Since(idle[i].idleSince) >= p.settleTime {
			return i
		}
	}
	if time.Since(p.lastUnsolicited) < unsolicitedMemory {
		return -1
	}
	return len(idle) - 1
}

// isUsable reports whether an idle connection may carry a request. The caller holds mu.
func (p *Pool) isUsable(c *pooledConn) bool {
	idle := time.Since(c.idleSince)
	return c.Err() == nil && idle < p.idleTimeout && !p.reuseStats.unreliable(idle)
}

// Endpoint returns what the list says about a backend now; nil: nothing.
func (p *Pool) Endpoint(id string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// CheckSendable returns why an attempt must not be written now: its request has its reply, the backend left the list,
// drains, moved or was disabled since the decision, the time for a safe retry is over, or the residency policy forbids it.
func (p *Pool) CheckSendable(att *Attempt) error {
	select {
	case <-att.RequestDone:
		return errAlreadyAnswered
	default:
	}
	p.mu.Lock()
	disabled, endpoint := p.disabled[att.BackendID], p.endpoints[att.BackendID]
	p.mu.Unlock()
	switch {
	case disabled:
		return ErrBackendDisabled
	case endpoint == nil || att.Endpoint != nil && att.Endpoint != endpoint:
		return errEndpointChanged
	case !att.WriteBy.IsZero() && !time.Now().Before(att.WriteBy):
		return errRetryWindowOver
	case !p.residencyPermits(att.ResidencyRule, att.BackendID):
		return errResidencyForbidden
	}
	return nil
}

// EndpointCount returns the number of backends in the list.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// Stats are numbers of connections.
type Stats struct {
	Open  int // idle, in use or being dialled
	Idle  int
	Limit int // on Open
}

// Stats returns the present numbers of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Open: p.openConns, Limit: p.maxConns}
	for _, conns := range p.idle {
		stats.Idle += len(conns)
	}
	return stats
}

// recordReuse records whether the connection broke under its request before a response began.
func (p *Pool) recordReuse(c *pooledConn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseStats.record(c.idleFor, broken)
}

// SetLimit changes how many connections may be open at once. Idle ones beyond it are closed.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = limit
	for p.openConns > p.maxConns && p.evictOldest() {
	}
}

// evictOldest closes the connection that has been idle longest, of any backend. The caller holds mu.
func (p *Pool) evictOldest() bool {
	var oldest string
	for id, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	p.discard(p.idle[oldest][0])
	p.idle[oldest] = p.idle[oldest][1:]
	return true
}

// release makes a connection idle, or closes it if it must not be used again.
func (p *Pool) release(id string, conn *pooledConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[id]
	if !reusable || p.closed || conn.Err() != nil || endpoint == nil || endpoint.Addr != conn.addr || endpoint.Draining ||
		p.disabled[id] {
		p.discard(conn)
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// Close closes the idle connections; those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id := range p.idle {
		p.closeIdle(id)
	}
}

// CloseExpired closes connections that have been idle for too long, until ctx ends.
func (p *Pool) CloseExpired(ctx context.Context) {
	interval := max(p.idleTimeout/8, time.Millisecond)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		p.reuseStats.decay(interval)
		for id, list := range p.idle {
			kept := list[:0]
			for _, c := range list {
				if p.isUsable(c) {
					kept = append(kept, c)
				} else {
					p.discard(c)
				}
			}
			clear(list[len(kept):])
			p.idle[id] = kept
		}
		p.mu.Unlock()
	}
}

// dial opens a connection within the connect timeout and ctx. acquire has counted it already.
func (p *Pool) dial(ctx context.Context, addr string) (*pooledConn, error) {
	slot := &dialSlot{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, dialSlotKey{}, slot), p.cfg.ConnectTimeout)
	defer cancel()
	clientConn, err := p.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return &pooledConn{ClientConn: clientConn, tracked: slot.conn, addr: addr, idleSince: time.Now()}, nil
}

// residencyPermits checks right before the network, independently of the balancer, whether a request under a residency
// rule may go to a backend. A violation is reported to the policy's keeper.
func (p *Pool) residencyPermits(rule int, id string) bool {
	if p.Residency == nil || rule == 0 {
		return true
	}
	zone := -1
	if endpoint := p.Endpoint(id); endpoint != nil {
		zone = endpoint.Zone
	}
	if p.Residency.Table().Permits(rule, zone) {
		return true
	}
	p.Residency.CountRefusal(rule, zone)
	return false
}
