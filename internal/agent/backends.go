package agent

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

// A backend may answer twice, the second time some milliseconds after the first. On a connection that rests that is seen,
// and ends it; once the next request is written nothing tells it from the answer to that one. A connection that has rested
// for so long goes before one that has not; where bytes came of late that no request had asked for, no other is used: it
// would be one more connection for each backend, and 6% more latency under load, where none ever come.
const (
	settleTime        = 20 * time.Millisecond
	unsolicitedMemory = reuseHalfLife // for so long after the latest
)

var (
	errTimedOut           = errors.New("timed out")
	errCancelled          = errors.New("cancelled")
	errNoDescriptor       = errors.New("no file descriptor left for another connection")
	errEndpointChanged    = errors.New("the list has changed for the backend")
	errAlreadyAnswered    = errors.New("the request has its answer")
	errResidencyForbidden = errors.New("the residency policy does not permit it")
	errTooLarge           = errors.New("the answer is too large")
	errBackendDisabled    = errors.New("operators have detached the backend")
)

// upstreamPool holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type upstreamPool struct {
	cfg          *Config
	log          *slog.Logger
	transport    *http.Transport
	bufferBudget *bufferBudget
	idleTimeout  time.Duration
	maxConns     int // connections at once

	mu              sync.Mutex
	endpoints       map[string]*endpoint     // by backend id
	disabled        map[string]bool          // nothing is written to these: operators have detached them
	idle            map[string][]*pooledConn // by backend id, the latest used last
	openConns       int                      // idle, in use or being dialled
	reuseStats      reuseStats
	settleTime      time.Duration // a connection rests for so long, if it can be, before it is used again
	lastUnsolicited time.Time     // when the latest bytes were found that no request had asked for
	closed          bool          // no connection is kept

	residency gate.Enforcer // nil: no policy
}

// pooledConn is one connection. It carries one request at a time.
type pooledConn struct {
	*http.ClientConn
	tracked   *trackedConn
	addr      string
	idleSince time.Time     // idle since then
	idleFor   time.Duration // before its present use; 0: new
}

func newUpstreamPool(cfg *Config, log *slog.Logger) *upstreamPool {
	p := &upstreamPool{cfg: cfg, log: log, bufferBudget: newBufferBudget(cfg.MemoryMB), maxConns: maxUpstreamConns(cfg.shareableDescriptors()),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		idleTimeout: cfg.Site.IdleClose * 3 / 4,
		settleTime:  settleTime,
		endpoints:   map[string]*endpoint{}, disabled: map[string]bool{}, idle: map[string][]*pooledConn{}}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		// The dialled connection goes into the context's slot, which tells what was written on it.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialer := net.Dialer{KeepAlive: -1}
			if cfg.DialFrom != "" {
				dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.DialFrom)}
			}
			c, err := dialer.DialContext(ctx, network, addr)
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

// endpoint is what the list says of a backend, as far as it binds an attempt that is decided and not yet written. A change
// makes a new one.
type endpoint struct {
	addr       string
	zone, cell int
	draining   bool
}

// applyUpdate takes a change of the list. Connections that rest at a backend that is gone, drains or has moved are
// closed: under its new address another process answers, and one that drains wants nothing new.
func (p *upstreamPool) applyUpdate(update discovery.Update) {
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
		current := endpoint{addr: addr, zone: backend.Zone, cell: backend.Cell, draining: backend.State != balancer.Up}
		if previous := p.endpoints[backend.ID]; previous == nil || *previous != current {
			p.endpoints[backend.ID] = &current
			if previous != nil && (previous.addr != addr || current.draining) {
				p.closeIdle(backend.ID)
			}
		}
	}
}

// setDisabled has nothing written to a backend any more, or again. Its kept connections are dropped
// both times: operators restart it in between.
func (p *upstreamPool) setDisabled(id string, disabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if disabled {
		p.disabled[id] = true
	} else {
		delete(p.disabled, id)
	}
	p.closeIdle(id)
}

