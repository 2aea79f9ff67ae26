package agent

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// waitingConns knows the connections that have no whole request open. Whoever takes one out owns it: the request that
// has come whole on it, or who closes it.
type waitingConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]waitingIn
}

// waitingIn is a connection that waits for a request.
type waitingIn struct {
	since time.Time
	first bool // none has come whole yet
}

// While more want to connect than there are slots, a connection that has waited for so long
// gives way: proper clients send their request at once.
const leastWait = 150 * time.Millisecond

func newWaitingConns() waitingConns { return waitingConns{waiting: map[net.Conn]waitingIn{}} }

// track follows a connection's state as net/http tells it.
func (l *waitingConns) track(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.waiting[c] = waitingIn{since: time.Now(), first: true}
	case http.StateIdle:
		l.waiting[c] = waitingIn{since: time.Now()}
	case http.StateClosed:
		delete(l.waiting, c)
	}
}

// claim takes a connection for the request that has come whole on it. It reports false where the connection
// has been closed: its client is told nothing, and nothing of it may be sent on.
func (l *waitingConns) claim(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.waiting[c]
	delete(l.waiting, c)
	return open
}

// makeRoom closes one connection of those that have waited for a while: the one that has waited
// longest for its first whole request, or, where all have sent one, the one idle longest. Whoever
// connects and sends nothing must not keep out those who would.
func (l *waitingConns) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest net.Conn
	for c, w := range l.waiting {
		if r, ok := c.(*clientConn); time.Since(w.since) < leastWait || ok && r.asked() {
			continue
		}
		if o := l.waiting[oldest]; oldest == nil || w.first && !o.first || w.first == o.first && w.since.Before(o.since) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	if c, ok := oldest.(*clientConn); !ok {
		oldest.Close()
	} else if !c.abortUnlessAsked() { // its descriptor is wanted now
		return // a request has come in this moment
	}
	delete(l.waiting, oldest)
}

// closeIdle closes the connections on which nothing has come for so long, and nothing lies unread:
// a client whose request crosses a close is turned back unheard. Those that never had a request are given their own time;
// below 0 they are left.
func (l *waitingConns) closeIdle(idle, silent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, w := range l.waiting {
		if w.first && (silent < 0 || time.Since(w.since) < silent) || !w.first && time.Since(w.since) < idle {
			continue
		}
		if r, ok := c.(*clientConn); !ok {
			c.Close()
		} else if !r.closeUnlessReading() {
			continue // net/http tells of a request only once its header is whole
		}
		delete(l.waiting, c)
	}
}
