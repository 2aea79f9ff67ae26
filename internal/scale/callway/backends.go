// Package callway measures what a call's way through a real agent adds to the same call made directly to the same
// backend, and what an agent costs while nothing calls it.
//
// Backends (backends.go) and list services (lists.go) are this process's; agents are processes of the program as it is
// built (process.go). Calls of both ways go out by one plan (drive.go), in windows of several agents at once
// (window.go); what they showed becomes a file and tables (report.go). traced.go runs an agent under the runtime's own
// instruments.
package callway

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
	headBackend = "X-Backend" // its number
	headCame    = "X-Came"    // when the request reached its handler, ns since the process's base
	headLeft    = "X-Left"    // when the handler was done
	headNth     = "X-Nth"     // which request of its connection it was, from 1
)

// base is the zero of times between backends and callers, which are one process.
var base = time.Now()

func since() time.Duration { return time.Since(base) }

// Backends are listening sockets of this process, each with an address and port of its own, that answer at once.
type Backends struct {
	Addrs   []string
	server  *http.Server
	serving sync.WaitGroup
}

type connKey struct{}

// backendConn is what is known of a connection.
type backendConn struct {
	backend int
	calls   atomic.Int64
}

type numbered struct {
	net.Listener
	n int
}

type numberedConn struct {
	net.Conn
	n int
}

func (l numbered) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return numberedConn{c, l.n}, nil
}

// Listen opens n backends, each at an address of 127.0.0.0/8.
func Listen(n int) (*Backends, error) {
	b := &Backends{}
	b.server = &http.Server{Handler: http.HandlerFunc(serve), ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &backendConn{backend: c.(numberedConn).n})
		}}
	for i := range n {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.1.%d.%d:0", 1+i/200, 1+i%200))
		if err != nil {
			b.Close()
			return nil, err
		}
		b.Addrs = append(b.Addrs, ln.Addr().String())
		b.serving.Go(func() { _ = b.server.Serve(numbered{ln, i}) }) // ends with Close
	}
	return b, nil
}

// Close ends all of them.
func (b *Backends) Close() {
	b.server.Close()
	b.serving.Wait()
}

func serve(w http.ResponseWriter, r *http.Request) {
	came := since()
	c := r.Context().Value(connKey{}).(*backendConn)
	h := w.Header()
	h.Set(headBackend, strconv.Itoa(c.backend))
	h.Set(headNth, strconv.FormatInt(c.calls.Add(1), 10))
	h.Set(headCame, strconv.FormatInt(int64(came), 10))
	h.Set(headLeft, strconv.FormatInt(int64(since()), 10))
	_, _ = io.WriteString(w, "ok") // a caller that has gone needs no answer
}
