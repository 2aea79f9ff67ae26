// Package clientconn is the clients' side of connections: each is read by a task of its own, ahead of the server, and is owned by
// the request that has come whole on it or by who closes it.
package clientconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// Conn is a connection of a client, under net/http's. A task of its own is the only one that reads the socket, ahead of the server:
// net/http reads no further than one byte behind a request, and would not see that a client has gone who has sent
// more than that.
type Conn struct {
	net.Conn
	acceptedAt time.Time       // it was accepted
	ctx        context.Context // ends with the client's side of the connection, or with this one
	cancelCtx  context.CancelFunc

	mu              sync.Mutex
	changed         sync.Cond
	readAhead       []byte // read, and not yet taken by the server
	readErr         error  // after that
	readDone        bool   // the task has read the last
	closing         bool   // this side has closed: what still comes is dropped
	responsePending bool   // the server owes an answer: what comes now belongs to no request that it has
	overflowed      bool   // more came then than is kept
	written         bool   // an answer, or part of one
	readDeadline    time.Time
	deadlineTimer   *time.Timer
	firstByteAt     time.Time // the first byte of the present request came; zero: none has
	lastByteAt      time.Time // the latest byte that was kept
	responses       int       // requests that have their answer
	framing
}

const (
	readBufferSize = 4 << 10  // bytes read at once, and kept unless an answer is owed
	maxReadAhead   = 16 << 10 // and kept then: clients send one request at a time
	// A connection is closed over bytes that came and were not read by a reset, which takes the last answer with it. So
	// this side ends its sending, and drops what comes until the client closes, as net/http does after an unread body.
	lingerTimeout = 500 * time.Millisecond
)

// Listener hands out clients' connections, each with the task that reads it.
type Listener struct {
	net.Listener
	Tasks *sync.WaitGroup
}

func (l Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := New(socket)
	l.Tasks.Go(c.readLoop)
	return c, nil
}

// New returns a connection over a socket, which is to be received from.
func New(socket net.Conn) *Conn {
	c := &Conn{Conn: socket, acceptedAt: time.Now()}
	c.ctx, c.cancelCtx = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	return c
}

func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	var retry ioRetry
	for written := 0; ; {
		n, err := c.Conn.Write(p[written:])
		written += n
		if !retry.shouldRetry(err) {
			return written, err
		}
	}
}

// Context ends with the client's side of the connection, or with this one.
func (c *Conn) Context() context.Context { return c.ctx }
