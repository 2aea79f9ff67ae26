// Package clientconn wraps the client connections of an HTTP server. It reads each connection ahead of the server, so
// that a client's disconnect is detected while the client's request is being served, and it keeps the set of idle
// connections, which may be evicted or closed.
//
// A Gate accepts the connections of the frontend. It waits until a request has arrived and its memory is reserved, and then
// passes the connection to net/http as an Exchange, for that request and its response. The admin server uses a Listener
// instead, whose connections belong to net/http until they are closed.
//
// Ownership:
//   - Only a connection's read loop (one goroutine per connection, counted in Readers of its Gate or Listener) reads the socket. The
//     loop ends when the socket is closed. net/http reads from the buffer that the loop fills. The loop reads and fills the
//     buffer under mu, so that bytes which have arrived are always either unread in the kernel or in the buffer.
//   - Conn.mu guards Conn's buffer, framing and request counters. They are written by the read loop, by net/http's
//     goroutine for the connection (Read, Write, Close) and by the request's handler (MarkRequestComplete,
//     MarkResponseComplete).
//   - A Conn of a Gate is in one phase. While a request arrives or waits for memory, the read loop, or the goroutine that has
//     closed the Exchange before, owns the connection; then net/http's goroutine does, until it closes the Exchange.
//   - IdleConns owns a connection between two requests. A caller that removes the connection from the set becomes its
//     owner: the handler of the next complete request (Claim), or the function that closes it (EvictIdle, CloseIdle).
//
// Freshness: what Conn reports about requests includes the bytes that are unread in the kernel at the time of the call.
// The read loop detects a disconnect when its read of the socket fails. While the loop is paused, it checks for a
// disconnect every disconnectCheckInterval instead. IdleConns has a connection's state as of net/http's latest ConnState
// callback, and checks the Conn itself before it closes a connection.
package clientconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/rawconn"
)

// Conn is a client's connection as net/http uses it. Only its read loop reads the socket, ahead of the server: net/http
// itself reads at most one byte past a request, and would not detect the disconnect of a client that has sent more.
//
// All methods may be called from any goroutine. Read, Write and Close are meant for net/http.
type Conn struct {
	net.Conn
	raw        syscall.RawConn // nil: Conn is not a socket
	acceptedAt time.Time
	ctx        context.Context // cancelled once either side has closed the connection
	cancelCtx  context.CancelFunc

	mu               sync.Mutex
	changed          sync.Cond // broadcast when a guarded field changes; Read and the read loop wait on it
	readAhead        []byte    // read from the socket, but not yet by the server
	readErr          error     // error for Read to return, normally once readAhead is empty
	readDone         bool      // the last read from the socket has returned
	socketClosed     bool
	closing          bool      // this side has closed the connection: bytes that still arrive are discarded
	responsePending  bool      // the current request is complete and unanswered: bytes that arrive now belong to a later request
	overflowed       bool      // more than maxReadAhead arrived while a response was pending; the bytes past it are discarded
	written          bool      // at least part of a response has been written
	readDeadline     time.Time // deadline of the server's reads; zero: none
	deadlineTimer    *time.Timer
	firstByteAt      time.Time // arrival of the current request's first byte; zero: none has arrived
	lastByteAt       time.Time // arrival of the latest byte that was buffered
	readLate         bool      // the read loop has not read for some time, in which bytes may have arrived
	readRequested    int       // size of the latest read, in bytes
	requestsAnswered int       // number of requests that have been answered
	discarded        int       // bytes that were discarded since the read loop last paused

	gate          *Gate // nil: net/http reads all requests of the connection
	phase         phase
	next          arrival                // what has arrived of the next request
	arrivalMemory *membudget.Reservation // for up to arrivalSize bytes of it; nil: up to unreservedArrival
	arrivalSize   int
	growing       bool // the read loop waits for memory for more of the request, until its deadline
	framing            // request boundaries in what the server has read
}

const (
	// readBufferSize is the size of one read, in bytes. The read loop pauses once this many bytes are buffered.
	readBufferSize = 4 << 10
	// maxReadAhead bounds the bytes that wait, read or unread, while a response is pending. Clients send one request at a
	// time, so few bytes are expected at that time.
	maxReadAhead = 16 << 10
	// discardBurst is how many bytes the read loop discards before it pauses for disconnectCheckInterval.
	discardBurst = 64 << 10
	// lingerTimeout bounds how long the read loop keeps reading a closed connection. Closing a socket that has unread
	// bytes sends a reset, which destroys a response that the client has not read yet. So this side shuts down its
	// sending side and discards what arrives until the client closes, as net/http does after an unread body.
	lingerTimeout = 500 * time.Millisecond
)

// Listener accepts clients' connections and starts the read loop of each.
type Listener struct {
	net.Listener
	Readers *sync.WaitGroup // counts the running read loops; the owner of the server waits for them
}

// Accept returns the next connection, a *Conn, or the error of the underlying listener.
func (l Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := New(socket)
	l.Readers.Go(c.readLoop)
	return c, nil
}

// New returns a connection over a socket. It does not start the read loop; Listener.Accept does.
func New(socket net.Conn) *Conn {
	c := &Conn{Conn: socket, raw: rawconn.Of(socket), acceptedAt: time.Now()}
	c.ctx, c.cancelCtx = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	return c
}

// Write sends p, a response or part of one. After a transient error it retries with the unsent bytes, for up to
// maxRetryTime.
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

// Context returns a context that is cancelled once the client has disconnected or this side has closed the connection.
func (c *Conn) Context() context.Context { return c.ctx }
