package main

// The stand-in for a backend: HTTP/1.1 with one request at a time on a connection.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// received is a request that has arrived completely at a backend.
type received struct {
	backend *backend
	path    string
	header  http.Header
	id      string
	body    []byte
	at      time.Time
	number  int // at this backend, from 1
}

// answer is what a backend does with a request.
type answer struct {
	work   time.Duration // before the answer
	body   string
	again  time.Duration // if above 0, the same answer is sent once more so long after the first
	silent bool          // no answer: the connection stays open
}

// backend is a stand-in for one backend.
type backend struct {
	run      *run
	id, zone string
	listener net.Listener
	handle   func(received) answer

	mu     sync.Mutex
	served int
	conns  map[net.Conn]bool
}

// startBackend starts a backend.
func (r *run) startBackend(id, zone string, handle func(received) answer) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{run: r, id: id, zone: zone, listener: listener, handle: handle, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// addr returns the address of the backend.
func (b *backend) addr() string { return b.listener.Addr().String() }

// serve serves one connection.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/_load" || req.URL.Path == "/ping" {
			report := "TEXT inflight=1, util=0.1, latency_ms=20"
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report); err != nil {
				return
			}
			continue
		}
		b.mu.Lock()
		b.served++
		in := received{b, req.URL.Path, req.Header, req.Header.Get("X-Trace-Id"), body, time.Now(), b.served}
		b.mu.Unlock()
		out := b.handle(in)
		time.Sleep(out.work)
		if out.silent {
			_, _ = io.Copy(io.Discard, reader) // until the agent closes
			return
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(out.body), out.body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if out.again > 0 {
			time.AfterFunc(out.again, func() {
				_, err := io.WriteString(c, text)
				b.run.note("backend %s sent its answer to %s once more, %v later (error %v)", b.id, in.id, out.again, err)
			})
		}
	}
}
