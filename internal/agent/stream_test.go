package agent

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// pattern is n bytes, none like those before.
func pattern(n int) string {
	var text strings.Builder
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%d,", i)
	}
	return text.String()[:n]
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// startHTTPBackend is a backend that serves by handle.
func startHTTPBackend(t *testing.T, handle http.HandlerFunc) discoveryMember {
	t.Helper()
	ln := listen(t)
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return discoveryMember{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

// rawClient is a client's connection, in pieces.
type rawClient struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialRawClient(t *testing.T, a *testAgent) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(2 * testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawClient{t, c, bufio.NewReader(c)}
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *rawClient) readResponse() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func postHeader(path, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n", path, newID(), more)
}

// chunkedBody is a body in chunks, with extensions and a trailer.
func chunkedBody(parts ...string) string {
	text := ""
	for _, p := range parts {
		text += fmt.Sprintf("%x;name=\"a;b\"\r\n%s\r\n", len(p), p)
	}
	return text + "0;last\r\nX-Trailer: 1\r\n\r\n"
}

// A large body goes on to the backend as it comes, unchanged, in whatever form it is written.
func TestLargeBodyIsStreamed(t *testing.T) {
	began := make(chan bool, 10)
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		text := make([]byte, maxBufferedBody)
		_, err := io.ReadFull(hr.Body, text)
		began <- err == nil
		rest, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		fmt.Fprint(w, hr.ContentLength, digest(string(text)+string(rest)))
	})
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s}}))
	text := pattern(5*maxBufferedBody + 7)
	first, rest := text[:2*maxBufferedBody], text[2*maxBufferedBody:]
	for name, row := range map[string]struct {
		head, first, rest string
		length            int
	}{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", len(text)), first, rest, len(text)},
		"chunks": {"Transfer-Encoding: chunked\r\n", strings.TrimSuffix(chunkedBody(first), "0;last\r\nX-Trailer: 1\r\n\r\n"), chunkedBody(rest[:1], rest[1:]), -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := dialRawClient(t, a)
			c.send(postHeader("/pay/x", row.head) + row.first)
			if !receive(t, "first part at the backend", began) { // the rest has not been written yet
				t.Fatal("it came short")
			}
			c.send(row.rest)
			resp := c.readResponse()
			got, err := io.ReadAll(resp.Body)
			if want := fmt.Sprint(row.length, digest(text)); err != nil || resp.StatusCode != 200 || string(got) != want {
				t.Errorf("%d %q %v, want %q", resp.StatusCode, got, err, want)
			}
		})
	}
}

// A large answer goes on with its first bytes, unchanged, in whatever form the backend writes it.
func TestLargeResponseIsStreamed(t *testing.T) {
	text := pattern(6*maxBufferedBody + 3)
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
			a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}}))
			c := dialRawClient(t, a)
			c.send(fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
			resp := c.readResponse()
			got := make([]byte, 100)
			if _, err := io.ReadFull(resp.Body, got); err != nil || resp.StatusCode != 200 || resp.Header.Get("X-Form") != "kept" {
				t.Fatal(resp, err)
			}
			close(more) // only now does the backend go on
			rest, err := io.ReadAll(resp.Body)
			if err != nil || string(got)+string(rest) != text {
				t.Errorf("%d bytes and %d, %v", len(got), len(rest), err)
			}
		})
	}
}

// An answer that breaks off after it has begun ends so that the client can tell, and the backend's
// connection is not used again.
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
				t.Errorf("status %d, %v", x.status, x.err)
			}
			eventually(t, "the connection to be dropped", func() bool {
				a.pool.mu.Lock()
				defer a.pool.mu.Unlock()
				return a.pool.openConns == 0
			})
			if len(s.seen) != 1 {
				t.Errorf("%d attempts of a request whose answer had begun", len(s.seen))
			}
		})
	}
}

// A client that does not read its large answer holds up nobody else.
func TestSlowReaderBlocksNoOtherClient(t *testing.T) {
	text := pattern(8 << 20) // more than any kernel holds on the way
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
			t.Fatalf("%+v", x)
		}
	}
	if got, err := io.ReadAll(resp.Body); err != nil || digest(string(got)) != digest(text) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// A body of which a part is gone is never sent again. Where its last byte was not written nothing has
