package agent

import "time"

// A planned restart begins with a SIGTERM, of which clients are told up to 0.4 s late. The platform kills 0.7 s after the
// longest deadline, at 3 s of that at the most.
const (
	acceptWindowAfterStop = 450 * time.Millisecond // new connections are taken for so long at least
	silentConnTimeout     = 250 * time.Millisecond // without a byte, before a new connection is closed then
	maxDrainDeadline      = 3 * time.Second        // of the longest deadline
	drainSlack            = 600 * time.Millisecond // after it, the last answers are out
	drainPollInterval     = 5 * time.Millisecond
)

// drain answers what was taken and returns once nobody is left. Each answer ends its connection, and one that rests is
// closed: a client whose request crosses that comes anew, and is still accepted. What comes within the platform's last
// moments gets its answer before them. Nothing is cut off here: what the platform's kill ends is excused, what the process
// itself ends is lost.
//
// With a successor the socket is shared, and what connects from now on is the successor's.
func (a *Agent) drain(served <-chan error) {
	a.log.Info("stopping")
	f, startedAt, deadline := a.frontend, time.Now(), time.Now().Add(a.drainTimeout)
	f.accepting.Store(false)
	f.drainBy(deadline)
	acceptWindow, windowOver, idleGrace, silentTimeout := a.acceptWindow(), false, time.Duration(0), time.Duration(-1)
	if a.hotRestart != nil {
		// Nobody who is turned back there could come anew to this process: each may send once more.
		windowOver, idleGrace, silentTimeout = true, drainIdleTimeout, silentConnTimeout
		a.closeListener(served)
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for logged := false; !windowOver || !a.listenerClosed || f.hasConnections(); <-tick.C {
		select {
		case <-acceptWindow:
			windowOver, silentTimeout = true, silentConnTimeout
		default:
		}
		if time.Since(startedAt) >= idleGrace {
			f.idleConns.CloseIdle(0, silentTimeout)
		}
		pastDeadline := time.Now().After(deadline)
		if windowOver && (pastDeadline || !a.listener.Backlogged()) {
			a.closeListener(served)
		}
		if openRequests := f.openRequests.Load(); pastDeadline && !logged && openRequests > 0 {
			logged = true
			a.log.Warn("still answering", "open", openRequests)
		}
	}
	f.readers.Wait() // until clients have read the last answers
	if err := f.server.Close(); err != nil {
		a.log.Warn("closing", "error", err)
	}
	a.log.Info("stopped")
}

// closeListener ends accepting. What is in the kernel's queue when a listener closes is reset: as long as the queue waits for a
// descriptor the listener stays open.
func (a *Agent) closeListener(served <-chan error) {
	if a.listenerClosed {
		return
	}
	a.listenerClosed = true
	if err := a.listener.Close(); err != nil {
		a.log.Warn("closing", "error", err)
	}
	<-served
}
