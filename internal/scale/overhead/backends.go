// Package overhead measures what a call's way through a real agent adds to the same call made directly to the same
// backend, and what an agent costs while nothing calls it.
//
// Backends (backends.go) and list services (lists.go) are this process's; agents are processes of the program as it is
// built (process.go). Calls of both ways go out by one plan (drive.go), in windows of several agents at once
// (window.go); what they showed becomes a file and tables (report.go). traced.go runs an agent under the runtime's own
// instruments.
package overhead

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// What a backend tells of a call, in headers that agents pass on.
const (
	headerBackend       = "X-Backend" // its number
	headerArrivedAt     = "X-Came"    // when the request reached its handler, ns since the process's base
	headerFinishedAt    = "X-Left"    // when the handler was done
	headerRequestNumber = "X-Nth"     // which request of its connection it was, from 1
)

// base is the zero of times between backends and callers, which are one process.
var base = time.Now()

func sinceBase() time.Duration { return time.Since(base) }

// Backends are listening sockets of this process, each with an address and port of its own, that answer at once.
type Backends struct {
	Addrs   []string
	server  *http.Server
	serving sync.WaitGroup
}

type connKey struct{}

// backendConn is what is known of a connection.
type backendConn struct {
	backend  int
	requests atomic.Int64
}

type numberedListener struct {
	net.Listener
	backend int
}

type numberedConn struct {
	net.Conn
	backend int
}

func (l numberedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return numberedConn{conn, l.backend}, nil
}

// StartBackends opens n backends, each at an address of 127.0.0.0/8.
func StartBackends(n int) (*Backends, error) {
	backends := &Backends{}
	backends.server = &http.Server{Handler: http.HandlerFunc(serveBackend), ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &backendConn{backend: c.(numberedConn).backend})
		}}
	for i := range n {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.1.%d.%d:0", 1+i/200, 1+i%200))
		if err != nil {
			backends.Close()
			return nil, err
		}
		backends.Addrs = append(backends.Addrs, ln.Addr().String())
		backends.serving.Go(func() { _ = backends.server.Serve(numberedListener{ln, i}) }) // ends with Close
	}
	return backends, nil
}

// Close ends all of them.
func (b *Backends) Close() {
	b.server.Close()
	b.serving.Wait()
}

func serveBackend(w http.ResponseWriter, r *http.Request) {
	arrivedAt := sinceBase()
	conn := r.Context().Value(connKey{}).(*backendConn)
	header := w.Header()
	header.Set(headerBackend, strconv.Itoa(conn.backend))
	header.Set(headerRequestNumber, strconv.FormatInt(conn.requests.Add(1), 10))
	header.Set(headerArrivedAt, strconv.FormatInt(int64(arrivedAt), 10))
	header.Set(headerFinishedAt, strconv.FormatInt(int64(sinceBase()), 10))
	_, _ = io.WriteString(w, "ok") // a caller that has gone needs no answer
}
