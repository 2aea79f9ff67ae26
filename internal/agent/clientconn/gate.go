package clientconn

// This file accepts clients' connections, and hands a connection to net/http for one request at a time.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/agent/membudget"
)

// MaxAwaitedBody is the size of the longest body that is awaited before its request is served, in bytes. What of a request has
// arrived takes its bytes and little more until then.
const MaxAwaitedBody = 4 << 10

// maxAwaitedChunks is how many bytes of a chunked body are awaited before its request is served. With a small header they take no
// reservation, so that requests with longer bodies hold none while they wait for memory.
const maxAwaitedChunks = 1 << 10

// headSlack is how much longer than GateConfig.MaxHeader a header may be, in bytes, as in net/http.
const headSlack = 4 << 10

// Admission decides on requests that have arrived, before memory is allocated for them.
type Admission interface {
	// ReserveArrival reserves memory for bytes of a request that has not arrived completely. It waits for memory until ctx is
	// done, and then returns nil.
	ReserveArrival(ctx context.Context, bytes int) *membudget.Reservation
	// ReserveRequest reserves what a request takes while it is served. It waits for memory until ctx is done, and then
	// returns nil. requestTime is how long the request may take to arrive from now on.
	ReserveRequest(ctx context.Context, head Head, requestTime time.Duration) *membudget.Reservation
}

// GateConfig configures a Gate. No field may change once the gate accepts connections.
type GateConfig struct {
	Admission     Admission
	IdleConns     *IdleConns
	MaxHeader     int            // longest header in bytes; a longer one is answered with status 431
	HeaderTimeout time.Duration  // for a header, from the request's first byte, or the accept of its connection; also the idle timeout
	BodyTimeout   time.Duration  // for a body of up to MaxAwaitedBody, from the same moment
	RejectionBody string         // text of a rejection for want of memory
	RetryAfter    string         // header field of such a rejection, with its line ending; "": none
	Opened        func()         // called for each accepted connection
	Closed        func()         // called once its socket is closed
	Refused       func(int)      // called with the status of each answer that the gate gives in place of net/http
	Readers       sync.WaitGroup // counts the running read loops; the owner of the server waits for them
}

// Gate is the net.Listener of an http.Server whose connections carry one request each, which has arrived. Between requests, and
// while a request arrives, a client's connection takes no memory of net/http.
type Gate struct {
	*GateConfig
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	closeOnce sync.Once
	exchanges chan net.Conn

	mu       sync.Mutex
	listener net.Listener // nil: none yet
}

// NewGate returns a gate without connections.
func NewGate(cfg *GateConfig) *Gate {
	g := &Gate{GateConfig: cfg, exchanges: make(chan net.Conn)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// AcceptFrom accepts clients' connections until an accept fails, and returns the error of that accept.
func (g *Gate) AcceptFrom(clients net.Listener) error {
	g.mu.Lock()
	g.listener = clients
	g.mu.Unlock()
	if g.ctx.Err() != nil {
		clients.Close()
	}
	for {
		socket, err := clients.Accept()
		if err != nil {
			return err
		}
		c := New(socket)
		c.gate = g
		g.Opened()
		g.IdleConns.Track(c, http.StateNew)
		c.awaitRequest(g.HeaderTimeout)
		g.Readers.Go(func() {
			c.readLoop()
			c.awaitClosed()
			g.IdleConns.Track(c, http.StateClosed)
			g.Closed()
		})
	}
}

// Accept returns the next request that has arrived, as a connection that ends with it.
func (g *Gate) Accept() (net.Conn, error) {
	select {
	case x := <-g.exchanges:
		return x, nil
	case <-g.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener, and the connections that wait for a request. Calls after the first do nothing.
func (g *Gate) Close() error {
	g.closeOnce.Do(func() {
		g.cancel()
		for _, c := range g.IdleConns.Conns() {
			c.Close()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.listener != nil {
			_ = g.listener.Close() // it may have been closed before
		}
	})
	return nil
}

// Addr returns the address at which clients connect.
func (g *Gate) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener == nil {
		return &net.TCPAddr{}
	}
	return g.listener.Addr()
}

// serve passes an exchange to net/http.
func (g *Gate) serve(x *Exchange) {
	select {
	case g.exchanges <- x:
	case <-g.ctx.Done():
		_ = x.Close() // the client learns it from the close
	}
}
