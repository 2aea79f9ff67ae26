package agent

// Draining: how the agent closes its client connections before a stop, or when an operator makes it a lame duck.

import (
	"context"
	"time"
)

// A planned restart begins with a SIGTERM; clients are notified up to 0.4 s later. The platform kills the process 0.7 s after
// the longest deadline, which counts as 3 s if it is longer.
const (
	acceptWindowAfterStop    = 450 * time.Millisecond // the agent accepts new connections for at least this time
	drainFirstRequestTimeout = 250 * time.Millisecond // after the accept window, a connection without a byte is closed at this age
	maxDrainDeadline         = 3 * time.Second        // cap on the longest deadline
	drainSlack               = 600 * time.Millisecond // after the longest deadline, for writing the last replies
	drainPollInterval        = 5 * time.Millisecond
)

// drain answers the accepted requests and returns once no connection is open. Each reply closes its connection, and drain
// closes idle connections: a client whose request crosses the close connects again and is accepted. Requests that arrive
// late get their reply before the platform kills the process. drain aborts no request: a request that the process aborts
// counts against the agent, one that the platform aborts by killing the process does not.
//
// In a hot restart the successor shares the listening socket and accepts the new connections.
func (a *Agent) drain(served <-chan error) {
	a.startDrain()
	f, startedAt := a.frontend, time.Now()
	deadline, _ := f.drainEnd()
	acceptWindow, windowOver, idleGrace, firstRequestTimeout := a.acceptWindow(), false, time.Duration(0), time.Duration(-1)
	if a.hotRestart != nil {
		// A disconnected client could not connect to this process again, so each client may send one more request.
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
	f.gate.Readers.Wait() // clients have then read the last replies
	if err := f.close(); err != nil {
		a.log.Warn("close failed", "error", err)
	}
	a.log.Info("stopped")
}

// startDrain makes each reply close its connection from now on. Only Run's goroutine calls it; calls after the first do nothing.
func (a *Agent) startDrain() {
	if _, started := a.frontend.drainEnd(); started {
		return
	}
	a.log.Info("stopping")
	a.frontend.accepting.Store(false)
	a.frontend.drainBy(time.Now().Add(a.drainTimeout))
}

// closeListener closes the listener and waits until the server has stopped accepting. Closing resets the connections in the
// kernel's accept queue, so the caller keeps the listener open while queued connections wait for a descriptor.
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

// While the agent drains, it closes each connection that has been idle for drainIdleTimeout. This timeout expires after clients
// have stopped opening connections, and well before the clients' next requests would count against the agent.
const (
	drainIdleTimeout      = 600 * time.Millisecond
	lameDuckCheckInterval = 50 * time.Millisecond // between checks for idle connections of a lame duck
)

// draining reports whether the agent is draining clients. While it does, each reply closes its connection.
func (f *frontend) draining() bool { return f.loop.lameDuck.Load() || f.drainDeadline.Load() != 0 }

// drainBy starts a drain in which each reply closes its connection and is due by the deadline. It may be called once.
func (f *frontend) drainBy(deadline time.Time) {
	f.drainDeadline.Store(int64(f.loop.clock.at(deadline)))
	close(f.drainStarted)
}

// drainEnd returns when all replies are due, if the agent is stopping.
func (f *frontend) drainEnd() (end time.Time, stopping bool) {
	at := time.Duration(f.drainDeadline.Load())
	if at == 0 {
		return time.Time{}, false
	}
	return f.loop.clock.time(at), true
}

// setLameDuck switches the lame duck state, in which the agent drains clients, on an operator's call.
func (f *frontend) setLameDuck(on bool) { f.loop.lameDuck.Store(on) }

// closeIdleWhileLameDuck closes idle connections while the agent is a lame duck, until ctx ends.
func (f *frontend) closeIdleWhileLameDuck(ctx context.Context) {
	tick := time.NewTicker(lameDuckCheckInterval)
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
