package main

// Clients that disconnect, stall or set short deadlines, and failing calls on their connections.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// connErrnos are errors that reads and writes of a TCP connection may return while the peer still has it open.
var connErrnos = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.EINTR, syscall.EIO}

// An accepted request is answered although reads from its connection, or the write of its final answer, fail transiently.
func TestTransientConnectionErrorsLoseNoRequest(t *testing.T) {
	backend := newFakeBackend(t)
	backend.latency = 100 * time.Millisecond
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	for _, errno := range connErrnos {
		for _, call := range []string{faultinject.Read, faultinject.Write} {
			for _, times := range []int{1, 3} {
				name := fmt.Sprintf("%d x %s %v", times, call, errno)
				c, err := net.Dial("tcp", d.addr)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				before := backend.requestCount.Load()
				if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Trace-Id: %016x\r\n\r\n",
					requestCounter.Add(1)); err != nil {
					t.Fatal(err)
				}
				await(t, "the attempt at the backend", testTimeout, func() bool { return backend.requestCount.Load() > before })
				d.applyPlan(t, failing(faultinject.Failure{Call: call, Path: "client:" + c.LocalAddr().String(),
					Errno: errno, Times: times}))
				if call == faultinject.Read { // a byte for the agent to read
					if _, err := io.WriteString(c, "G"); err != nil {
						t.Fatal(err)
					}
				}
				answer, err := io.ReadAll(c)
				c.Close()
				if !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
					t.Errorf("%s: error %v, final answer %q, want status 200", name, err, answer)
				}
			}
		}
	}
}

// The agent starts no attempt for a request with a large body if the client disconnected more than 0.1 s ago, even if part of the
// body is still unread.
func TestNoAttemptForAnUploadOfADisconnectedClient(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := freeAddr(t) // refuses connections, so that the request waits for a retry
			d := startAgent(t, newFakeDiscovery(t, newEndpoint("s", backend, "ready")).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			var attempts atomic.Int64
			delay := schedulingDelay(t)
			for round := range 10 {
				conn, err := net.Dial("tcp", d.addr)
				if err != nil {
					t.Fatal(err)
				}
				c := conn.(*net.TCPConn)
				head := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\nX-Trace-Id: %016x\r\n\r\n",
					requestCounter.Add(1))
				if _, err := io.Copy(c, io.MultiReader(strings.NewReader(head), bytes.NewReader(make([]byte, 150_000)))); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
				disconnect(c)
				time.Sleep(100*time.Millisecond + delay())
				ln, err := net.Listen("tcp", backend)
				if err != nil {
					t.Fatalf("round %d: %v", round, err)
				}
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { attempts.Add(1) })}
				go func() { _ = server.Serve(ln) }()
				time.Sleep(600 * time.Millisecond)
				server.Close()
			}
			if n := attempts.Load(); n > 0 {
				t.Errorf("%d attempts started for 10 requests after the client disconnected, want none", n)
			}
		})
	}
}

// If a client stops sending in the middle of a request and keeps the connection open, the agent sends an error or closes the
// connection within 3 s. The time starts with the connection, or with the first byte of the request if the connection has served
// another request before.
func TestIncompleteRequestTimesOut(t *testing.T) {
	backend := newFakeBackend(t)
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	complete := "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("x", 30)
	chunked := "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n"
	large := "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 3\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000)
	delay := schedulingDelay(t)
	var clients sync.WaitGroup
	for _, text := range []string{complete, chunked, large} {
		for cut := 1; cut < len(text); cut += max(5, len(text)/15) {
			for _, second := range []bool{false, true} {
				clients.Go(func() {
					if elapsed, err := sendPartOfRequest(d.addr, text[:cut], second); elapsed > 3*time.Second+delay() || err != nil {
						t.Errorf("%q of %d bytes, second request %v: %v until an error or a close, want at most 3 s; error %v", text[:min(cut, 60)], len(text), second, elapsed, err)
					}
				})
			}
		}
	}
	clients.Wait()
}

// sendPartOfRequest sends the first part of a request on a new connection, as its first or second request. It returns the time
// until the agent answers or closes the connection.
func sendPartOfRequest(addr, part string, second bool) (time.Duration, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(c)
	if second {
		if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\n\r\n", requestCounter.Add(1)); err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return 0, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0, err
		}
		time.Sleep(time.Second) // leaves the connection idle
	}
	startedAt := time.Now()
	if _, err := io.WriteString(c, part); err != nil {
		return 0, err
	}
	_, _ = in.ReadByte() // an error means that the agent closed the connection
	return time.Since(startedAt), nil
}

// A client that sends a small body or a header one byte at a time gets an error, or its connection is closed, within 3 s.
func TestSlowRequestTimesOut(t *testing.T) {
	backend := newFakeBackend(t)
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	delay := schedulingDelay(t)
	var clients sync.WaitGroup
	for _, start := range []string{"POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 30\r\n\r\n",
		"GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond} {
			clients.Go(func() {
				c, err := net.Dial("tcp", d.addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				startedAt := time.Now()
				_ = c.SetDeadline(startedAt.Add(testTimeout))
				go func() {
					for _, err := io.WriteString(c, start); err == nil; _, err = io.WriteString(c, "1") {
						time.Sleep(interval)
					}
				}()
				_, _ = c.Read(make([]byte, 1)) // an error means that the agent closed the connection
				if elapsed := time.Since(startedAt); elapsed > 3*time.Second+delay() {
					t.Errorf("%q, one byte every %v: %v until an error or a close, want at most 3 s", start[:10], interval, elapsed)
				}
			})
		}
	}
	clients.Wait()
}

// A request with a very short deadline gets its final answer within 100 ms of the deadline, even if its backend never responds.
func TestRequestWithShortDeadlineIsAnsweredInTime(t *testing.T) {
	unresponsive := newFakeBackend(t)
	unresponsive.latency = time.Hour
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", unresponsive)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	delay := schedulingDelay(t)
	for _, deadline := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond,
		12 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		for range 5 {
			req, err := http.NewRequest("GET", "http://"+d.addr+"/get/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Trace-Id", fmt.Sprintf("%016x", requestCounter.Add(1)))
			req.Header.Set("X-Expires-In", fmt.Sprintf("%.4f", deadline.Seconds()))
			startedAt := time.Now()
			resp, err := singleUseClient.Do(req)
			if err != nil {
				t.Fatalf("deadline %v: %v", deadline, err)
			}
			resp.Body.Close()
			if elapsed := time.Since(startedAt); resp.StatusCode == 200 || elapsed > deadline+100*time.Millisecond+delay() {
				t.Errorf("deadline %v: status %d after %v, want an error status at most 100 ms after the deadline", deadline, resp.StatusCode, elapsed)
			}
		}
	}
}
