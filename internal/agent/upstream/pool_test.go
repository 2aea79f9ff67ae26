package upstream

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/balancer"
)

// breakableConn fails all writes once broken is set, and no read.
type breakableConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c breakableConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// TestDeadIdleConnectionIsReplacedByNewOne: an idle connection that breaks before the complete request is written does not
// count as a failed connect (ticket 8488). The attempt is made once, on a new connection.
func TestDeadIdleConnectionIsReplacedByNewOne(t *testing.T) {
	backend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, backend.addr)
	var broken atomic.Bool
	dial, dials := pool.transport.DialContext, 0
	pool.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if dials++; err == nil && dials == 1 {
			tracked := c.(*trackedConn)
			tracked.Conn = breakableConn{tracked.Conn, &broken}
		}
		return c, err
	}
	if result, _, _ := attemptOn(t, pool, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first attempt: result %v, want OK", result)
	}
	broken.Store(true)
	if result, _, _ := attemptOn(t, pool, context.Background(), "two"); result != balancer.OK || dials != 2 {
		t.Errorf("second attempt: result %v after %d dials, want OK after 2", result, dials)
	}
	if n := len(backend.seen); n != 2 {
		t.Errorf("%d requests reached the backend, want 2", n)
	}
	if pool.openConns != 1 {
		t.Errorf("%d connections counted as open, want 1", pool.openConns)
	}
}

// TestUnusedConnectionKeepsItsIdleTime: a connection on which nothing was sent keeps its idle time, since for the backend
// the connection is still idle.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	backend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, backend.addr)
	attemptOn(t, pool, context.Background(), "")
	previousIdleSince := pool.idle["s"][0].idleSince
	requestDone := make(chan struct{})
	close(requestDone)
	result, _, _ := pool.executeBuffered(context.Background(), requestDone, "s",
		&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
	if result != balancer.NotSent || len(pool.idle["s"]) != 1 || pool.idle["s"][0].idleSince != previousIdleSince {
		t.Errorf("result %v, %d idle connections; want NotSent, and one connection with its earlier idleSince", result, len(pool.idle["s"]))
	}
}

// TestStaleConnectionCausesNoImplicitResend: if a reused connection is closed, net/http's Transport sends the request
// again, also a POST with an Idempotency-Key. The second request would be an attempt that the balancer did not order. In
// the test, the first request leaves an idle connection, which the backend closes without a response to the second.
func TestStaleConnectionCausesNoImplicitResend(t *testing.T) {
	backend := startRawBackend(t, func(n int) string { return []string{ok200, "", ok200}[n] })
	pool := poolWithBackend(t, backend.addr)
	if result, _, _ := attemptOn(t, pool, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first attempt: result %v, want OK", result)
	}
	if len(pool.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first attempt, want 1", len(pool.idle["s"]))
	}
	if result, _, _ := attemptOn(t, pool, context.Background(), "two"); result != balancer.Reset {
		t.Fatalf("second attempt: result %v, want Reset", result)
	}
	if n := len(backend.seen); n != 2 {
		t.Errorf("%d requests reached the backend, want 2", n)
	}
}

// TestExpiredIdleConnectionIsNotReused: if a connection has been idle for nearly as long as backends allow, the backend
// may close the connection while a request is sent.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	backend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, backend.addr)
	attemptOn(t, pool, context.Background(), "")
	old := pool.idle["s"][0]
	old.idleSince = time.Now().Add(-pool.idleTimeout)
	attemptOn(t, pool, context.Background(), "")
	if pool.idle["s"][0] == old || pool.openConns != 1 {
		t.Errorf("old connection reused: %v, %d connections open; want false, 1", pool.idle["s"][0] == old, pool.openConns)
	}
	if pool.idleTimeout >= pool.cfg.IdleClose {
		t.Errorf("idle connections are kept for %v, want less than %v, after which backends may close them",
			pool.idleTimeout, pool.cfg.IdleClose)
	}
}

