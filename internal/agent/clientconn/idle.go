package clientconn

// This file implements the set of idle connections.

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// IdleConns is the set of a server's connections that wait for a request: no request has arrived, or its header is
// incomplete. A caller that removes a connection from the set becomes its owner: the handler of the connection's next
// complete request, or the function that closes the connection. All methods may be called from any goroutine.
type IdleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]idleConn
}

// idleConn is the state of one connection in the set.
type idleConn struct {
	idleAt             time.Time // when the connection entered the set
	beforeFirstRequest bool      // no request has been served on it yet
}

// evictBefore reports whether i is evicted in preference to other. A connection before its first request is evicted
// first; between two of the same kind, the connection that has been idle longer.
func (i idleConn) evictBefore(other idleConn) bool {
	if i.beforeFirstRequest != other.beforeFirstRequest {
		return i.beforeFirstRequest
	}
	return i.idleAt.Before(other.idleAt)
}

// MinIdleTime is how long a connection must have been idle before it may be evicted to free its slot. A client that
// has a request to send sends it within this time.
const MinIdleTime = 150 * time.Millisecond

// NewIdleConns returns an empty set.
func NewIdleConns() *IdleConns { return &IdleConns{conns: map[net.Conn]idleConn{}} }

// Track updates the set for a connection's new state. The server's ConnState callback is Track, or calls it.
func (ic *IdleConns) Track(c net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	switch state {
	case http.StateNew:
		ic.conns[c] = idleConn{idleAt: time.Now(), beforeFirstRequest: true}
	case http.StateIdle:
		if conn, ok := c.(*Conn); ok && conn.isClosing() {
			return // Close has removed it
		}
		ic.conns[c] = idleConn{idleAt: time.Now()}
	case http.StateClosed:
		delete(ic.conns, c)
	}
}

// Claim removes a connection from the set, for the handler of a complete request that has arrived on it. It reports
// false if the connection has been closed already: the request then gets no response, and must not be forwarded.
func (ic *IdleConns) Claim(c net.Conn) bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	_, open := ic.conns[c]
	delete(ic.conns, c)
	return open
}

// EvictIdle closes one connection that has been idle for at least MinIdleTime, if there is one, to free its slot for a
// waiting client. It chooses the connection that has waited longest for its first request, or if there is none, the one
// that has been idle longest. Clients that connect and send nothing must not keep other clients from connecting.
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
	} else if !c.abortUnlessRequestArrived() { // without lingering, which would keep the slot in use
		return // a request has arrived since the check above
	}
	delete(ic.conns, oldest)
}

// CloseIdle closes the connections that have been idle for idleTimeout since their latest response, and the connections
// that have been open for firstRequestTimeout without a request. If firstRequestTimeout is below 0, CloseIdle closes no
// connection that waits for its first request. A connection on which part of a request has arrived, read or unread, stays
// open: otherwise the client would get no response to its request.
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
			continue // part of a request has arrived; net/http reports a request only once the header is complete
		}
		delete(ic.conns, c)
	}
}

// Conns returns the idle connections, in no particular order.
func (ic *IdleConns) Conns() []net.Conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return slices.Collect(maps.Keys(ic.conns))
}
