package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The tests in this file and in rare_backends_test.go force an order of events that is rare: what docs/findings/rare.md
// lists. None waits for chance.

// socketFront runs a front on real sockets with no module behind it. What the front posts comes to the test.
func socketFront(t *testing.T) (f *front, dial func() *net.TCPConn, posts <-chan any) {
	t.Helper()
	cfg := testConfig(t, setup{})
	l, err := newLoop(cfg, newClock(), newBackends(cfg, quiet), quiet)
	if err != nil {
		t.Fatal(err)
	}
	f = newFront(cfg, l, quiet)
	f.server.ReadHeaderTimeout, f.server.IdleTimeout, f.body, f.gap = 2*patience, 2*patience, 2*patience, 2*patience
	ln := listen(t)
	served := make(chan error, 1)
	go func() { served <- f.serve(ln) }()
	t.Cleanup(func() {
		close(l.stopped)
		f.server.Close()
		<-served
		f.readers.Wait()
		if f.conns != 0 || f.open.Load() != 0 || len(f.waiting) != 0 {
			t.Errorf("left: %d connections, %d requests, %d waiting", f.conns, f.open.Load(), len(f.waiting))
		}
	})
	return f, func() *net.TCPConn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*net.TCPConn)
	}, l.events
}

func get(path, more string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n%s\r\n", path, newID(), more)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// post returns the next event that the front posted, which must be of this kind.
func post[T any](t *testing.T, posts <-chan any) T {
	t.Helper()
	e, ok := receive(t, "event", posts).(T)
	if !ok {
		t.Fatalf("another event: %T", e)
	}
	return e
}

func (f *front) nobody() bool { return !f.anyone() }

// A client that has gone is known to have, whatever it sent behind its request, and however it went. A byte behind a
// request ended net/http's watch.
func TestClientThatHasGoneIsNoticed(t *testing.T) {
	for name, behind := range map[string]string{"nothing": "", "a byte": "G", "half a request": "GET /get/x HT",
		"requests": get("/get/x", "") + get("/get/x", ""), "more than is kept": strings.Repeat("x", 2*aheadMost)} {
		for how, leave := range map[string]func(*net.TCPConn) error{
			"closes":      func(c *net.TCPConn) error { return c.Close() },
			"half-closes": func(c *net.TCPConn) error { return c.CloseWrite() },
			"resets":      func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				f, dial, posts := socketFront(t)
				c := dial()
				write(t, c, get("/get/x", ""))
				r := post[arrived](t, posts).request
				write(t, c, behind) // a connection's bytes keep their order: its end comes after
				if err := leave(c); err != nil {
					t.Fatal(err)
				}
				if gone := post[clientGone](t, posts).request; gone != r {
					t.Error("another request's client is said to have gone")
				}
				r.reply <- reply{}
				waitFor(t, "the connection's end", f.nobody)
				if len(posts) != 0 {
					t.Errorf("posted after the client had gone: %T", <-posts)
				}
			})
		}
	}
}

// Of a client that sends several requests at once and goes, none after the first is sent on.
func TestNothingBehindTheFirstIsSentOn(t *testing.T) {
	f, dial, posts := socketFront(t)
	c := dial()
	write(t, c, get("/get/x", "")+get("/get/x", "")+get("/get/x", ""))
	r := post[arrived](t, posts).request
	c.Close()
	post[clientGone](t, posts)
	r.reply <- reply{refused: true}
	waitFor(t, "the connection's end", f.nobody)
	if len(posts) != 0 {
		t.Errorf("posted: %T", <-posts)
	}
}

// A request that comes with its client's end is owed nothing, and is not sent on.
func TestRequestThatComesWithTheEnd(t *testing.T) {
	cfg := testConfig(t, setup{})
	l, err := newLoop(cfg, newClock(), newBackends(cfg, quiet), quiet)
	if err != nil {
		t.Fatal(err)
	}
	f := newFront(cfg, l, quiet)
	near, far := net.Pipe()
	defer near.Close()
	c := newClientConn(far)
	// The order that hurts: the end is known before the server has read the request.
	c.keep([]byte(get("/get/x", "")), nil)
	c.keep(nil, io.EOF)
	ln := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	ln.conns <- c
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(ln) }()
	in := bufio.NewReader(near)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%+v, %v", resp, err)
	}
	if len(l.events) != 0 {
		t.Errorf("posted: %T", <-l.events)
	}
	_, _ = io.Copy(io.Discard, in)
	f.server.Close()
	<-served
}

