package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/wire"
)

// pipeListener hands the front connections that live in memory, so that its time-outs can run on
// synctest's clock.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// startPipeFrontend runs a front with no module behind it on synctest's clock, and returns what dials it.
func startPipeFrontend(t *testing.T, cfg *Config) (*frontend, func() net.Conn) {
	t.Helper()
	l, err := newEventLoop(cfg, newClock(), newUpstreamPool(cfg, discardLog), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontend(cfg, l, discardLog)
	ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- f.serve(ln) }()
	t.Cleanup(func() { f.server.Close(); <-served })
	return f, func() net.Conn {
		near, far := net.Pipe()
		ln.conns <- far
		t.Cleanup(func() { near.Close() })
		return near
	}
}

// readUntilClosed returns when the far side closed the connection, and the status it gave before, or 0.
func readUntilClosed(c net.Conn) (status int, at time.Time) {
	in := bufio.NewReader(c)
	if resp, err := http.ReadResponse(in, nil); err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_, _ = io.Copy(io.Discard, in)
	return status, time.Now()
}

// A peer that sends no whole request is owed an error or a close within 3 s of connecting; until
// then it holds a descriptor that clients need.
func TestIncompleteRequestTimesOut(t *testing.T) {
	const within = 3 * time.Second
	for name, text := range map[string]string{
		"nothing":       "",
		"half a line":   "POST /pa",
		"half a header": "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n",
		"no body":       "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 100\r\n\r\n",
		"half a body":   "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 100\r\n\r\nabc",
		"half a chunk":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"no class":      "POST /nothing HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
				began := time.Now()
				c := dial()
				go func() { _, _ = io.WriteString(c, text) }()
				if status, at := readUntilClosed(c); at.Sub(began) > within || status == 200 || status == 429 || status == 503 {
					t.Errorf("status %d, closed after %v", status, at.Sub(began))
				}
			})
		})
	}
}

// expectStatus sends a request and reads its answer, which must be so.
func expectStatus(t *testing.T, c net.Conn, path string, status int) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", path, newID()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != status {
		t.Fatal(resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
}

// rejectAll stands in for the module behind a front: it refuses what comes, but for the class
// "pay", which it never answers.
func rejectAll(t *testing.T, f *frontend) {
	f.loop.ready.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case e := <-f.loop.events:
				if e, ok := e.(requestArrived); ok && f.cfg.Site.Classes[e.class] != "pay" {
					e.reply <- reply{rejected: true}
				}
			case <-f.loop.stopped:
				return
			}
		}
	}()
	t.Cleanup(func() { close(f.loop.stopped); <-done })
}

// A client keeps its connections; one without a request may be closed after 2 s, and must be
// soon after, or idle ones shut out everybody else.
func TestIdleClientConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectAll(t, f)
		c := dial()
		expectStatus(t, c, "/get/x", 503)
		idle := time.Now()
		_, at := readUntilClosed(c)
		if kept := at.Sub(idle); kept < 2*time.Second || kept > 3*time.Second {
			t.Errorf("closed after %v", kept)
		}
	})
}

// Whoever asks after the agent's health keeps no connection.
func TestHealthCheckClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectAll(t, f)
		began := time.Now()
		c := dial()
		expectStatus(t, c, "/_health", 200)
		if _, at := readUntilClosed(c); at.Sub(began) > time.Second {
			t.Errorf("closed after %v", at.Sub(began))
		}
	})
}

// What stands inside a request's body, by either way to tell where the body ends, is never taken
// for a request of its own.
func TestRequestInsideBodyIsNotExecuted(t *testing.T) {
	const inner = "POST /pay/inner HTTP/1.1\r\nHost: a\r\nX-Trace-Id: inner%d\r\nContent-Length: 0\r\n\r\n"
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	for i, row := range []struct {
		head, before string
		served       bool // the outer request
	}{
		{"HTTP/1.1\r\nContent-Length: 200\r\nTransfer-Encoding: chunked", "0\r\n\r\n", false},
		{"HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 200", "0\r\n\r\n", false},
		{"HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 200", "0\r\n\r\n", false},
		{"HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked", "5f\r\n", false},
		{"HTTP/1.1\r\nTransfer-Encoding: chunked", "0\r\n\r\n", true},
	} {
		t.Run(row.head, func(t *testing.T) {
			c, err := net.Dial("tcp", a.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			body := row.before + fmt.Sprintf(inner, i)
			if _, err := fmt.Fprintf(c, "POST /pay/x %s\r\nHost: a\r\nX-Trace-Id: outer%d\r\n\r\n%s%s", row.head, i, body,
				strings.Repeat("x", max(0, 200-len(body)))); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.StatusCode; row.served && got != 200 || !row.served && (got == 200 || got == 429 || got == 503) {
				t.Errorf("status %d", got)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			if next, err := http.ReadResponse(in, nil); err == nil {
				t.Errorf("a second answer: %+v", next)
			}
			if row.served {
				receive(t, "outer request", s.seen)
			}
			if len(s.seen) != 0 {
				t.Errorf("%q reached the backend", <-s.seen)
			}
		})
	}
}

// While others want to connect, the connection that has waited longest for its first request gives
// way, then the one idle longest; never one with a request open, nor one that has only just come.
func TestIdleEvictionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectAll(t, f)
		open := func(c net.Conn) bool {
			err := c.SetReadDeadline(time.Now().Add(time.Nanosecond))
			if err == nil {
				_, err = c.Read(make([]byte, 1))
			}
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
		idle := dial()
		expectStatus(t, idle, "/get/x", 503)
		busy, slow := dial(), dial()
		if _, err := io.WriteString(busy, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(slow, "GET /get/x HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		f.idleConns.EvictIdle()
		if synctest.Wait(); !open(slow) || !open(idle) {
			t.Fatal("closed one that has only just come")
		}
		time.Sleep(clientconn.MinIdleTime)
		fresh := dial()
		synctest.Wait()
		f.idleConns.EvictIdle()
		if synctest.Wait(); open(slow) || !open(idle) || !open(busy) || !open(fresh) {
			t.Error("not the unfinished one was closed")
		}
		f.idleConns.EvictIdle()
		if synctest.Wait(); open(idle) || !open(busy) || !open(fresh) {
			t.Error("not the idle one was closed, though another had only just come")
		}
		time.Sleep(clientconn.MinIdleTime)
		f.idleConns.EvictIdle()
		f.idleConns.EvictIdle()
		if synctest.Wait(); open(fresh) || !open(busy) {
			t.Error("not the silent one was closed, or one with a request open")
		}
	})
}

// The module is told what a request concerns, where its cookie says so.
func TestSessionCookieSetsTheKey(t *testing.T) {
	f := newFrontend(testConfig(t, testSetup{}), nil, discardLog)
	for cookie, want := range map[string]uint64{"": 0, "a=b": 0, "sid=7f3a": wire.AffinityKey("7f3a"), "a=b; sid=7f3a": wire.AffinityKey("7f3a")} {
		hr := httptest.NewRequest(http.MethodGet, "/get/x", nil)
		hr.Header.Set("X-Trace-Id", "t1")
		if cookie != "" {
			hr.Header.Set("Cookie", cookie)
		}
		r, err := f.parseRequest(httptest.NewRecorder(), hr)
		if err != nil {
			t.Fatal(err.text)
		}
		if r.key != want || cookie != "" && r.upstream.header.Get("Cookie") != cookie {
			t.Errorf("cookie %q: key %x, want %x; passed on: %v", cookie, r.key, want, r.upstream.header)
		}
	}
}
