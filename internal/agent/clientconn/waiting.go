package clientconn

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Waiting knows the connections that have no whole request open. Whoever takes one out owns it: the request that
// has come whole on it, or who closes it.
type Waiting struct {
	mu      sync.Mutex
	waiting map[net.Conn]waitingIn
}

// waitingIn is a connection that waits for a request.
type waitingIn struct {
	since time.Time
	first bool // none has come whole yet
}

// LeastWait: while more want to connect than there are slots, a connection that has waited for so long
// gives way: proper clients send their request at once.
const LeastWait = 150 * time.Millisecond

// NewWaiting knows none.
func NewWaiting() *Waiting { return &Waiting{waiting: map[net.Conn]waitingIn{}} }

// Track follows a connection's state as net/http tells it.
func (l *Waiting) Track(c net.Conn, s http.ConnState) {
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

// Claim takes a connection for the request that has come whole on it. It reports false where the connection
// has been closed: its client is told nothing, and nothing of it may be sent on.
func (l *Waiting) Claim(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.waiting[c]
	delete(l.waiting, c)
	return open
}

// MakeRoom closes one connection of those that have waited for a while: the one that has waited
// longest for its first whole request, or, where all have sent one, the one idle longest. Whoever
// connects and sends nothing must not keep out those who would.
func (l *Waiting) MakeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest net.Conn
	for c, w := range l.waiting {
		if r, ok := c.(*Conn); time.Since(w.since) < LeastWait || ok && r.Asked() {
			continue
		}
		if o := l.waiting[oldest]; oldest == nil || w.first && !o.first || w.first == o.first && w.since.Before(o.since) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	if c, ok := oldest.(*Conn); !ok {
		oldest.Close()
	} else if !c.abortUnlessAsked() { // its descriptor is wanted now
		return // a request has come in this moment
	}
	delete(l.waiting, oldest)
}

// CloseIdle closes the connections on which nothing has come for so long, and nothing lies unread:
// a client whose request crosses a close is turned back unheard. Those that never had a request are given their own time;
// below 0 they are left.
func (l *Waiting) CloseIdle(idle, silent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, w := range l.waiting {
		if w.first && (silent < 0 || time.Since(w.since) < silent) || !w.first && time.Since(w.since) < idle {
			continue
		}
		if r, ok := c.(*Conn); !ok {
			c.Close()
		} else if !r.closeUnlessReading() {
			continue // net/http tells of a request only once its header is whole
		}
		delete(l.waiting, c)
	}
}

// Conns are the connections that wait.
func (l *Waiting) Conns() []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.waiting))
}
