package agent

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lobby knows the connections that have no whole request open.
type lobby struct {
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

func newLobby() lobby { return lobby{waiting: map[net.Conn]waitingIn{}} }

// track follows a connection's state as net/http tells it.
func (l *lobby) track(c net.Conn, s http.ConnState) {
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

// takes notes that a request has come whole on a connection. It reports false where the connection
// has been closed to make room: its client is told nothing, and nothing of it may be sent on.
func (l *lobby) takes(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.waiting[c]
	delete(l.waiting, c)
	return open
}

// makeRoom closes one connection of those that have waited for a while: the one that has waited
// longest for its first whole request, or, where all have sent one, the one idle longest. Whoever
// connects and sends nothing must not keep out those who would.
func (l *lobby) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest net.Conn
	for c, w := range l.waiting {
		if time.Since(w.since) < leastWait {
			continue
		}
		if o := l.waiting[oldest]; oldest == nil || w.first && !o.first || w.first == o.first && w.since.Before(o.since) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(l.waiting, oldest)
		oldest.Close()
	}
}

// closeIdle closes the connections on which nothing has come for so long, and nothing lies unread:
// a client whose request crosses a close is turned back unheard.
func (l *lobby) closeIdle(idle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, w := range l.waiting {
		if r, ok := c.(interface{ reading() bool }); ok && r.reading() {
			continue // net/http tells of a request only once its header is whole
		}
		if time.Since(w.since) >= idle && !unread(c) {
			delete(l.waiting, c)
			c.Close()
		}
	}
}

// unread reports whether bytes lie on a connection that nobody has read.
func unread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // not Read: the server waits in one
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
