package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/wire"
)

// attemptOn makes one attempt on backend s, without an agent.
func attemptOn(t *testing.T, pool *Pool, ctx context.Context, body string) (balancer.Result, *Response, balancer.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return pool.executeBuffered(ctx, nil, "s", &Request{Method: http.MethodPost, URL: req.URL, Body: []byte(body),
		Header: http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}})
}

// poolWithBackend returns a pool whose only backend is s at addr.
func poolWithBackend(t *testing.T, addr string) *Pool {
	t.Helper()
	pool := New(testConfig(), discardLog)
	t.Cleanup(pool.Close)
	pool.settleTime = 0 // only tests of unsolicited bytes need it
	pool.ApplyUpdate(discovery.Update{
		Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: []balancer.Backend{{ID: "s"}}},
		Addrs:     map[string]string{"s": addr}})
	return pool
}

// TestAttemptResultFollowsOutcomeTable covers each row of the protocol's table of outcomes. A request that was not executed
// according to its result may be sent again or refused, so a wrong row can execute a request twice.
func TestAttemptResultFollowsOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		response string
		want     balancer.Result
	}{
		"success":                 {ok200, balancer.OK},
		"chunked":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", balancer.OK},
		"ended by the close":      {"HTTP/1.1 200 OK\r\n\r\nhello", balancer.OK},
		"error":                   {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"refused by 503":          {"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		"refused by 504":          {"HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		"503 without proof":       {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"504 without proof":       {"HTTP/1.1 504 X\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"500 is no proof":         {"HTTP/1.1 500 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"redirect":                {"HTTP/1.1 302 X\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"closed without response": {"", balancer.Reset},
		"broken in the header":    {"HTTP/1.1 200 OK\r\nTRUNCATED", balancer.Reset},
		"truncated length":        {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED", balancer.Reset},
		"truncated chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nTRUNCATED\r\n", balancer.Reset},
		"no length, no body":      {"HTTP/1.1 200 OK\r\n\r\n", balancer.Reset},
		"not HTTP":                {"TRUNCATED\r\n\r\n", balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			backend := startRawBackend(t, func(int) string { return row.response })
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			result, resp, _ := attemptOn(t, poolWithBackend(t, backend.addr), ctx, "body")
			if result != row.want || (resp != nil) != (row.want == balancer.OK) {
				t.Errorf("result %v, response %v; want %v", result, resp, row.want)
			}
			if resp != nil && string(resp.Body) != "hello" {
				t.Errorf("body %q, want hello", resp.Body)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	pool := poolWithBackend(t, unusedAddr(t))
	if result, _, _ := attemptOn(t, pool, context.Background(), ""); result != balancer.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", result)
	}
	if pool.openConns != 0 {
		t.Errorf("%d connections counted as open, want 0", pool.openConns)
	}
}

// TestTimedOutAttemptDropsItsConnection: a backend reads the request and sends no response. The request may have been
// executed, and the connection must not be reused.
func TestTimedOutAttemptDropsItsConnection(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	backend := startRawBackend(t, func(int) string { <-release; return "" })
	pool := poolWithBackend(t, backend.addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-backend.seen; cancel(ErrTimedOut) }()
	if result, _, _ := attemptOn(t, pool, ctx, ""); result != balancer.TimedOut {
		t.Errorf("result %v, want TimedOut", result)
	}
	if pool.openConns != 0 || len(pool.idle["s"]) != 0 {
		t.Errorf("%d connections open, %d idle after a timed-out attempt, want 0", pool.openConns, len(pool.idle["s"]))
	}
}

// TestUnrequestedUpgradeIsReset: a backend switches protocols although no attempt asks for it, and then sends nothing. Guards
// against an attempt that neither its deadline nor a cancellation ends.
func TestUnrequestedUpgradeIsReset(t *testing.T) {
	for name, response := range map[string]string{
		"upgrade": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 5\r\n\r\n",
		"bare":    "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			backend := startRawBackend(t, func(int) string { return response })
			pool := poolWithBackend(t, backend.addr)
			if result, _, _ := attemptOn(t, pool, context.Background(), ""); result != balancer.Reset {
				t.Errorf("result %v, want Reset", result)
			}
			if pool.openConns != 0 {
				t.Errorf("%d connections open, want 0", pool.openConns)
			}
		})
	}
}

func TestCancelledAttemptIsReportedCancelled(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	backend := startRawBackend(t, func(int) string { <-release; return "" })
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-backend.seen; cancel(ErrCancelled) }()
	if result, _, _ := attemptOn(t, poolWithBackend(t, backend.addr), ctx, ""); result != balancer.Cancelled {
		t.Errorf("result %v, want Cancelled", result)
	}
}

// limitedWriteConn fails each write beyond the remaining bytes.
type limitedWriteConn struct {
	net.Conn
	remaining int
}

func (c *limitedWriteConn) Write(p []byte) (int, error) {
	if len(p) <= c.remaining {
		c.remaining -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining])
	c.remaining = 0
	return n, errors.New("broken pipe")
}

// TestIncompleteWriteIsConnectFailed: if a connection breaks before the request's last byte is written, the request was
// not executed. After the last byte, the request may have been executed.
func TestIncompleteWriteIsConnectFailed(t *testing.T) {
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	for _, limit := range []int{0, 10, 6000} {
		pool := poolWithBackend(t, ln.Addr().String())
		dial := pool.transport.DialContext
		pool.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err == nil {
				tracked := c.(*trackedConn)
				tracked.Conn = &limitedWriteConn{tracked.Conn, limit}
			}
			return c, err
		}
		if result, _, _ := attemptOn(t, pool, context.Background(), strings.Repeat("x", 20000)); result != balancer.ConnectFailed {
			t.Errorf("broken after %d bytes: result %v, want ConnectFailed", limit, result)
		}
	}
}

// TestNothingIsSentForAnsweredRequest: a request may end while its attempt opens a connection, for instance because the
// client disconnects. The attempt then sends nothing, and the connection serves the next request.
func TestNothingIsSentForAnsweredRequest(t *testing.T) {
	backend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, backend.addr)
	requestDone := make(chan struct{})
	dial := pool.transport.DialContext
	pool.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		close(requestDone)
		return c, err
	}
	request := &Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}}
	if result, _, _ := pool.executeBuffered(context.Background(), requestDone, "s", request); result != balancer.NotSent {
		t.Errorf("result %v, want NotSent", result)
	}
	if result, _, _ := pool.executeBuffered(context.Background(), nil, "s", request); result != balancer.OK || len(backend.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend; want OK, 1", result, len(backend.seen))
	}
}

