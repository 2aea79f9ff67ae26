package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/agent/upstream"
)

// TestLargeResponseIsStreamed: the agent forwards a large response from its first bytes on, unchanged, however its end is
// delimited.
func TestLargeResponseIsStreamed(t *testing.T) {
	text := pattern(6*upstream.MaxBufferedBody + 3)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n", len(text)),
		"chunks": "Transfer-Encoding: chunked\r\n",
		"close":  "",
		"closes": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			ln := listen(t)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				write := func(part string) {
					if name == "chunks" {
						part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
					}
					_, _ = io.WriteString(c, part)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Form: kept\r\n"+head+"\r\n")
				write(text[:100])
				<-more
				write(text[100:])
				if name == "chunks" {
					_, _ = io.WriteString(c, "0\r\nX-Trailer: 1\r\n\r\n")
				}
			}()
			a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{
				{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}}))
			c := dialRawClient(t, a)
			c.send(fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
			resp := c.readResponse()
			got := make([]byte, 100)
			if _, err := io.ReadFull(resp.Body, got); err != nil || resp.StatusCode != 200 || resp.Header.Get("X-Form") != "kept" {
				t.Fatal(resp, err)
			}
			close(more) // the backend sends the rest only now
			rest, err := io.ReadAll(resp.Body)
			if err != nil || string(got)+string(rest) != text {
				t.Errorf("got %d first and %d further bytes and error %v, want the complete response unchanged", len(got), len(rest), err)
			}
		})
	}
}

// TestTruncatedLargeResponseIsDetectable: the client can detect that a streaming response was truncated, and the connection to
// the backend is not reused.
func TestTruncatedLargeResponseIsDetectable(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nTRUNCATED" + pattern(70000),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\nTRUNCATED" + pattern(300000),
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawBackend(t, func(int) string { return text })
			a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
			x := a.do("GET", "/get/x", "")
			if x.status != 200 || !errors.Is(x.err, io.ErrUnexpectedEOF) {
				t.Errorf("status %d, error %v; want status 200 and an unexpected EOF", x.status, x.err)
			}
			eventually(t, "the connection to the backend to be closed", func() bool {
				return a.pool.Stats().Open == 0
			})
			if len(s.requestIDs) != 1 {
				t.Errorf("%d attempts of a request whose response had started, want 1", len(s.requestIDs))
			}
		})
	}
}

// TestSlowReaderDoesNotBlockOtherClients: a client that does not read its large response does not delay other clients.
func TestSlowReaderDoesNotBlockOtherClients(t *testing.T) {
	text := pattern(8 << 20) // more than the kernel buffers of all sockets
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == "/get/large" {
			_, _ = io.WriteString(w, text)
			return
		}
		fmt.Fprint(w, "small")
	})
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s}}))
	slow := dialRawClient(t, a)
	slow.send(fmt.Sprintf("GET /get/large HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
	resp := slow.readResponse()
	for range 50 {
		if x := a.do("GET", "/get/small", ""); x.status != 200 || x.body != "small" {
			t.Fatalf("response %+v, want status 200 and body \"small\"", x)
		}
	}
	if got, err := io.ReadAll(resp.Body); err != nil || digest(string(got)) != digest(text) {
		t.Errorf("got %d bytes and error %v, want the complete large response", len(got), err)
	}
}

// disconnectedWriter is the response writer of a client that reads until it disconnects.
type disconnectedWriter struct{ *statusRecorder }

func (disconnectedWriter) SetWriteDeadline(time.Time) error { return nil }
func (disconnectedWriter) Flush()                           {}

// TestClientDisconnectDuringStreamIsNotBackendFailure: if a client disconnects during a stream, the stream ends and
// does not count as a failure of the backend.
func TestClientDisconnectDuringStreamIsNotBackendFailure(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	f := newFrontend(cfg, &eventLoop{pool: upstream.New(cfg.poolConfig(), discardLog)}, discardLog)
	in, out := io.Pipe()
	defer out.Close()
	s := upstream.NewStream(in, -1, func(err error) { in.CloseWithError(err) })
	ctx, cancel := context.WithCancel(context.Background())
	hr, err := http.NewRequestWithContext(ctx, "GET", "/get/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler, on which net/http closes the connection
		f.streamResponse(disconnectedWriter{newStatusRecorder()}, hr, &upstream.Response{Body: []byte("first"), Stream: s})
	}()
	cancel()
	receive(t, "end of the stream", s.Done())
	if !errors.Is(s.Err(), upstream.ErrRequestEnded) {
		t.Errorf("the stream ended with %v, want ErrRequestEnded", s.Err())
	}
}

// TestEndlessResponsesAreBounded: the agent aborts a response that never ends. The client gets an error by its deadline or, if
// the response had started, a truncated response once the backend has been too slow. The agent uses bounded memory.
func TestEndlessResponsesAreBounded(t *testing.T) {
	for name, row := range map[string]struct {
		start, repeated string // the backend sends start, and then repeated without end
		forwarded       bool   // the agent forwards part of the response
	}{
		"header":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
		"a header line":    {"HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb", false},
		"1xx":              {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"length":           {"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", "b", false},
		"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n", "X-A: b\r\n", true},
		"small length":     {"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", "b", false},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", true},
		"a chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n", "b", true},
		"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "b", false},
		"no length":        {"HTTP/1.1 200 OK\r\n\r\n", "b", true},
		"a stalled header": {"HTTP/1.1 200 OK\r\n", "", false},
		"a stalled chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nb", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startManualBackend(t)
			a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
			testDone := make(chan struct{})
			defer close(testDone)
			go func() {
				for {
					select {
					case c := <-s.conns:
						go func() {
							_, err := http.ReadRequest(bufio.NewReader(c))
							for text := row.start; err == nil; text = row.repeated {
								if _, err = io.WriteString(c, text); err != nil {
									return
								}
								select {
								case <-testDone:
									return
								case <-time.After(20 * time.Millisecond):
								}
							}
						}()
					case <-testDone:
						return
					}
				}
			}()
			x := a.do("GET", "/get/x", "", "X-Expires-In", "0.6")
			broken := x.err != nil && !strings.Contains(x.err.Error(), "deadline") // the test's own deadline
			if row.forwarded && !(broken || x.status >= 500) || !row.forwarded && (x.err != nil || x.status < 500) {
				t.Errorf("response %+v; want a truncated one or a 5xx status if a part was forwarded, otherwise a 5xx status", x)
			}
			eventually(t, "the attempt to end", func() bool {
				stats := a.pool.Stats()
				return stats.Open == stats.Idle
			})
		})
	}
}

// TestStreamingResponseContinuesPastDeadline: the client's deadline applies only to the first bytes of a streaming response. In
// a past fault the agent truncated a response of unknown length at the deadline while the backend was still sending.
func TestStreamingResponseContinuesPastDeadline(t *testing.T) {
	s := startManualBackend(t)
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	c := dialRawClient(t, a)
	c.send(getRequest("/get/x", "X-Expires-In: 0.3\r\n"))
	at := time.Now()
	b := receive(t, "connection", s.conns)
	readRequest(t, bufio.NewReader(b))
	writeText(t, b, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlong\r\n")
	resp := c.readResponse()
	time.Sleep(time.Until(at.Add(600 * time.Millisecond))) // the deadline has passed, and the stream continues
	writeText(t, b, "7\r\n answer\r\n0\r\n\r\n")
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || err != nil || string(body) != "long answer" {
		t.Errorf("status %d, body %q, error %v; want 200 and \"long answer\"", resp.StatusCode, body, err)
	}
}