// removeEndpoint drops a backend's address and its idle connections. The lock is held.
func (p *upstreamPool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.closeIdle(id)
}

// closeIdle closes a backend's idle connections. The lock is held.
func (p *upstreamPool) closeIdle(id string) {
	for _, c := range p.idle[id] {
		p.discard(c)
	}
	delete(p.idle, id)
}

// discard closes a connection. The lock is held; closing a socket does not block.
func (p *upstreamPool) discard(conn *pooledConn) {
	p.openConns--
	if conn.tracked.hasUnsolicited() {
		p.lastUnsolicited = time.Now()
	}
	conn.Close()
}

// acquire returns an idle connection to a backend, or the address at which to dial one.
func (p *upstreamPool) acquire(id string) (*pooledConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[id]
	switch {
	case endpoint == nil:
		return nil, "", errEndpointChanged
	case p.disabled[id]:
		return nil, "", errBackendDisabled
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
		return conn, endpoint.addr, nil
	}
	if p.openConns >= p.maxConns && !p.evictOldest() {
		return nil, "", errNoDescriptor
	}
	p.openConns++
	return nil, endpoint.addr, nil
}

// pickIdle returns which of a backend's idle connections is to be used: the latest that has rested, else the latest; below 0:
// none. The lock is held.
func (p *upstreamPool) pickIdle(idle []*pooledConn) int {
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

// isUsable reports whether an idle connection may carry a request. The lock is held.
func (p *upstreamPool) isUsable(c *pooledConn) bool {
	idle := time.Since(c.idleSince)
	return c.Err() == nil && idle < p.idleTimeout && !p.reuseStats.unreliable(idle)
}

// endpoint is what the list says of a backend now; nil: nothing.
func (p *upstreamPool) endpoint(id string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// checkSendable reports why an attempt that was decided may not be written now: a request that has its answer, or a backend that
// the list or operators have taken out since, or moved to where a repeat is none. nil: it may.
func (p *upstreamPool) checkSendable(att *attempt) error {
	select {
	case <-att.requestDone:
		return errAlreadyAnswered
	default:
	}
	p.mu.Lock()
	disabled, endpoint := p.disabled[att.backendID], p.endpoints[att.backendID]
	p.mu.Unlock()
	switch {
	case disabled:
		return errBackendDisabled
	case endpoint == nil || att.endpoint != nil && att.endpoint != endpoint:
		return errEndpointChanged
	case !att.writeBy.IsZero() && !time.Now().Before(att.writeBy):
		return errRetryWindowOver
	case !p.residencyPermits(att.residencyRule, att.backendID):
		return errResidencyForbidden
	}
	return nil
}

// recordReuse takes whether the connection broke under its request before any answer.
func (p *upstreamPool) recordReuse(c *pooledConn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseStats.record(c.idleFor, broken)
}

// setLimit changes how many connections may be open at once. Idle ones past it are closed.
func (p *upstreamPool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = limit
	for p.openConns > p.maxConns && p.evictOldest() {
	}
}

// evictOldest closes the connection that has been idle longest, whosever it is.
func (p *upstreamPool) evictOldest() bool {
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

// release puts a connection back, or closes it where it is no longer of use.
func (p *upstreamPool) release(id string, conn *pooledConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint := p.endpoints[id]; !reusable || p.closed || conn.Err() != nil || endpoint == nil || endpoint.addr != conn.addr || endpoint.draining || p.disabled[id] {
		p.discard(conn)
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// close ends the connections that rest, and has no other kept.
func (p *upstreamPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id := range p.idle {
		p.closeIdle(id)
	}
}

// closeExpired closes what has been idle for too long, until ctx ends.
func (p *upstreamPool) closeExpired(ctx context.Context) {
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

// dial opens a connection within the connect time-out and ctx. Its place is already counted.
func (p *upstreamPool) dial(ctx context.Context, addr string) (*pooledConn, error) {
	slot := &dialSlot{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, dialSlotKey{}, slot), p.cfg.Settings.ConnectTimeout)
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