// run, and the client may try again; where a connection failed before, the attempt is made elsewhere.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	came := make(chan struct{}, 10)
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			hr, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.CopyN(io.Discard, hr.Body, 2*maxBufferedBody)
				came <- struct{}{}
			}
			c.Close() // with the rest unread: a reset
		}
	}()
	text := pattern(64 * maxBufferedBody)
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}}))
	c := dialRawClient(t, a)
	go func() {
		_, _ = io.WriteString(c, postHeader("/put/x", fmt.Sprintf("Content-Length: %d\r\n", len(text)))+text)
	}()
	if resp := c.readResponse(); resp.StatusCode != 503 {
		t.Errorf("status %d for a body that broke off on its way", resp.StatusCode)
	}
	if len(came) != 1 {
		t.Errorf("%d attempts", len(came))
	}

	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		got, _ := io.ReadAll(hr.Body)
		fmt.Fprint(w, digest(string(got)))
	})
	dead := discoveryMember{ID: "dead", Addr: unusedAddr(t), Zone: "a", Kind: "m1", State: "ready"}
	b := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{dead, s}}))
	for range 10 { // some of these find the dead one first
		if x := b.do("POST", "/pay/x", text[:3*maxBufferedBody]); x.status != 200 || x.body != digest(text[:3*maxBufferedBody]) {
			t.Errorf("%+v", x)
		}
	}
}

// A client that breaks off within its large body is gone: the backend never gets the last byte, and is
// not blamed.
func TestClientAbortDuringUploadIsNotBackendsFault(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error, 1)
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == "/get/x" {
			fmt.Fprint(w, "served")
			return
		}
		_, _ = io.CopyN(io.Discard, hr.Body, maxBufferedBody)
		close(began)
		_, err := io.Copy(io.Discard, hr.Body)
		ended <- err
	})
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s}}))
	c := dialRawClient(t, a)
	c.send(postHeader("/pay/x", "Content-Length: 300000\r\n") + pattern(2*maxBufferedBody))
	receive(t, "first part", began)
	c.Close()
	if err := receive(t, "end at the backend", ended); err == nil {
		t.Error("the backend took it for whole")
	}
	eventually(t, "the request to end", func() bool { return a.frontend.openRequests.Load() == 0 })
	for range 5 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("afterwards: %+v", x)
		}
	}
}

// All forms of a request are taken, and what follows one on its connection.
func TestPipelinedAndChunkedRequestsAreServed(t *testing.T) {
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		got, _ := io.ReadAll(hr.Body)
		fmt.Fprint(w, hr.URL, " ", string(got))
	})
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s}}))
	c := dialRawClient(t, a)
	c.send(postHeader("http://app.svc/put/a?b=c", "Content-Length: 3\r\n") + "one" + postHeader("/put/b", "Content-Length: 3\r\n") + "two" +
		postHeader("/put/c", "Transfer-Encoding: chunked\r\n") + chunkedBody("th", "ree"))
	for _, want := range []string{"/put/a?b=c one", "/put/b two", "/put/c three"} {
		resp := c.readResponse()
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != want {
			t.Errorf("%q %v, want %q", got, err, want)
		}
	}
	c = dialRawClient(t, a)
	for _, part := range strings.SplitAfter(postHeader("/put/d", "Expect: 100-continue\r\nContent-Length: 3\r\n"), "") {
		c.send(part)
	}
	if resp := c.readResponse(); resp.StatusCode != 100 {
		t.Fatal(resp)
	}
	c.send("ask")
	resp := c.readResponse()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "/put/d ask" {
		t.Errorf("%q %v", got, err)
	}
}

// A client may take 2 s for a header and send its body at 64 kB a second; one that stops is sent away,
// and the time in which nobody takes what it sends is not its own.
func TestSlowUploadIsServedAndStalledOneEnds(t *testing.T) {
	const total = 5 * maxBufferedBody
	upload := func(t *testing.T, f *frontend, dial func() net.Conn, stop int) (status int, took time.Duration) {
		c := dial()
		began := time.Now()
		go func() {
			text := postHeader("/pay/x", fmt.Sprintf("Content-Length: %d\r\n", total))
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(c, text)
			for sent := 0; sent < stop; sent += 8000 {
				time.Sleep(125 * time.Millisecond)
				_, _ = io.WriteString(c, pattern(min(8000, total-sent)))
			}
		}()
		status, at := readUntilClosed(c)
		return status, at.Sub(began)
	}
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectUploads(t, f, 3*time.Second)
		if status, took := upload(t, f, dial, total); status != 503 { // the module's word here: it was taken whole
			t.Errorf("a slow one: status %d after %v", status, took)
		}
		if status, took := upload(t, f, dial, total/2); status != 408 || took > 10*time.Second {
			t.Errorf("one that stopped: status %d after %v", status, took)
		}
	})
}

// rejectUploads stands in for the module and an attempt behind a front: it waits for a while, reads a
// large body to its end and refuses.
func rejectUploads(t *testing.T, f *frontend, wait time.Duration) {
	f.loop.ready.Store(true)
	var ends []chan struct{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case e := <-f.loop.events:
				switch e := e.(type) {
				case requestArrived:
					end := make(chan struct{})
					ends = append(ends, end)
					go func() {
						defer close(end)
						time.Sleep(wait)
						if _, err := io.Copy(io.Discard, e.upstream.upload.newBody(e.upstream.body)); err == nil {
							e.reply <- reply{rejected: true}
						}
					}()
				case clientDisconnected:
					e.reply <- reply{}
				}
			case <-f.loop.stopped:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(f.loop.stopped)
		<-done
		for _, end := range ends {
			<-end
		}
	})
}

