package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martenbeam/internal/agent/clientconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait in the tests; every event that a test waits for takes far less time on any machine.
const testTimeout = 30 * time.Second

// fakeAgent is a ready agent without backends.
type fakeAgent struct{}

func (fakeAgent) Ready() bool { return true }
func (fakeAgent) SetDisabled(context.Context, string, bool) (bool, error) {
	return false, errors.New("no backend")
}
func (fakeAgent) SetLameDuck(bool) {}

// A connection on which a complete call has arrived is not evicted, even if the server reads the call late.
func TestCompleteCallIsNotEvicted(t *testing.T) {
	s, err := New(t.Context(), "127.0.0.1:0", 1, fakeAgent{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The read loop buffers the call, but the server does not read it yet.
	conn, err := clientconn.Listener{Listener: s.listener, Readers: &s.readers}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.idleConns.Track(conn, http.StateNew)
	waitForCall(t, conn.(*clientconn.Conn))
	time.Sleep(2 * clientconn.MinIdleTime) // long enough for an idle connection to be evicted
	s.idleConns.EvictIdle()
	if !s.idleConns.Claim(conn) {
		t.Error("connection with a complete call evicted")
	}
	served := make(chan error, 1)
	ln := &oneConn{conn: conn, done: make(chan struct{})}
	s.idleConns.Track(conn, http.StateNew)
	go func() { served <- s.server.Serve(ln) }()
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %+v, error %v, want status 200", resp, err)
	}
	c.Close()
	s.server.Close()
	<-served
	s.listener.Close()
	s.readers.Wait()
}

// waitForCall waits until the read loop has buffered a call.
func waitForCall(t *testing.T, conn *clientconn.Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !conn.MayHaveRequest(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the read loop to read the call")
		}
	}
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn net.Conn
	done chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	close(l.done)
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
