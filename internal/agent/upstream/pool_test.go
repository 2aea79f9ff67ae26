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

// dyingConn breaks while it is idle, unnoticed.
type dyingConn struct {
	net.Conn
	dead *atomic.Bool
}

func (c dyingConn) Write(p []byte) (int, error) {
	if c.dead.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// TestDeadIdleConnectionIsReplacedByNewOne: an idle connection that turns out to be dead before the request is complete is
// no failed connect (ticket 8488). The attempt is made on a new connection, once.
func TestDeadIdleConnectionIsReplacedByNewOne(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	var dead atomic.Bool
	dial, dials := b.transport.DialContext, 0
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if dials++; err == nil && dials == 1 {
			counted := c.(*trackedConn)
			counted.Conn = dyingConn{counted.Conn, &dead}
		}
		return c, err
	}
	if result, _, _ := attemptOn(t, b, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first: %v", result)
	}
	dead.Store(true)
	if result, _, _ := attemptOn(t, b, context.Background(), "two"); result != balancer.OK || dials != 2 {
		t.Errorf("second: %v after %d dials", result, dials)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the backend, 2 were asked for", n)
	}
	if b.openConns != 1 {
		t.Errorf("%d connections counted as open", b.openConns)
	}
}

// TestUnusedConnectionKeepsItsIdleTime: if nothing was sent on a connection it stays as old as it was, since the backend
// has seen nothing on it.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	attemptOn(t, b, context.Background(), "")
	since := b.idle["s"][0].idleSince
	over := make(chan struct{})
	close(over)
	r, _, _ := b.executeBuffered(context.Background(), over, "s",
		&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
	if r != balancer.NotSent || len(b.idle["s"]) != 1 || b.idle["s"][0].idleSince != since {
		t.Errorf("result %v, %d idle", r, len(b.idle["s"]))
	}
}

// TestStaleConnectionCausesNoImplicitResend: net/http's Transport sends a request again on its own if a reused connection
// turns out to be dead, also a POST with an Idempotency-Key. That would be an attempt which the balancer did not order.
// Here the first request leaves an idle connection, which the backend closes without a response to the second.
func TestStaleConnectionCausesNoImplicitResend(t *testing.T) {
	s := startRawBackend(t, func(n int) string { return []string{ok200, "", ok200}[n] })
	b := poolWithBackend(t, s.addr)
	if result, _, _ := attemptOn(t, b, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first: %v", result)
	}
	if len(b.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first", len(b.idle["s"]))
	}
	if result, _, _ := attemptOn(t, b, context.Background(), "two"); result != balancer.Reset {
		t.Fatalf("second: %v", result)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the backend, 2 were asked for", n)
	}
}

// TestExpiredIdleConnectionIsNotReused: on a connection that has been idle for nearly as long as backends allow, a request
// could cross the close.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	attemptOn(t, b, context.Background(), "")
	old := b.idle["s"][0]
	old.idleSince = time.Now().Add(-b.idleTimeout)
	attemptOn(t, b, context.Background(), "")
	if b.idle["s"][0] == old || b.openConns != 1 {
		t.Error("the old connection was used")
	}
	if b.idleTimeout >= b.cfg.IdleClose {
		t.Errorf("idle connections are kept for %v, backends close at %v", b.idleTimeout, b.cfg.IdleClose)
	}
}

// TestConnectionLimitEvictsIdleConnection: at the limit the connection that has been idle longest is closed; if none is
// idle the attempt fails unsent.
func TestConnectionLimitEvictsIdleConnection(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(n int) string {
		if n == 1 {
			<-hold
		}
		return ok200
	})
	b := poolWithBackend(t, s.addr)
	applyDelta(b, balancer.Backend{ID: "t"}, s.addr)
	b.maxConns = 1
	attemptOn(t, b, context.Background(), "")
	<-s.seen
	done := make(chan balancer.Result)
	go func() {
		r, _, _ := b.executeBuffered(context.Background(), nil, "t",
			&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
		done <- r
	}()
	receive(t, "request to t", s.seen)
	if len(b.idle["s"]) != 0 {
		t.Error("no idle connection made room")
	}
	if r, _, _ := attemptOn(t, b, context.Background(), ""); r != balancer.ConnectFailed {
		t.Errorf("past the limit: %v", r)
	}
	close(hold)
	if r := receive(t, "result", done); r != balancer.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// TestAddressChangeClosesIdleConnections: at a new address another process has the old id.
func TestAddressChangeClosesIdleConnections(t *testing.T) {
	one := startRawBackend(t, func(int) string { return ok200 })
	two := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, one.addr)
	attemptOn(t, b, context.Background(), "")
	applyDelta(b, balancer.Backend{ID: "s"}, two.addr)
	if b.openConns != 0 {
		t.Errorf("%d connections to the old address are open", b.openConns)
	}
	if attemptOn(t, b, context.Background(), ""); len(one.seen) != 1 || len(two.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new", len(one.seen), len(two.seen))
	}
}

// TestConnectionInUseIsClosedAfterAddressChange: a connection in use leads to the old process, so it is not kept.
func TestConnectionInUseIsClosedAfterAddressChange(t *testing.T) {
	hold := make(chan struct{})
	one := startRawBackend(t, func(int) string { <-hold; return ok200 })
	b := poolWithBackend(t, one.addr)
	done := make(chan balancer.Result, 1)
	go func() {
		r, _, _ := b.executeBuffered(context.Background(), nil, "s",
			&Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{}})
		done <- r
	}()
	receive(t, "request", one.seen)
	applyDelta(b, balancer.Backend{ID: "s"}, unusedAddr(t))
	close(hold)
	if r := receive(t, "result", done); r != balancer.OK || b.openConns != 0 {
		t.Errorf("result %v, %d connections kept", r, b.openConns)
	}
}

// TestDisabledBackendReceivesNothing: an attempt that is being dialled when the backend is disabled is not sent. Idle
// connections are closed, and attempts that were sent may finish.
func TestDisabledBackendReceivesNothing(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	if r, _, _ := attemptOn(t, b, context.Background(), "one"); r != balancer.OK {
		t.Fatal(r)
	}
	b.SetDisabled("s", true)
	if b.openConns != 0 {
		t.Errorf("%d connections to the detached backend are kept", b.openConns)
	}
	b.SetDisabled("s", false)
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		b.SetDisabled("s", true)
		return c, err
	}
	if r, _, _ := attemptOn(t, b, context.Background(), "two"); r != balancer.ConnectFailed || b.openConns != 0 {
		t.Errorf("result %v, %d connections open", r, b.openConns)
	}
	if r, _, _ := attemptOn(t, b, context.Background(), "three"); r != balancer.ConnectFailed || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
	b.SetDisabled("s", false)
	b.transport.DialContext = dial
	if r, _, _ := attemptOn(t, b, context.Background(), "four"); r != balancer.OK {
		t.Errorf("after the call back: %v", r)
	}
}