// Past the budget streams go on in small buffers, and what is given back counts again.
func TestBufferSizeFollowsBudget(t *testing.T) {
	b := newBufferBudget(1) // MB
	var free []func()
	for range 1 << 20 / 8 / streamBufferSize {
		buf, give := b.get()
		if len(buf) != streamBufferSize {
			t.Fatalf("%d bytes within the budget", len(buf))
		}
		free = append(free, give)
	}
	if buf, give := b.get(); len(buf) != minBufferSize {
		t.Errorf("%d bytes past the budget", len(buf))
	} else {
		give()
	}
	free[0]()
	if buf, _ := b.get(); len(buf) != streamBufferSize {
		t.Errorf("%d bytes after one was given back", len(buf))
	}
}

// An attempt's time ends with the first bytes of its answer, and not before.
func TestAttemptTimerStopsOnceResponseStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, inTime := range []bool{true, false} {
			ctx, cancel := context.WithCancelCause(context.Background())
			x := &attemptTimer{cancel: cancel}
			x.arm(time.Now().Add(time.Second))
			if !inTime {
				time.Sleep(2 * time.Second)
			}
			if x.disarm() != inTime {
				t.Errorf("in time: %v", !inTime)
			}
			time.Sleep(2 * time.Second)
			if ended := errors.Is(context.Cause(ctx), errTimedOut); ended == inTime {
				t.Errorf("in time %v: ended %v", inTime, ended)
			}
			cancel(nil)
		}
	})
}

// What an attempt with a large answer is reported as: its latency is that of the first bytes.
func TestLargeResponseLatencyIsFirstByte(t *testing.T) {
	hold := make(chan struct{})
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.WriteString(w, pattern(2*maxBufferedBody))
		_ = http.NewResponseController(w).Flush()
		<-hold
	})
	b := poolWithBackend(t, s.Addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	u, _ := http.NewRequest("GET", "/get/x", nil)
	tr := &attempt{ctx: ctx, cancel: cancel, backendID: "s", start: time.Now(), request: &upstreamRequest{method: "GET", url: u.URL, header: http.Header{}}}
	var told time.Duration
	tr.onStreamStart = func(a *response, took time.Duration) bool {
		told = took
		go func() {
			_, err := io.CopyN(io.Discard, a.stream.source, 2*maxBufferedBody-int64(len(a.body)))
			close(hold)
			if err == nil {
				_, err = io.Copy(io.Discard, a.stream.source)
			}
			a.stream.finish(err)
		}()
		return true
	}
	result, a, _ := b.execute(tr)
	if result != balancer.OK || a.stream == nil || tr.latency != told || tr.latency >= time.Since(tr.start) {
		t.Errorf("result %v, told %v, reported %v of %v", result, told, tr.latency, time.Since(tr.start))
	}
	if len(b.idle["s"]) != 1 {
		t.Error("the connection is not kept")
	}
}

// A connection on which a header has begun to come is not idle, though nothing lies unread on it.
func TestPartialHeaderIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectAll(t, f)
		c := dial()
		text := fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID())
		if _, err := io.WriteString(c, text[:20]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(drainIdleTimeout)
		f.idleConns.CloseIdle(drainIdleTimeout, drainIdleTimeout)
		if _, err := io.WriteString(c, text[20:]); err != nil {
			t.Fatal(err)
		}
		if status, _ := readUntilClosed(c); status != 503 {
			t.Errorf("status %d", status)
		}
	})
}

// disconnectedWriter is the answer's way to a client that takes what comes until it is gone.
type disconnectedWriter struct{ *statusRecorder }

func (disconnectedWriter) SetWriteDeadline(time.Time) error { return nil }
func (disconnectedWriter) Flush()                           {}

// A client that leaves within its large answer ends it; its backend is not blamed.
func TestClientDisconnectDuringStreamIsNotBackendsFault(t *testing.T) {
	f := newFrontend(testConfig(t, testSetup{}), &eventLoop{pool: poolWithBackend(t, "127.0.0.1:1")}, discardLog)
	in, out := io.Pipe()
	defer out.Close()
	s := &responseStream{length: -1, source: in, cancel: func(err error) { in.CloseWithError(err) }, done: make(chan struct{})}
	ctx, leave := context.WithCancel(context.Background())
	hr, err := http.NewRequestWithContext(ctx, "GET", "/get/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = recover() }() // net/http's: the connection is closed
		f.streamResponse(disconnectedWriter{newStatusRecorder()}, hr, &response{body: []byte("first"), stream: s})
	}()
	leave()
	receive(t, "end of the answer", s.done)
	if !errors.Is(s.err, errRequestEnded) {
		t.Errorf("the backend is told to have ended it: %v", s.err)
	}
}
