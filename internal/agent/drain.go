package agent

// The drain: how an agent is emptied of clients, by a stop or by an operator.

import (
	"context"
	"time"
)

// A planned restart begins with a SIGTERM, of which clients are notified up to 0.4 s late. The platform kills the process
// 0.7 s after the longest deadline, of which at most 3 s count.
const (
	acceptWindowAfterStop    = 450 * time.Millisecond // new connections are accepted for at least this long
	drainFirstRequestTimeout = 250 * time.Millisecond // without a byte, before a new connection is closed after that
	maxDrainDeadline         = 3 * time.Second        // cap on the longest deadline
	drainSlack               = 600 * time.Millisecond // after the longest deadline, for the last replies to be out
	drainPollInterval        = 5 * time.Millisecond
)

// drain answers the accepted requests and returns once no connection is left. Each reply closes its connection, and idle
// connections are closed: a client whose request crosses the close connects anew, and is still accepted. Requests that
// arrive late get their reply before the platform kills the process. drain itself aborts nothing: a request that the
// platform's kill aborts does not count against the agent, one that the process aborts does.
//
// With a successor the listening socket is shared, and new connections are the successor's.
func (a *Agent) drain(served <-chan error) {
	a.log.Info("stopping")
	f, startedAt, deadline := a.frontend, time.Now(), time.Now().Add(a.drainTimeout)
	f.accepting.Store(false)
	f.drainBy(deadline)
	acceptWindow, windowOver, idleGrace, firstRequestTimeout := a.acceptWindow(), false, time.Duration(0), time.Duration(-1)
	if a.hotRestart != nil {
		// A client turned back here could not connect to this process again: each may send one more request.
		windowOver, idleGrace, firstRequestTimeout = true, drainIdleTimeout, drainFirstRequestTimeout
		a.closeListener(served)
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for logged := false; !windowOver || !a.listenerClosed || f.hasConnections(); <-tick.C {
		select {
		case <-acceptWindow:
			windowOver, firstRequestTimeout = true, drainFirstRequestTimeout
		default:
		}
		if time.Since(startedAt) >= idleGrace {
			f.idleConns.CloseIdle(0, firstRequestTimeout)
		}
		pastDeadline := time.Now().After(deadline)
		if windowOver && (pastDeadline || !a.listener.Backlogged()) {
			a.closeListener(served)
		}
		if openRequests := f.openRequests.Load(); pastDeadline && !logged && openRequests > 0 {
			logged = true
			a.log.Warn("requests still open at the end of the drain", "open", openRequests)
		}
	}
	f.readers.Wait() // until clients have read the last replies
	if err := f.server.Close(); err != nil {
		a.log.Warn("close failed", "error", err)
	}
	a.log.Info("stopped")
}

// closeListener stops accepting. The connections in the kernel's accept queue would be reset, so the caller keeps the
// listener open while the queue waits for a descriptor.
func (a *Agent) closeListener(served <-chan error) {
	if a.listenerClosed {
		return
	}
	a.listenerClosed = true
	if err := a.listener.Close(); err != nil {
		a.log.Warn("close failed", "error", err)
	}
	<-served
}

// While the agent drains, a connection is closed once it has been idle for drainIdleTimeout: after clients have stopped
// opening new ones, and well before their next requests would be counted against the agent.
const (
	drainIdleTimeout   = 600 * time.Millisecond
	drainCheckInterval = 50 * time.Millisecond
)

// draining reports whether clients are to be sent elsewhere: each reply then closes its connection.
func (f *frontend) draining() bool { return f.loop.lameDuck.Load() || f.drainDeadline.Load() != 0 }

// drainBy starts draining: each reply closes its connection, and is due at the deadline at the latest.
func (f *frontend) drainBy(deadline time.Time) {
	f.drainDeadline.Store(int64(f.loop.clock.at(deadline)))
}

// setLameDuck drains the agent of clients by an operator's call, or ends that.
func (f *frontend) setLameDuck(on bool) { f.loop.lameDuck.Store(on) }

// closeIdleWhileDraining closes idle connections while the agent is a lame duck, until ctx ends.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	var drainingSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		switch {
		case !f.draining():
			drainingSince = time.Time{}
		case drainingSince.IsZero():
			drainingSince = time.Now()
		case time.Since(drainingSince) >= drainIdleTimeout && f.drainDeadline.Load() == 0:
			f.idleConns.CloseIdle(drainIdleTimeout, drainIdleTimeout)
		}
	}
}
