package agent

// Tracks the connections of clients: their number, their memory, and which of them a reply closes.

import (
	"net"
	"net/http"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/membudget"
)

type clientConnKey struct{}

// clientConnOf returns the connection on which a request arrived, or nil if this frontend did not accept it.
func clientConnOf(httpReq *http.Request) *clientconn.Conn {
	c, _ := httpReq.Context().Value(clientConnKey{}).(*clientconn.Conn)
	return c
}

// lastByteAt returns when a request's most recent byte arrived, or the current time if this frontend did not accept its
// connection.
func lastByteAt(httpReq *http.Request) time.Time {
	if c := clientConnOf(httpReq); c != nil {
		return c.LastByteAt()
	}
	return time.Now()
}

// trackConn counts open connections and updates the set of those that may be closed as idle.
func (f *frontend) trackConn(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientconn.Conn); ok && state == http.StateIdle {
		c.MarkResponseComplete() // before Track adds it to the set
	}
	f.idleConns.Track(c, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.connCount++
		f.loop.pool.Memory.Add(membudget.ConnMemory)
	case http.StateClosed:
		f.connCount--
		f.loop.pool.Memory.Remove(membudget.ConnMemory)
	}
}

// atCapacity reports whether more than maxOpen connections are open.
func (f *frontend) atCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.connCount) > f.maxOpen.Load()
}

// hasConnections reports whether any connection is open.
func (f *frontend) hasConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connCount > 0
}

// closeAfterReply makes the reply close its connection if too many connections are open or the agent is draining.
func (f *frontend) closeAfterReply(w http.ResponseWriter) {
	if f.atCapacity() || f.draining() {
		w.Header().Set("Connection", "close")
	}
}
