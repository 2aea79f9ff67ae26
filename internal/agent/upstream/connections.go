package upstream

// This file opens, reuses and closes connections to backends.

import (
	"context"
	"net/http"
	"slices"
	"time"

	"martenbeam/internal/agent/membudget"
)

// pooledConn is one connection to a backend. It carries one request at a time.
type pooledConn struct {
	*http.ClientConn
	tracked   *trackedConn
	addr      string
	idleSince time.Time     // when the connection last became idle
	idleFor   time.Duration // idle time before the current use; 0: the connection is new
	counted   bool          // as idle in the memory budget; a connection in use belongs to its request's reservation
}

// countIdle adds an idle connection to the memory budget, or removes it once it is used or closed.
func (p *Pool) countIdle(conn *pooledConn, idle bool) {
	switch {
	case idle && !conn.counted:
		p.Memory.Add(membudget.IdleConnMemory)
	case !idle && conn.counted:
		p.Memory.Remove(membudget.IdleConnMemory)
	}
	conn.counted = idle
}

type (
	// dialSlotKey is the context key of a dialSlot.
	dialSlotKey struct{}
	// dialSlot passes the tracked connection from the transport's DialContext to dial.
	dialSlot struct{ conn *trackedConn }
)

// closeIdle closes a backend's idle connections. The caller holds mu.
func (p *Pool) closeIdle(id string) {
	for _, c := range p.idle[id] {
		p.discard(c)
	}
	delete(p.idle, id)
}

// discard closes a connection, subtracts it from openConns, and sets lastUnsolicited if unsolicited bytes arrived on
// it. The caller holds mu; closing a socket does not block.
func (p *Pool) discard(conn *pooledConn) {
	p.openConns--
	p.countIdle(conn, false)
	if conn.tracked.hasUnsolicited() {
		p.lastUnsolicited = time.Now()
	}
	conn.Close()
}

// acquire returns an idle connection to a backend, or nil and the address to dial. A connection to be dialled is already
// counted in openConns. The error is errEndpointChanged, ErrBackendDisabled or errConnLimit.
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
		p.countIdle(conn, false)
		return conn, endpoint.Addr, nil
	}
	if full := p.openConns >= p.maxConns; full || p.Memory.IsLow() {
		if !p.evictOldest() && full {
			return nil, "", errConnLimit
		}
	}
	p.openConns++
	return nil, endpoint.Addr, nil
}

// pickIdle returns the index of the idle connection to use; below 0: none. It prefers the most recently used connection
// among those that have been idle for settleTime. If there is none, it picks the most recently used connection, unless
// unsolicited bytes were found within the last unsolicitedWindow. The caller holds mu.
func (p *Pool) pickIdle(idle []*pooledConn) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if time.Since(idle[i].idleSince) >= p.settleTime {
			return i
		}
	}
	if time.Since(p.lastUnsolicited) < unsolicitedWindow {
		return -1
	}
	return len(idle) - 1
}

// isUsable reports whether an idle connection may carry a request. The caller holds mu.
func (p *Pool) isUsable(conn *pooledConn) bool {
	idle := time.Since(conn.idleSince)
	return conn.Err() == nil && idle < p.idleTimeout && !p.reuseStats.unreliable(idle)
}

// recordReuse records a use of the connection, and whether the connection broke before a response began.
func (p *Pool) recordReuse(conn *pooledConn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseStats.record(conn.idleFor, broken)
}

// evictOldest closes the connection that has been idle longest, of any backend. It returns false if none is idle. The
// caller holds mu.
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

// release adds a connection to the idle ones. It closes the connection instead if reusable is false, the pool is
// closed, the connection has failed, or the backend is no longer listed, has a new address, is draining or is disabled.
func (p *Pool) release(id string, conn *pooledConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint := p.endpoints[id]
	if !reusable || p.closed || conn.Err() != nil || endpoint == nil || endpoint.Addr != conn.addr || endpoint.Draining ||
		p.disabled[id] {
		p.discard(conn)
		return
	}
	p.countIdle(conn, true)
	p.idle[id] = append(p.idle[id], conn)
}

// CloseExpired closes idle connections that are no longer usable and decays reuseStats, at intervals of an eighth of
// the idle timeout, until ctx ends.
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

// dial opens a connection within the connect timeout and ctx. acquire has already counted it in openConns; dial subtracts
// it again on an error.
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
