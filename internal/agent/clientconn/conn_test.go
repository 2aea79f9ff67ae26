package clientconn

import (
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"martenbeam/internal/agent/listener"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience is how long a test waits for what must come: far more than it takes anywhere.
const testTimeout = 30 * time.Second

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

const getRequest = "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n\r\n"

// A connection whose client never closes is closed for good once it has had its time.
func TestLingeringConnectionIsClosedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		c := New(&halfPipe{Conn: far})
		done := make(chan struct{})
		go func() { c.readLoop(); close(done) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		if _, err := c.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		c.Close()
		if <-done; time.Since(at) != lingerTimeout {
			t.Errorf("closed after %v", time.Since(at))
		}
		if _, err := far.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the socket is open: %v", err)
		}
	})
}

// halfPipe is a pipe of which one direction can be closed.
type halfPipe struct{ net.Conn }

func (halfPipe) CloseWrite() error { return nil }

// A connection on which a request has come whole is not closed to make room, whether the server has seen it or not.
func TestConnectionWithRequestIsNotEvicted(t *testing.T) {
	for _, seen := range []bool{false, true} {
		ln := listen(t)
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := New(far)
		received := make(chan struct{})
		go func() { defer close(received); c.readLoop() }()
		idleConns := NewIdleConns()
		idleConns.conns[c] = idleConn{idleAt: time.Now().Add(-time.Hour)} // it rests, longer than any other
		if _, err := io.WriteString(near, "GET /get/x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the request to be read", func() bool { return c.RequestInProgress() && !hasUnreadBytes(c.Conn) })
		if seen {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		if c.abortUnlessRequested() || c.closeUnlessInRequest() { // as if it had come after they looked
			t.Errorf("seen by the server %v: closed in the moment in which it came", seen)
		}
		idle, other := net.Pipe()
		defer other.Close()
		idleClient := New(idle)
		idleConns.conns[idleClient] = idleConn{idleAt: time.Now().Add(-time.Minute)} // rests for less long, and gives way in its place
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

// What has come of a request is seen wherever it lies: unread, read ahead, or with the server.
func TestRequestInProgressSeesBytesWhereverTheyAre(t *testing.T) {
	t.Run("part read ahead", func(t *testing.T) {
		c := New(nil)
		if c.Conn = (&net.TCPConn{}); c.RequestInProgress() {
			t.Error("a request is seen where none is")
		}
		c.store([]byte("G"), nil)
		if !c.RequestInProgress() {
			t.Error("what was read ahead is not seen")
		}
		c.readDeadline = time.Time{}
		if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil || !c.RequestInProgress() {
			t.Errorf("%d bytes, %v: what the server has is not seen", n, err)
		}
	})
	t.Run("whole with the server, its answer out, and another with it", func(t *testing.T) {
		c := New(&net.TCPConn{})
		c.store([]byte("\r\n"+getRequest+getRequest), nil)
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			t.Fatal(err)
		}
		if c.MarkResponseComplete(); !c.RequestInProgress() {
			t.Error("the second is not seen")
		}
		if c.MarkResponseComplete(); c.RequestInProgress() {
			t.Error("a third is seen")
		}
	})
}

// A header comes in pieces of any size, and bodies that look like headers are bodies.
func TestFramingIsIndependentOfReadSizes(t *testing.T) {
	plain := "\r\nPOST /a HTTP/1.1\r\nContent-Length: 31\r\n\r\nTransfer-Encoding: chunked\r\n\r\nx" +
		"POST /b HTTP/1.1\r\nX-Long: " + strings.Repeat("Transfer-Encoding:", 40) + "\nContent-Length: 0\n\n"
	both := "POST /c HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	for size := 1; size < len(plain); size++ {
		var c framing
		for part := range slices.Chunk([]byte(plain), size) {
			c.observe(part)
		}
		if c.ambiguous.Load() || c.hasTransferEncoding {
			t.Fatalf("in pieces of %d: taken for ambiguous", size)
		}
		for part := range slices.Chunk([]byte(both), size) {
			c.observe(part)
		}
		if !c.ambiguous.Load() {
			t.Fatalf("in pieces of %d: not taken for ambiguous", size)
		}
	}
}

// A request that lies unread on a connection keeps it from being closed as idle.
func TestUnreadBytesAreDetected(t *testing.T) {
	ln := listen(t)
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	c, err := listener.Limit(ln.(*net.TCPListener), 1).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if hasUnreadBytes(c) {
		t.Error("bytes seen where none are")
	}
	if _, err := io.WriteString(near, "P"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the byte to be seen", func() bool { return hasUnreadBytes(c) })
}
