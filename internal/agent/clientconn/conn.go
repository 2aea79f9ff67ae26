// Package clientconn is the client side of an HTTP server's connections: connections that are read ahead of the server,
// so that a client's disconnect is noticed while its request is served, and the set of idle ones, from which they are
// evicted or closed.
//
// Who owns what:
//   - Only a connection's read loop (one goroutine for each connection, counted in Listener.Tasks) reads the socket. It
//     ends with the socket. net/http reads from the buffer that the loop fills.
//   - Conn's buffer, framing and request counters belong to Conn.mu. They are written by the read loop, by net/http's
//     goroutine of the connection (Read, Write, Close) and by the request's handler (MarkRequestComplete,
//     MarkResponseComplete).
//   - A connection between two requests belongs to IdleConns until someone removes it there: the handler of the next
//     complete request (Claim), or whoever closes it (EvictIdle, CloseIdle). The one who removes it owns it.
//
// How old it may be: what Conn reports of requests includes the bytes that lie unread in the kernel at the time of the
// call. A disconnect behind unread bytes is noticed up to hangUpCheckInterval late, any other one by the read that
// returns it. IdleConns knows a connection's state as of net/http's latest ConnState callback, and asks the Conn itself
// before it closes one.
package clientconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// Conn is a client's connection as net/http sees it. Its read loop is the only one that reads the socket, ahead of the
// server: net/http reads at most one byte past a request, and would not notice the disconnect of a client that has sent
// more.
//
// All methods may be called from any goroutine. Read, Write and Close are meant for net/http.
type Conn struct {
	net.Conn
	acceptedAt time.Time
	ctx        context.Context // done once either side has closed
	cancelCtx  context.CancelFunc

	mu              sync.Mutex
	changed         sync.Cond // of what mu guards; wakes Read and the read loop
	readAhead       []byte    // read from the socket, and not yet by the server
	readErr         error     // what Read returns after readAhead
	readDone        bool      // the read loop has ended, or is about to
	closing         bool      // this side has closed: what still arrives is dropped
	responsePending bool      // the present request is complete: bytes that arrive now belong to a later one
	overflowed      bool      // more than maxReadAhead arrived meanwhile, and was dropped
	written         bool      // some response, or part of one
	readDeadline    time.Time // of the server's reads; zero: none
	deadlineTimer   *time.Timer
	firstByteAt     time.Time // when the first byte of the present request arrived; zero: none has
	lastByteAt      time.Time // when the latest byte arrived that was kept
	responses       int       // requests that are answered
	framing                   // of what the server has read
}

const (
	// readBufferSize is the size of one read, in bytes. While no response is pending the read loop stops once so much
	// is buffered.
	readBufferSize = 4 << 10
	// maxReadAhead bounds what is buffered while a response is pending, in bytes. Clients send one request at a time,
	// so that little is expected then.
	maxReadAhead = 16 << 10
	// lingerTimeout bounds how long a closed connection is read on. Closing a socket that holds unread bytes sends a
	// reset, which destroys a response that the client has not read yet. So this side ends its sending and drops what
	// arrives until the client closes, as net/http does after an unread body.
	lingerTimeout = 500 * time.Millisecond
)

// Listener accepts clients' connections and starts the read loop of each.
type Listener struct {
	net.Listener
	Readers *sync.WaitGroup // of the read loops. Whoever serves the listener waits for them
}

// Accept returns the next connection, a *Conn, or the error of the listener below.
func (l Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := New(socket)
	l.Readers.Go(c.readLoop)
	return c, nil
}

// New returns a connection over a socket. Nothing is read before its read loop runs, which Listener starts.
func New(socket net.Conn) *Conn {
	c := &Conn{Conn: socket, acceptedAt: time.Now()}
	c.ctx, c.cancelCtx = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	return c
}

// Write sends part of a response. Short writes and errors that may pass are retried for up to maxRetryTime.
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

// Context is done once the client has disconnected or this side has closed the connection.
func (c *Conn) Context() context.Context { return c.ctx }
