package clientconn

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martenbeam/internal/agent/listener"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait for something that has to happen: far more than it takes on any machine.
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

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln := listen(t)
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

// getRequest is a request without a body.
const getRequest = "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n\r\n"

// A part of a request counts wherever it is: buffered by the read loop, or read by the server.
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

// Bytes that lie unread in the kernel are detected on the connections that package listener accepts.
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
