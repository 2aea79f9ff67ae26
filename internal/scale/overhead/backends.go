// Package overhead measures the latency that a real agent adds to a call, compared with the same call made directly to
// the same backend, and the resources of an agent without calls.
//
// Backends (backends.go) and list services (listservice.go) run in this process; agents are processes of the built
// program (process.go, usage.go). One plan (drive.go) schedules the calls (call.go) through the agents and directly, in
// windows of several agents at once (window.go, windows.go). The statistics of the calls (summary.go) are saved as a file
// (report.go) and as tables (tables.go). trace.go runs an agent under the Go runtime's tracer and profiler.
package overhead

// The backends, and the clock that they share with the callers.

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

// Headers of a backend's response, which agents forward.
const (
	headerBackend       = "X-Backend" // the backend's number
	headerArrivedAt     = "X-Came"    // time at which the request reached the handler, ns since base
	headerFinishedAt    = "X-Left"    // time at which the handler finished, ns since base
	headerRequestNumber = "X-Nth"     // the request's number on its connection, from 1
)

// base is the origin of all points in time. Backends and callers share it, since they run in one process.
var base = time.Now()

// sinceBase returns the time since base.
func sinceBase() time.Duration { return time.Since(base) }

// Backends are HTTP servers in this process that respond immediately, each at its own address.
type Backends struct {
	Addrs   []string // host:port, indexed by the backend's number
	server  *http.Server
	serving sync.WaitGroup
}

type connKey struct{}

// backendConn is the state of a connection to a backend.
type backendConn struct {
	backend  int
	requests atomic.Int64
}

// numberedListener is a backend's listener. Its connections carry the backend's number.
type numberedListener struct {
	net.Listener
	backend int
}

// numberedConn is a connection to a backend, with the backend's number.
type numberedConn struct {
	net.Conn
	backend int
}

// Accept implements net.Listener.
func (l numberedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return numberedConn{conn, l.backend}, nil
}

// StartBackends starts n backends, each at its own address in 127.0.0.0/8. The caller closes them.
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

// Close stops all backends, and returns when their goroutines have ended.
func (b *Backends) Close() {
	b.server.Close()
	b.serving.Wait()
}

// serveBackend responds with the headers that hold the backend's number, the request's number and the handler's times.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	arrivedAt := sinceBase()
	conn := r.Context().Value(connKey{}).(*backendConn)
	header := w.Header()
	header.Set(headerBackend, strconv.Itoa(conn.backend))
	header.Set(headerRequestNumber, strconv.FormatInt(conn.requests.Add(1), 10))
	header.Set(headerArrivedAt, strconv.FormatInt(int64(arrivedAt), 10))
	header.Set(headerFinishedAt, strconv.FormatInt(int64(sinceBase()), 10))
	_, _ = io.WriteString(w, "ok") // fails only if the caller has disconnected
}
