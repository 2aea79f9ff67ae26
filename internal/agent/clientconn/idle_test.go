package clientconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// A connection on which a complete request has arrived is not evicted, whether the server has read the request or not.
func TestConnectionWithRequestIsNotEvicted(t *testing.T) {
	for _, seen := range []bool{false, true} {
		near, far := connect(t)
		c := New(far)
		received := make(chan struct{})
		go func() { defer close(received); c.readLoop() }()
		idleConns := NewIdleConns()
		idleConns.conns[c] = idleConn{idleAt: time.Now().Add(-time.Hour)} // idle longer than any other
		if _, err := io.WriteString(near, "GET /get/x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the read loop to read the request", func() bool { return c.RequestInProgress() && !hasUnreadBytes(c.Conn) })
		if seen {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		// The request arrives after EvictIdle or CloseIdle has checked the connection.
		if c.abortUnlessRequested() || c.closeUnlessInRequest() {
			t.Errorf("request read by the server: %v: connection closed although the request had arrived", seen)
		}
		idle, other := net.Pipe()
		defer other.Close()
		idleClient := New(idle)
		// This connection has been idle for a shorter time, but it has no request, so it is evicted.
		idleConns.conns[idleClient] = idleConn{idleAt: time.Now().Add(-time.Minute)}
		idleConns.EvictIdle()
		if !idleConns.Claim(c) {
			t.Errorf("request read by the server: %v: connection with the request evicted", seen)
		}
		if idleConns.Claim(idleClient) {
			t.Errorf("request read by the server: %v: idle connection not evicted", seen)
		}
		c.Close()
		near.Close()
		<-received
	}
}
