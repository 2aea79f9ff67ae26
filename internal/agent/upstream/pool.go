// Package upstream holds the agent's connections to backends and makes attempts on them.
//
// A Pool makes exactly the attempts that its caller orders: it neither chooses backends nor retries. Each attempt is one
// request, written at most once, and its result shows with certainty whether the backend may have executed the request
// (attempt.go, trackedconn.go). Idle connections are reused while connections of that idle time are reliable (reuse.go).
// Bodies and responses that are too large to be buffered are streamed (upload.go, stream.go, bufferedresponse.go), within
// a memory budget (buffers.go).
package upstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/residency/gate"
)

// A backend may send a response twice, the second some milliseconds after the first. On an idle connection the pool
// detects the duplicate as unsolicited bytes and closes the connection. If the next request had already been written, the
// duplicate would be treated as the response to that request. So connections that have been idle for settleTime are
// preferred, and for unsolicitedWindow after unsolicited bytes only such connections are reused. Requiring settleTime at
// all times would cost one more connection for each backend, and 6% more latency under load, without a benefit where
// backends send no duplicates.
const (
	settleTime        = 20 * time.Millisecond
	unsolicitedWindow = reuseHalfLife // after the latest unsolicited byte
)

// Pool owns the connections to all backends and makes attempts on them. Its methods may be called from any goroutine.
type Pool struct {
	cfg         Config
	log         *slog.Logger
	transport   *http.Transport
	idleTimeout time.Duration

	// Memory is the memory budget of the process. The pool and the frontend share it.
	Memory *membudget.Budget
	// Buffers allocates the buffers of streams within Memory.
	Buffers *Buffers
	// DialContext opens connections to backends. It may be replaced before the first attempt.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// Residency is the residency policy, set before the first attempt; nil: none.
	Residency gate.Enforcer

	mu              sync.Mutex
	maxConns        int                      // bound on openConns
	endpoints       map[string]*Endpoint     // by backend id
	listMemory      int64                    // bytes that are counted for endpoints
	disabled        map[string]bool          // ids of the backends that operators have detached
	idle            map[string][]*pooledConn // by backend id, the most recently used last
	openConns       int                      // idle, in use or being dialled
	reuseStats      reuseStats
	settleTime      time.Duration // idle time after which a connection is preferred; a constant outside tests
	lastUnsolicited time.Time     // when unsolicited bytes were last found
	closed          bool          // connections are closed when they are released
}

// Config configures a Pool.
type Config struct {
	MaxConns       int           // connections that may be open at once
	Memory         int64         // memory limit of the process in bytes; 0: none
	MaxHeader      int           // longest header of a response in bytes; 0: that of package http
	DialFrom       string        // local IP address for connections; "": the system chooses
	ConnectTimeout time.Duration // bounds the opening of a connection, and a complete health check
	IdleClose      time.Duration // idle time after which backends may close a connection
	LoadInline     bool          // responses carry load reports
	LoadProbed     bool          // responses to health checks carry load reports
}

// New returns a pool without endpoints.
func New(cfg Config, log *slog.Logger) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	if cfg.DialFrom != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.DialFrom)}
	}
	memory := membudget.New(cfg.Memory)
	p := &Pool{cfg: cfg, log: log, Memory: memory, Buffers: &Buffers{memory}, maxConns: cfg.MaxConns, DialContext: dialer.DialContext,
		// Backends may close an idle connection after IdleClose. A request that is sent while the backend closes the
		// connection ends as a reset, and may have been executed. The margin of a quarter of IdleClose is far longer
		// than any network delay.
		idleTimeout: cfg.IdleClose * 3 / 4,
		settleTime:  settleTime,
		endpoints:   map[string]*Endpoint{}, disabled: map[string]bool{}, idle: map[string][]*pooledConn{}}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: int64(cfg.MaxHeader),
		// dial gets the tracked connection through the dialSlot in ctx.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := p.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := newTrackedConn(c, p.Buffers)
			if slot, ok := ctx.Value(dialSlotKey{}).(*dialSlot); ok {
				slot.conn = conn
			}
			return conn, nil
		},
	}
	return p
}

// Stats holds the numbers of connections.
type Stats struct {
	Open  int // idle, in use or being dialled
	Idle  int
	Limit int // bound on Open
}

// Stats returns the current numbers of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Open: p.openConns, Limit: p.maxConns}
	for _, conns := range p.idle {
		stats.Idle += len(conns)
	}
	return stats
}

// SetLimit changes how many connections may be open at once. It closes idle connections until the limit is met or none
// is idle.
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