// TestConnectionLimitEvictsIdleConnection: at the limit, the pool closes the connection that has been idle longest. If
// none is idle, the attempt fails unsent.
func TestConnectionLimitEvictsIdleConnection(t *testing.T) {
	release := make(chan struct{})
	backend := startRawBackend(t, func(n int) string {
		if n == 1 {
			<-release
		}
		return ok200
	})
	pool := poolWithBackend(t, backend.addr)
	applyDelta(pool, balancer.Backend{ID: "t"}, backend.addr)
	pool.maxConns = 1
	attemptOn(t, pool, context.Background(), "")
	<-backend.seen
	done := make(chan balancer.Result)
	go func() {
		r, _, _ := pool.executeBuffered(context.Background(), nil, "t",
			&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
		done <- r
	}()
	receive(t, "request to t", backend.seen)
	if len(pool.idle["s"]) != 0 {
		t.Errorf("%d idle connections to s at the limit, want 0", len(pool.idle["s"]))
	}
	if r, _, _ := attemptOn(t, pool, context.Background(), ""); r != balancer.ConnectFailed {
		t.Errorf("attempt beyond the limit: result %v, want ConnectFailed", r)
	}
	close(release)
	if r := receive(t, "result", done); r != balancer.OK {
		t.Errorf("attempt in flight at the limit: result %v, want OK", r)
	}
}

// TestAddressChangeClosesIdleConnections: at a new address, a different process has the backend's id.
func TestAddressChangeClosesIdleConnections(t *testing.T) {
	oldBackend := startRawBackend(t, func(int) string { return ok200 })
	newBackend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, oldBackend.addr)
	attemptOn(t, pool, context.Background(), "")
	applyDelta(pool, balancer.Backend{ID: "s"}, newBackend.addr)
	if pool.openConns != 0 {
		t.Errorf("%d connections to the old address are open, want 0", pool.openConns)
	}
	if attemptOn(t, pool, context.Background(), ""); len(oldBackend.seen) != 1 || len(newBackend.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new one; want 1 each", len(oldBackend.seen), len(newBackend.seen))
	}
}

// TestConnectionInUseIsClosedAfterAddressChange: a connection in use is to the old process, so the pool closes the
// connection on release.
func TestConnectionInUseIsClosedAfterAddressChange(t *testing.T) {
	release := make(chan struct{})
	oldBackend := startRawBackend(t, func(int) string { <-release; return ok200 })
	pool := poolWithBackend(t, oldBackend.addr)
	done := make(chan balancer.Result, 1)
	go func() {
		r, _, _ := pool.executeBuffered(context.Background(), nil, "s",
			&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
		done <- r
	}()
	receive(t, "request", oldBackend.seen)
	applyDelta(pool, balancer.Backend{ID: "s"}, unusedAddr(t))
	close(release)
	if r := receive(t, "result", done); r != balancer.OK || pool.openConns != 0 {
		t.Errorf("result %v, %d connections open; want OK, 0", r, pool.openConns)
	}
}

// TestDisabledBackendReceivesNothing: an attempt whose connection is being dialled when the backend is disabled is not
// sent. Disabling a backend closes its idle connections.
func TestDisabledBackendReceivesNothing(t *testing.T) {
	backend := startRawBackend(t, func(int) string { return ok200 })
	pool := poolWithBackend(t, backend.addr)
	if r, _, _ := attemptOn(t, pool, context.Background(), "one"); r != balancer.OK {
		t.Fatalf("first attempt: result %v, want OK", r)
	}
	pool.SetDisabled("s", true)
	if pool.openConns != 0 {
		t.Errorf("%d connections to the disabled backend are open, want 0", pool.openConns)
	}
	pool.SetDisabled("s", false)
	dial := pool.transport.DialContext
	pool.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		pool.SetDisabled("s", true)
		return c, err
	}
	if r, _, _ := attemptOn(t, pool, context.Background(), "two"); r != balancer.ConnectFailed || pool.openConns != 0 {
		t.Errorf("disabled during the dial: result %v, %d connections open; want ConnectFailed, 0", r, pool.openConns)
	}
	if r, _, _ := attemptOn(t, pool, context.Background(), "three"); r != balancer.ConnectFailed || len(backend.seen) != 1 {
		t.Errorf("disabled before the attempt: result %v, %d requests reached the backend; want ConnectFailed, 1", r, len(backend.seen))
	}
	pool.SetDisabled("s", false)
	pool.transport.DialContext = dial
	if r, _, _ := attemptOn(t, pool, context.Background(), "four"); r != balancer.OK {
		t.Errorf("enabled again: result %v, want OK", r)
	}
}