// What has come of a request keeps its connection from being closed as idle, wherever it lies: unread, read ahead, or with
// the server. A connection that was closed all the same sends nothing on.
func TestCloseAndRequestCross(t *testing.T) {
	t.Run("part read ahead", func(t *testing.T) {
		c := newClientConn(nil)
		if c.Conn = (&net.TCPConn{}); c.reading() {
			t.Error("a request is seen where none is")
		}
		c.keep([]byte("G"), nil)
		if !c.reading() {
			t.Error("what was read ahead is not seen")
		}
		c.until = time.Time{}
		if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil || !c.reading() {
			t.Errorf("%d bytes, %v: what the server has is not seen", n, err)
		}
	})
	t.Run("whole with the server, its answer out, and another with it", func(t *testing.T) {
		c := newClientConn(&net.TCPConn{})
		c.keep([]byte("\r\n"+get("/get/x", "")+get("/get/x", "")), nil)
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			t.Fatal(err)
		}
		if c.rest(); !c.reading() {
			t.Error("the second is not seen")
		}
		if c.rest(); c.reading() {
			t.Error("a third is seen")
		}
	})
	t.Run("closed before its body is whole", func(t *testing.T) {
		f, dial, posts := socketFront(t)
		c := dial()
		write(t, c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 5\r\n\r\nab")
		waitFor(t, "half of the request", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for c := range f.waiting {
				c := c.(*clientConn)
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.skip == 3 // bytes of its body are to come
			}
			return false
		})
		f.closeIdle(0, 0) // leaves it
		f.mu.Lock()
		if len(f.waiting) != 1 {
			t.Error("closed as idle")
		}
		for c := range f.waiting {
			f.waiting[c] = waitingIn{since: time.Now().Add(-leastWait), first: true}
		}
		f.mu.Unlock()
		f.makeRoom()
		waitFor(t, "the connection's end", f.nobody)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode < 400 {
			t.Errorf("it was answered: %d", resp.StatusCode) // an error or a close is owed, as it comes
		}
		if len(posts) != 0 {
			t.Errorf("posted: %T", <-posts)
		}
	})
}

// A last answer is there whole for a client that has sent more behind its request: closed over unread bytes the connection
// would be reset, and the answer go with it.
func TestLastAnswerOutlivesWhatCameBehind(t *testing.T) {
	for name, behind := range map[string]string{"a byte": "G", "a request": get("/get/x", ""), "more than is kept": strings.Repeat("x", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			f, dial, posts := socketFront(t)
			f.stopBy(time.Now().Add(patience)) // each answer ends its connection
			c := dial()
			write(t, c, get("/get/x", ""))
			r := post[arrived](t, posts).request
			write(t, c, behind)
			r.reply <- reply{served: &answer{header: http.Header{}, body: []byte("hello")}}
			waitFor(t, "the answer to be out", f.nobody)
			if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hello" || !resp.Close {
				t.Errorf("%q, %v, closes: %v", body, err, resp.Close)
			}
			if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("then %v, not the end", err)
			}
		})
	}
}

// A connection whose client never closes is closed for good once it has had its time.
func TestLingeringEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		c := newClientConn(&halfPipe{Conn: far})
		done := make(chan struct{})
		go func() { c.receive(); close(done) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		if _, err := c.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		c.Close()
		if <-done; time.Since(at) != lingerMost {
			t.Errorf("closed after %v", time.Since(at))
		}
		if _, err := far.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the socket is open: %v", err)
		}
	})
}

// halfPipe is a pipe of which one direction can be closed.
type halfPipe struct{ net.Conn }

func (halfPipe) CloseWrite() error { return nil }

// A connection on which a request has come whole is not closed to make room, whether the server has seen it or not.
func TestNoRoomAtTheCostOfARequest(t *testing.T) {
	for _, seen := range []bool{false, true} {
		ln := listen(t)
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newClientConn(far)
		received := make(chan struct{})
		go func() { defer close(received); c.receive() }()
		l := newWaitingConns()
		l.waiting[c] = waitingIn{since: time.Now().Add(-time.Hour)} // it rests, longer than any other
		if _, err := io.WriteString(near, "GET /get/x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the request to be read", func() bool { return c.reading() && !unread(c.Conn) })
		if seen {
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		if c.abortUnlessAsked() || c.closeUnlessReading() { // as if it had come after they looked
			t.Errorf("seen by the server %v: closed in the moment in which it came", seen)
		}
		l.makeRoom()
		if !l.claim(c) {
			t.Errorf("seen by the server %v: closed", seen)
		}
		c.Close()
		near.Close()
		<-received
	}
}
