package clientconn

// This file is the set of idle connections.

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// IdleConns is the set of a server's connections that wait for a request: without one, or with one whose header is
// incomplete. Whoever removes a connection owns it: the handler of its next complete request, or the one who closes it.
// Its methods may be called from any goroutine.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]idleConn
}

// idleConn is the state of one connection in the set.
type idleConn struct {
	idleAt             time.Time // when it entered the set
	beforeFirstRequest bool      // it has had no request yet
}

// evictBefore reports whether i is evicted rather than other: one before its first request rather than one that has had
// any, and then the one that has been idle longer.
func (i idleConn) evictBefore(other idleConn) bool {
	if i.beforeFirstRequest != other.beforeFirstRequest {
		return i.beforeFirstRequest
	}
	return i.idleAt.Before(other.idleAt)
}

// MinIdleTime is how long a connection is idle before it may be evicted to free its slot. A client that is going to
// send a request does so sooner.
const MinIdleTime = 150 * time.Millisecond

// NewIdleConns returns an empty set.
func NewIdleConns() *IdleConns { return &IdleConns{conns: map[net.Conn]idleConn{}} }

// Track follows a connection's state. It is, or is called by, the server's ConnState callback.
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

// Claim removes a connection for the complete request that has arrived on it. It reports false if the connection has
// been closed meanwhile: then the request gets no response, and nothing of it may be forwarded.
func (ic *IdleConns) Claim(c net.Conn) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	_, open := ic.conns[c]
	delete(ic.conns, c)
	return open
}

// EvictIdle closes one connection that has been idle for MinIdleTime, if there is one, to free its slot for a client
// that waits: the one that has waited longest for its first request, or else the one that has been idle longest.
// Clients that connect and send nothing must not keep out those who would.
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
	} else if !c.abortUnlessRequested() { // without lingering, which would hold the slot
		return // a request has arrived since it was looked at
	}
	delete(ic.conns, oldest)
}

// CloseIdle closes the connections that have been idle for idleTimeout, and those that have been open for
// firstRequestTimeout without a request; below 0 it leaves the latter open. A connection on which part of a request has
// arrived, or lies unread, stays open: the client would see its request closed without a response.
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
			continue // net/http reports a request only once its header is complete
		}
		delete(ic.conns, c)
	}
}

// Conns returns the idle connections, in no order.
func (ic *IdleConns) Conns() []net.Conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return slices.Collect(maps.Keys(ic.conns))
}
