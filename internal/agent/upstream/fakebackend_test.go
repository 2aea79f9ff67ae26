package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// fakeBackend is a backend that records the requests that reach it.
type fakeBackend struct {
	addr string
	seen chan string // id of each complete request
}

// startRawBackend runs a backend that reads each request to its end and writes the text that respond returns for the
// request's index, byte for byte. It closes the connection after an empty or truncated response, and after one that only
// the end of the connection delimits.
func startRawBackend(t *testing.T, respond func(n int) string) *fakeBackend {
	t.Helper()
	ln := listen(t)
	backend := &fakeBackend{addr: ln.Addr().String(), seen: make(chan string, 100)}
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					mu.Lock()
					index := n
					n++
					mu.Unlock()
					backend.seen <- req.Header.Get("X-Trace-Id")
					text := respond(index)
					ends := !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked")
					if _, err := io.WriteString(c, text); err != nil || ends || strings.Contains(text, "TRUNCATED") {
						return
					}
				}
			}()
		}
	}()
	return backend
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// pattern returns n bytes that do not repeat.
func pattern(n int) string {
	var text strings.Builder
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%d,", i)
	}
	return text.String()[:n]
}

// manualBackend passes each accepted connection to the test.
type manualBackend struct {
	addr  string
	conns chan net.Conn
}

// startManualBackend runs a backend whose connections the test reads and writes.
func startManualBackend(t *testing.T) *manualBackend {
	t.Helper()
	ln := listen(t)
	backend := &manualBackend{addr: ln.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			backend.conns <- c
		}
	}()
	return backend
}

// readRequest reads one request to its end and returns its id.
func readRequest(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	req, err := http.ReadRequest(in)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		t.Fatal(err)
	}
	return req.Header.Get("X-Trace-Id")
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startHTTPBackend runs a backend with an HTTP handler and returns its address.
func startHTTPBackend(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	ln := listen(t)
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}
