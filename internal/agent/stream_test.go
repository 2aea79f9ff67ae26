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

func sum(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// handled is a backend that serves by handle.
func handled(t *testing.T, handle http.HandlerFunc) member {
	t.Helper()
	ln := listen(t)
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return member{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

// client is a client's connection, in pieces.
type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func connect(t *testing.T, a *running) *client {
	t.Helper()
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(2 * patience)); err != nil {
		t.Fatal(err)
	}
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) answer() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func head(path, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n", path, newID(), more)
}

// inChunks is a body in chunks, with extensions and a trailer.
func inChunks(parts ...string) string {
	text := ""
	for _, p := range parts {
		text += fmt.Sprintf("%x;name=\"a;b\"\r\n%s\r\n", len(p), p)
	}
	return text + "0;last\r\nX-Trailer: 1\r\n\r\n"
}

// A large body goes on to the backend as it comes, unchanged, in whatever form it is written.
func TestLargeBodyPassesThrough(t *testing.T) {
	began := make(chan bool, 10)
	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		text := make([]byte, maxBody)
		_, err := io.ReadFull(hr.Body, text)
		began <- err == nil
		rest, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		fmt.Fprint(w, hr.ContentLength, sum(string(text)+string(rest)))
	})
	a := start(t, testConfig(t, setup{servers: []member{s}}))
	text := pattern(5*maxBody + 7)
	first, rest := text[:2*maxBody], text[2*maxBody:]
	for name, row := range map[string]struct {
		head, first, rest string
		length            int
	}{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", len(text)), first, rest, len(text)},
		"chunks": {"Transfer-Encoding: chunked\r\n", strings.TrimSuffix(inChunks(first), "0;last\r\nX-Trailer: 1\r\n\r\n"), inChunks(rest[:1], rest[1:]), -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := connect(t, a)
			c.send(head("/pay/x", row.head) + row.first)
			if !receive(t, "first part at the backend", began) { // the rest has not been written yet
				t.Fatal("it came short")
			}
			c.send(row.rest)
			resp := c.answer()
			got, err := io.ReadAll(resp.Body)
			if want := fmt.Sprint(row.length, sum(text)); err != nil || resp.StatusCode != 200 || string(got) != want {
				t.Errorf("%d %q %v, want %q", resp.StatusCode, got, err, want)
			}
		})
	}
}

// A large answer goes on with its first bytes, unchanged, in whatever form the backend writes it.
func TestLargeAnswerPassesThrough(t *testing.T) {
	text := pattern(6*maxBody + 3)
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
			a := start(t, testConfig(t, setup{servers: []member{{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}}))
			c := connect(t, a)
			c.send(fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
			resp := c.answer()
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
func TestLargeAnswerThatBreaksOff(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nTRUNCATED" + pattern(70000),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\nTRUNCATED" + pattern(300000),
	} {
		t.Run(name, func(t *testing.T) {
			s := serveRaw(t, func(int) string { return text })
			a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
			x := a.do("GET", "/get/x", "")
			if x.status != 200 || !errors.Is(x.err, io.ErrUnexpectedEOF) {
				t.Errorf("status %d, %v", x.status, x.err)
			}
			waitFor(t, "the connection to be dropped", func() bool {
				a.backends.mu.Lock()
				defer a.backends.mu.Unlock()
				return a.backends.open == 0
			})
			if len(s.seen) != 1 {
				t.Errorf("%d attempts of a request whose answer had begun", len(s.seen))
			}
		})
	}
}

// A client that does not read its large answer holds up nobody else.
func TestSlowReaderHoldsItsOwnConnectionAlone(t *testing.T) {
	text := pattern(8 << 20) // more than any kernel holds on the way
	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == "/get/large" {
			_, _ = io.WriteString(w, text)
			return
		}
		fmt.Fprint(w, "small")
	})
	a := start(t, testConfig(t, setup{servers: []member{s}}))
	slow := connect(t, a)
	slow.send(fmt.Sprintf("GET /get/large HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
	resp := slow.answer()
	for range 50 {
		if x := a.do("GET", "/get/small", ""); x.status != 200 || x.body != "small" {
			t.Fatalf("%+v", x)
		}
	}
	if got, err := io.ReadAll(resp.Body); err != nil || sum(string(got)) != sum(text) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// A body of which a part is gone is never sent again. Where its last byte was not written nothing has
// run, and the client may try again; where a connection failed before, the attempt is made elsewhere.
func TestSpentBodyIsNotSentAgain(t *testing.T) {
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
				_, _ = io.CopyN(io.Discard, hr.Body, 2*maxBody)
				came <- struct{}{}
			}
			c.Close() // with the rest unread: a reset
		}
	}()
	text := pattern(64 * maxBody)
	a := start(t, testConfig(t, setup{servers: []member{{ID: "s", Addr: ln.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}}))
	c := connect(t, a)
	go func() {
		_, _ = io.WriteString(c, head("/put/x", fmt.Sprintf("Content-Length: %d\r\n", len(text)))+text)
	}()
	if resp := c.answer(); resp.StatusCode != 503 {
		t.Errorf("status %d for a body that broke off on its way", resp.StatusCode)
	}
	if len(came) != 1 {
		t.Errorf("%d attempts", len(came))
	}

	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		got, _ := io.ReadAll(hr.Body)
		fmt.Fprint(w, sum(string(got)))
	})
	dead := member{ID: "dead", Addr: deadAddr(t), Zone: "a", Kind: "m1", State: "ready"}
	b := start(t, testConfig(t, setup{servers: []member{dead, s}}))
	for range 10 { // some of these find the dead one first
		if x := b.do("POST", "/pay/x", text[:3*maxBody]); x.status != 200 || x.body != sum(text[:3*maxBody]) {
			t.Errorf("%+v", x)
		}
	}
}

