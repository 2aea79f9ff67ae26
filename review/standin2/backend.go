package main

// The stand-in for a backend: HTTP/1.1 with one request at a time on a connection.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// received is a request that has arrived completely at a backend.
type received struct {
	backend *backend
	header  http.Header
	id      string
	at      time.Time
}

// answer is what a backend does with a request.
type answer struct {
	work time.Duration // before the answer
	body string
}

// backend is a stand-in for one backend.
type backend struct {
	run      *run
	id, zone string
	listener net.Listener
	handle   func(received) answer
}

// startBackend starts a backend.
func (r *run) startBackend(id, zone string, handle func(received) answer) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{run: r, id: id, zone: zone, listener: listener, handle: handle}
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
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/_load" || req.URL.Path == "/ping" {
			report := "TEXT inflight=1, util=0.1, latency_ms=20"
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report); err != nil {
				return
			}
			continue
		}
		out := b.handle(received{b, req.Header, req.Header.Get("X-Trace-Id"), time.Now()})
		time.Sleep(out.work)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(out.body), out.body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}
