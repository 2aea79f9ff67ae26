package clientconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// A connection on which a complete request has arrived is not evicted, whether the server has read it or not.
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
		waitFor(t, "the request to be read", func() bool { return c.RequestInProgress() && !hasUnreadBytes(c.Conn) })
		if seen {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		// As if the request had arrived after EvictIdle or CloseIdle looked.
		if c.abortUnlessRequested() || c.closeUnlessInRequest() {
			t.Errorf("seen by the server %v: closed in the moment in which it came", seen)
		}
		idle, other := net.Pipe()
		defer other.Close()
		idleClient := New(idle)
		// This one is idle for less long, and evicted in the other's place.
		idleConns.conns[idleClient] = idleConn{idleAt: time.Now().Add(-time.Minute)}
		idleConns.EvictIdle()
		if !idleConns.Claim(c) {
			t.Errorf("seen by the server %v: closed", seen)
		}
		if idleConns.Claim(idleClient) {
			t.Errorf("seen by the server %v: no other made room", seen)
		}
		c.Close()
		near.Close()
		<-received
	}
}
