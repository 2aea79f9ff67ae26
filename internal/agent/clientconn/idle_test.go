package clientconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// A connection on which a complete request has arrived is not evicted, whether the server has read the request or not.
func TestConnectionWithRequestIsNotEvicted(t *testing.T) {
	for _, readByServer := range []bool{false, true} {
		client, server := connect(t)
		c := New(server)
		readLoopDone := make(chan struct{})
		go func() { defer close(readLoopDone); c.readLoop() }()
		idleConns := NewIdleConns()
		idleConns.conns[c] = idleConn{idleAt: time.Now().Add(-time.Hour)} // idle longer than any other
		if _, err := io.WriteString(client, "GET /get/x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the read loop to read the request", func() bool { return c.RequestInProgress() && !hasUnreadBytes(c.Conn) })
		if readByServer {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		// The request arrives after EvictIdle or CloseIdle has checked the connection.
		if c.abortUnlessRequestArrived() || c.closeUnlessInRequest() {
			t.Errorf("request read by the server: %v: connection closed although the request had arrived", readByServer)
		}
		idle, other := net.Pipe()
		defer other.Close()
		connWithoutRequest := New(idle)
		// This connection has been idle for a shorter time, but it has no request, so it is evicted.
		idleConns.conns[connWithoutRequest] = idleConn{idleAt: time.Now().Add(-time.Minute)}
		idleConns.EvictIdle()
		if !idleConns.Claim(c) {
			t.Errorf("request read by the server: %v: connection with the request evicted", readByServer)
		}
		if idleConns.Claim(connWithoutRequest) {
			t.Errorf("request read by the server: %v: idle connection not evicted", readByServer)
		}
		c.Close()
		client.Close()
		<-readLoopDone
	}
}