func TestLoadReportIsParsedFromResponseHeader(t *testing.T) {
	backend := startRawBackend(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=2, eps=0.5, util=0.61\r\nContent-Length: 5\r\n\r\nhello"
	})
	_, _, load := attemptOn(t, poolWithBackend(t, backend.addr), context.Background(), "")
	if want := wire.ParseLoad(map[string]float64{"backlog": 2, "errors_per_s": 0.5}); load != want {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

func TestProbeReportsResultAndLoad(t *testing.T) {
	for status, want := range map[string]balancer.Result{"200 OK": balancer.OK, "503 X": balancer.Errored} {
		backend := startRawBackend(t, func(int) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 12\r\n\r\nTEXT queue=3" })
		pool := poolWithBackend(t, backend.addr)
		pool.cfg.LoadProbed = true
		if probe := pool.Probe("s"); probe.Result != want || probe.Result == balancer.OK && probe.Load.Queue != 3 {
			t.Errorf("%s: health check %+v; want result %v, and queue 3 if OK", status, probe, want)
		}
	}
}

// TestLargeResponseLatencyIsFirstByte: the latency of a streaming response is the time until its first bytes.
func TestLargeResponseLatencyIsFirstByte(t *testing.T) {
	release := make(chan struct{})
	addr := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.WriteString(w, pattern(2*MaxBufferedBody))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	pool := poolWithBackend(t, addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	req, _ := http.NewRequest("GET", "/get/x", nil)
	att := &Attempt{Cancel: cancel, BackendID: "s", Start: time.Now(),
		Request: &Request{Method: "GET", URL: req.URL, Header: http.Header{}}}
	var reported time.Duration
	att.OnStreamStart = func(resp *Response, latency time.Duration) bool {
		reported = latency
		go func() {
			_, err := io.CopyN(io.Discard, resp.Stream.source, 2*MaxBufferedBody-int64(len(resp.Body)))
			close(release)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Stream.source)
			}
			resp.Stream.Finish(err)
		}()
		return true
	}
	result, resp, _ := pool.Execute(ctx, att)
	if result != balancer.OK || resp.Stream == nil || att.Latency != reported || att.Latency >= time.Since(att.Start) {
		t.Errorf("result %v, streamed %v, latency passed to OnStreamStart %v, attempt's latency %v, total %v; "+
			"want OK, true, and equal latencies below the total",
			result, resp != nil && resp.Stream != nil, reported, att.Latency, time.Since(att.Start))
	}
	if len(pool.idle["s"]) != 1 {
		t.Errorf("%d idle connections after the response, want 1", len(pool.idle["s"]))
	}
}
