// Package upstream holds the agent's connections to backends and makes attempts on them.
//
// A Pool makes exactly the attempts that it is told to make: it neither chooses backends nor retries. Each attempt is one
// request, written at most once, and its result says for certain whether the backend may have executed it (attempt.go,
// trackedconn.go). Idle connections are reused while they can be trusted (reuse.go). Bodies and responses that are too large
// to be buffered are streamed (upload.go, stream.go, bufferedresponse.go), within a budget of memory (buffers.go).
package upstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/residency/gate"
)

// A backend may send a response twice, the second some milliseconds after the first. On an idle connection the duplicate is
// recognised as unsolicited and the connection is closed; once the next request is written, it would be taken for that
// request's response. So connections that have been idle for settleTime are preferred, and while unsolicited bytes were
// seen within unsolicitedWindow, only those are reused. Requiring it always would cost one more connection for each
// backend, and 6% more latency under load, where no duplicates ever come.
const (
	settleTime        = 20 * time.Millisecond
	unsolicitedWindow = reuseHalfLife // after the latest unsolicited byte
)

// maxResponseHeader is in bytes.
const maxResponseHeader = 32 << 10

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

// Stats holds numbers of connections.
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

// SetLimit changes how many connections may be open at once. Idle ones beyond it are closed.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = limit
	for p.openConns > p.maxConns && p.evictOldest() {
	}
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