// A client that breaks off within its large body is gone: the backend never gets the last byte, and is
// not blamed.
func TestClientThatBreaksOff(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error, 1)
	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == "/get/x" {
			fmt.Fprint(w, "served")
			return
		}
		_, _ = io.CopyN(io.Discard, hr.Body, maxBody)
		close(began)
		_, err := io.Copy(io.Discard, hr.Body)
		ended <- err
	})
	a := start(t, testConfig(t, setup{servers: []member{s}}))
	c := connect(t, a)
	c.send(head("/pay/x", "Content-Length: 300000\r\n") + pattern(2*maxBody))
	receive(t, "first part", began)
	c.Close()
	if err := receive(t, "end at the backend", ended); err == nil {
		t.Error("the backend took it for whole")
	}
	waitFor(t, "the request to end", func() bool { return a.front.open.Load() == 0 })
	for range 5 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("afterwards: %+v", x)
		}
	}
}

// All forms of a request are taken, and what follows one on its connection.
func TestFormsOfRequests(t *testing.T) {
	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		got, _ := io.ReadAll(hr.Body)
		fmt.Fprint(w, hr.URL, " ", string(got))
	})
	a := start(t, testConfig(t, setup{servers: []member{s}}))
	c := connect(t, a)
	c.send(head("http://app.svc/put/a?b=c", "Content-Length: 3\r\n") + "one" + head("/put/b", "Content-Length: 3\r\n") + "two" +
		head("/put/c", "Transfer-Encoding: chunked\r\n") + inChunks("th", "ree"))
	for _, want := range []string{"/put/a?b=c one", "/put/b two", "/put/c three"} {
		resp := c.answer()
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != want {
			t.Errorf("%q %v, want %q", got, err, want)
		}
	}
	c = connect(t, a)
	for _, part := range strings.SplitAfter(head("/put/d", "Expect: 100-continue\r\nContent-Length: 3\r\n"), "") {
		c.send(part)
	}
	if resp := c.answer(); resp.StatusCode != 100 {
		t.Fatal(resp)
	}
	c.send("ask")
	resp := c.answer()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "/put/d ask" {
		t.Errorf("%q %v", got, err)
	}
}

// A client may take 2 s for a header and send its body at 64 kB a second; one that stops is sent away,
// and the time in which nobody takes what it sends is not its own.
func TestPaceOfBodies(t *testing.T) {
	const total = 5 * maxBody
	upload := func(t *testing.T, f *front, dial func() net.Conn, stop int) (status int, took time.Duration) {
		c := dial()
		began := time.Now()
		go func() {
			text := head("/pay/x", fmt.Sprintf("Content-Length: %d\r\n", total))
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(c, text)
			for sent := 0; sent < stop; sent += 8000 {
				time.Sleep(125 * time.Millisecond)
				_, _ = io.WriteString(c, pattern(min(8000, total-sent)))
			}
		}()
		status, at := endOf(c)
		return status, at.Sub(began)
	}
	synctest.Test(t, func(t *testing.T) {
		f, dial := frontAt(t, testConfig(t, setup{}))
		takeUploads(t, f, 3*time.Second)
		if status, took := upload(t, f, dial, total); status != 503 { // the module's word here: it was taken whole
			t.Errorf("a slow one: status %d after %v", status, took)
		}
		if status, took := upload(t, f, dial, total/2); status != 408 || took > 10*time.Second {
			t.Errorf("one that stopped: status %d after %v", status, took)
		}
	})
}

