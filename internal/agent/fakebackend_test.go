package agent

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// fakeBackend is a backend that records the requests that it receives.
type fakeBackend struct {
	addr       string
	requestIDs chan string // id of each complete request
}

// startRawBackend runs a backend that reads each request to its end and writes the bytes that respond returns for request n,
// counted from 0. It closes the connection after an empty or truncated response, and after a response without a length or chunks.
func startRawBackend(t *testing.T, respond func(n int) string) *fakeBackend {
	t.Helper()
	ln := listen(t)
	b := &fakeBackend{addr: ln.Addr().String(), requestIDs: make(chan string, 100)}
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
					b.requestIDs <- req.Header.Get("X-Trace-Id")
					text := respond(index)
					closeAfter := !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked")
					if _, err := io.WriteString(c, text); err != nil || closeAfter || strings.Contains(text, "TRUNCATED") {
						return
					}
				}
			}()
		}
	}()
	return b
}

func (b *fakeBackend) member(id string) discoveryMember {
	return discoveryMember{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// pattern returns n bytes without repetition.
func pattern(n int) string {
	var text strings.Builder
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%d,", i)
	}
	return text.String()[:n]
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// startHTTPBackend runs a backend with an HTTP handler.
func startHTTPBackend(t *testing.T, handle http.HandlerFunc) discoveryMember {
	t.Helper()
	ln := listen(t)
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return discoveryMember{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

// manualBackend is a backend that sends each accepted connection to the test.
type manualBackend struct {
	addr  string
	conns chan net.Conn
}

func startManualBackend(t *testing.T) *manualBackend {
	t.Helper()
	ln := listen(t)
	b := &manualBackend{addr: ln.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			b.conns <- c
		}
	}()
	return b
}

func (b *manualBackend) member(id string) discoveryMember {
	return discoveryMember{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
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
