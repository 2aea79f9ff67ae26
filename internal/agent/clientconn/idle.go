package clientconn

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// IdleConns knows the connections that have no whole request open. Whoever takes one out owns it: the request that
// has come whole on it, or who closes it.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]idleConn
}

// idleConn is a connection that waits for a request.
type idleConn struct {
	idleAt             time.Time
	beforeFirstRequest bool // none has come whole yet
}

func (i idleConn) evictBefore(other idleConn) bool {
	if i.beforeFirstRequest != other.beforeFirstRequest {
		return i.beforeFirstRequest
	}
	return i.idleAt.Before(other.idleAt)
}

// MinIdleTime: while more want to connect than there are slots, a connection that has waited for so long
// gives way: proper clients send their request at once.
const MinIdleTime = 150 * time.Millisecond

// NewIdleConns knows none.
func NewIdleConns() *IdleConns { return &IdleConns{conns: map[net.Conn]idleConn{}} }

// Track follows a connection's state as net/http tells it.
func (ic *IdleConns) Track(c net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	switch state {
	case http.StateNew:
		ic.conns[c] = idleConn{idleAt: time.Now(), beforeFirstRequest: true}
	case http.StateIdle:
		ic.conns[c] = idleConn{idleAt: time.Now()}
	case http.StateClosed:
		delete(ic.conns, c)
	}
}

// Claim takes a connection for the request that has come whole on it. It reports false where the connection
// has been closed: its client is told nothing, and nothing of it may be sent on.
func (ic *IdleConns) Claim(c net.Conn) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	_, open := ic.conns[c]
	delete(ic.conns, c)
	return open
}

// EvictIdle closes one connection of those that have waited for a while: the one that has waited
// longest for its first whole request, or, where all have sent one, the one idle longest. Whoever
// connects and sends nothing must not keep out those who would.
func (ic *IdleConns) EvictIdle() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	var oldest net.Conn
	for c, idle := range ic.conns {
		if time.Since(idle.idleAt) < MinIdleTime {
			continue
		}
		if clientConn, ok := c.(*Conn); ok && clientConn.MayHaveRequest() {
			continue
		}
		if oldest == nil || idle.evictBefore(ic.conns[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	if c, ok := oldest.(*Conn); !ok {
		oldest.Close()
	} else if !c.abortUnlessRequested() { // its descriptor is wanted now
		return // a request has come in this moment
	}
	delete(ic.conns, oldest)
}

// CloseIdle closes the connections on which nothing has come for so long, and nothing lies unread:
// a client whose request crosses a close is turned back unheard. Those that never had a request are given their own time;
// below 0 they are left.
func (ic *IdleConns) CloseIdle(idleTimeout, firstRequestTimeout time.Duration) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for c, idle := range ic.conns {
		timeout := idleTimeout
		if idle.beforeFirstRequest {
			timeout = firstRequestTimeout
		}
		if idle.beforeFirstRequest && timeout < 0 || time.Since(idle.idleAt) < timeout {
			continue
		}
		if clientConn, ok := c.(*Conn); !ok {
			c.Close()
		} else if !clientConn.closeUnlessInRequest() {
			continue // net/http tells of a request only once its header is whole
		}
		delete(ic.conns, c)
	}
}

// Conns are the connections that wait.
func (ic *IdleConns) Conns() []net.Conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return slices.Collect(maps.Keys(ic.conns))
}