// takeUploads stands in for the module and an attempt behind a front: it waits for a while, reads a
// large body to its end and refuses.
func takeUploads(t *testing.T, f *front, wait time.Duration) {
	f.loop.ready.Store(true)
	var ends []chan struct{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case e := <-f.loop.events:
				switch e := e.(type) {
				case arrived:
					end := make(chan struct{})
					ends = append(ends, end)
					go func() {
						defer close(end)
						time.Sleep(wait)
						if _, err := io.Copy(io.Discard, e.message.upload.body(e.message.body)); err == nil {
							e.reply <- reply{refused: true}
						}
					}()
				case clientGone:
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
func TestBuffersKeepToTheirBudget(t *testing.T) {
	b := newBuffers(1) // MB
	var free []func()
	for range 1 << 20 / 8 / streamPart {
		buf, give := b.get()
		if len(buf) != streamPart {
			t.Fatalf("%d bytes within the budget", len(buf))
		}
		free = append(free, give)
	}
	if buf, give := b.get(); len(buf) != leastPart {
		t.Errorf("%d bytes past the budget", len(buf))
	} else {
		give()
	}
	free[0]()
	if buf, _ := b.get(); len(buf) != streamPart {
		t.Errorf("%d bytes after one was given back", len(buf))
	}
}

// An attempt's time ends with the first bytes of its answer, and not before.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, inTime := range []bool{true, false} {
			ctx, cancel := context.WithCancelCause(context.Background())
			x := &expiry{cancel: cancel}
			x.arm(time.Now().Add(time.Second))
			if !inTime {
				time.Sleep(2 * time.Second)
			}
			if x.begin() != inTime {
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
func TestLargeAnswerIsReported(t *testing.T) {
	hold := make(chan struct{})
	s := handled(t, func(w http.ResponseWriter, hr *http.Request) {
		_, _ = io.WriteString(w, pattern(2*maxBody))
		_ = http.NewResponseController(w).Flush()
		<-hold
	})
	b := poolFor(t, s.Addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	u, _ := http.NewRequest("GET", "/get/x", nil)
	tr := &try{ctx: ctx, cancel: cancel, id: "s", start: time.Now(), m: &message{method: "GET", url: u.URL, header: http.Header{}}}
	var told time.Duration
	tr.began = func(a *answer, took time.Duration) bool {
		told = took
		go func() {
			_, err := io.CopyN(io.Discard, a.rest.in, 2*maxBody-int64(len(a.body)))
			close(hold)
			if err == nil {
				_, err = io.Copy(io.Discard, a.rest.in)
			}
			a.rest.end(err)
		}()
		return true
	}
	result, a, _ := b.try(tr)
	if result != balancer.OK || a.rest == nil || tr.took != told || tr.took >= time.Since(tr.start) {
		t.Errorf("result %v, told %v, reported %v of %v", result, told, tr.took, time.Since(tr.start))
	}
	if len(b.idle["s"]) != 1 {
		t.Error("the connection is not kept")
	}
}

// A connection on which a header has begun to come is not idle, though nothing lies unread on it.
func TestHalfAHeaderIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := frontAt(t, testConfig(t, setup{}))
		refuseAll(t, f)
		c := dial()
		text := fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID())
		if _, err := io.WriteString(c, text[:20]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(emptyIdle)
		f.waiting.CloseIdle(emptyIdle, emptyIdle)
		if _, err := io.WriteString(c, text[20:]); err != nil {
			t.Fatal(err)
		}
		if status, _ := endOf(c); status != 503 {
			t.Errorf("status %d", status)
		}
	})
}

// goneWriter is the answer's way to a client that takes what comes until it is gone.
type goneWriter struct{ *recorder }

func (goneWriter) SetWriteDeadline(time.Time) error { return nil }
func (goneWriter) Flush()                           {}

// A client that leaves within its large answer ends it; its backend is not blamed.
func TestClientThatLeavesALargeAnswer(t *testing.T) {
	f := newFront(testConfig(t, setup{}), &loop{backends: poolFor(t, "127.0.0.1:1")}, quiet)
	in, out := io.Pipe()
	defer out.Close()
	s := &stream{length: -1, in: in, cancel: func(err error) { in.CloseWithError(err) }, ended: make(chan struct{})}
	ctx, leave := context.WithCancel(context.Background())
	hr, err := http.NewRequestWithContext(ctx, "GET", "/get/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = recover() }() // net/http's: the connection is closed
		f.relay(goneWriter{newRecorder()}, hr, &answer{body: []byte("first"), rest: s})
	}()
	leave()
	receive(t, "end of the answer", s.ended)
	if !errors.Is(s.err, errEnded) {
		t.Errorf("the backend is told to have ended it: %v", s.err)
	}
}
