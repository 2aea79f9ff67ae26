package agent

import "time"

// A planned restart begins with a SIGTERM, of which clients are told up to 0.4 s late. The platform kills 0.7 s after the
// longest deadline, at 3 s of that at the most.
const (
	acceptAfterStop = 450 * time.Millisecond // new connections are taken for so long at least
	silentAfterStop = 250 * time.Millisecond // without a byte, before a new connection is closed then
	longestKept     = 3 * time.Second        // of the longest deadline
	stopSlack       = 600 * time.Millisecond // after it, the last answers are out
	stopEvery       = 5 * time.Millisecond
)

// stop answers what was taken and returns once nobody is left. Each answer ends its connection, and one that rests is
// closed: a client whose request crosses that comes anew, and is still accepted. What comes within the platform's last
// moments gets its answer before them. Nothing is cut off here: what the platform's kill ends is excused, what the process
// itself ends is lost.
//
// With a successor the socket is shared, and what connects from now on is the successor's.
func (a *Agent) stop(served <-chan error) {
	a.log.Info("stopping")
	f, began, end := a.front, time.Now(), time.Now().Add(a.stopIn)
	f.taking.Store(false)
	f.stopBy(end)
	accepting, accepted, rest, silent := a.accept(), false, time.Duration(0), time.Duration(-1)
	if a.successor != nil {
		// Nobody who is turned back there could come anew to this process: each may send once more.
		accepted, rest, silent = true, emptyIdle, silentAfterStop
		a.shut(served)
	}
	tick := time.NewTicker(stopEvery)
	defer tick.Stop()
	for late := false; !accepted || !a.closed || f.anyone(); <-tick.C {
		select {
		case <-accepting:
			accepted, silent = true, silentAfterStop
		default:
		}
		if time.Since(began) >= rest {
			f.waiting.CloseIdle(0, silent)
		}
		over := time.Now().After(end)
		if accepted && (over || !a.listener.Backlogged()) {
			a.shut(served)
		}
		if open := f.open.Load(); over && !late && open > 0 {
			late = true
			a.log.Warn("still answering", "open", open)
		}
	}
	f.readers.Wait() // until clients have read the last answers
	if err := f.server.Close(); err != nil {
		a.log.Warn("closing", "error", err)
	}
	a.log.Info("stopped")
}

// shut ends accepting. What is in the kernel's queue when a listener closes is reset: as long as the queue waits for a
// descriptor the listener stays open.
func (a *Agent) shut(served <-chan error) {
	if a.closed {
		return
	}
	a.closed = true
	if err := a.listener.Close(); err != nil {
		a.log.Warn("closing", "error", err)
	}
	<-served
}
