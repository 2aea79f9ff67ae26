package main

// Shutdown before the earliest SIGKILL of the platform.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// shutdownClient sends requests in sequence on one connection while the agent keeps the connection open, and reconnects if the agent
// closes the connection between two requests.
type shutdownClient struct {
	addr string
	stop *atomic.Bool

	answered, unanswered *atomic.Int64
	unansweredIDs        *sync.Map // ids of unanswered requests, none of which may have reached a backend
	t                    *testing.T
}

// run sends requests until stop is set or the agent accepts no more connections.
func (c *shutdownClient) run() {
	var conn net.Conn
	var in *bufio.Reader
	used := false // conn has served a request
	for !c.stop.Load() {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
				return // the agent accepts no more connections
			}
			in, used = bufio.NewReader(conn), false
		}
		keep, err := c.send(conn, in, used)
		if err == nil {
			used = true
		}
		if !keep {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// send sends one request and counts its outcome. It returns whether the connection stays open.
func (c *shutdownClient) send(conn net.Conn, in *bufio.Reader, used bool) (keep bool, err error) {
	sent, id := time.Now(), fmt.Sprintf("%016x", requestCounter.Add(1))
	_, err = fmt.Fprintf(conn, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", id)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(in, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		// A reset, or a close between two requests, means that the agent did not read the request. The client sends the next request on
		// a new connection.
		if !used && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			c.unanswered.Add(1)
			c.t.Logf("no final answer after %v: %v", time.Since(sent), err)
		}
		c.unansweredIDs.Store(id, err)
		return false, err
	}
	c.answered.Add(1)
	return !resp.Close, nil
}

// killedBy reports whether a signal terminated the process. The caller must have called d.cmd.Wait.
func (d *agentProcess) killedBy(s syscall.Signal) bool {
	status, ok := d.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// shutdownCase is a shutdown of an agent under load.
type shutdownCase struct {
	deadline        time.Duration       // of each request
	hang            bool                // the backend never responds
	signals         []syscall.Signal    // sent 60 ms apart
	idleConnections int                 // opened before the signals
	step            time.Duration       // of the wall clock, after the last signal
	failure         faultinject.Failure // injected after the last signal
	repeatSigterm   bool                // SIGTERM is repeated each millisecond; one may kill the process just before its exit, when nothing is open
}

// signal sends the signals, then steps the wall clock and injects the failure. It returns the time of the first SIGTERM.
func (c *shutdownCase) signal(t *testing.T, d *agentProcess) (terminatedAt time.Time) {
	t.Helper()
	for _, s := range c.signals {
		if s == syscall.SIGTERM && terminatedAt.IsZero() {
			terminatedAt = time.Now()
		}
		d.signal(t, s)
		time.Sleep(60 * time.Millisecond)
	}
	if c.step != 0 {
		d.applyPlan(t, faultinject.Plan{Wall: c.step})
	}
	if c.failure.Call != "" {
		d.applyPlan(t, faultinject.Plan{Failures: []faultinject.Failure{c.failure}})
	}
	return terminatedAt
}

// awaitExit waits for the process to exit, and fails the test if it is still running at the earliest SIGKILL.
func (c *shutdownCase) awaitExit(t *testing.T, d *agentProcess, terminatedAt time.Time, delay func() time.Duration) {
	t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- d.cmd.Wait() }()
	if c.repeatSigterm {
		go func() {
			for d.cmd.Process.Signal(syscall.SIGTERM) == nil {
				time.Sleep(time.Millisecond)
			}
		}()
	}
	select {
	case err := <-exited:
		if err != nil && !(c.repeatSigterm && d.killedBy(syscall.SIGTERM)) {
			t.Errorf("the agent exited with %v, want status 0", err)
		}
	case <-time.After(time.Until(terminatedAt.Add(c.deadline + 700*time.Millisecond))):
		select {
		case <-exited:
		case <-time.After(delay()):
			t.Errorf("the agent is still running at the earliest SIGKILL; scheduling delay %v", delay())
		}
	}
}

// run shuts an agent down under load and checks that no request is lost.
func (c *shutdownCase) run(t *testing.T) {
	backend := newFakeBackend(t)
	if backend.latency = 5 * time.Millisecond; c.hang {
		backend.latency = time.Hour
	}
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "",
		`"DeadlineMs":5000`, fmt.Sprintf(`"DeadlineMs":%d`, c.deadline.Milliseconds()),
		`"AimMs":5000`, fmt.Sprintf(`"AimMs":%d`, c.deadline.Milliseconds()), `"sockets":1024`, `"sockets":128`)
	awaitReady(t, d.addr)
	delay := schedulingDelay(t)
	var stop atomic.Bool
	var answered, unanswered atomic.Int64
	var unansweredIDs sync.Map
	var clients sync.WaitGroup
	for range 10 {
		clients.Go((&shutdownClient{d.addr, &stop, &answered, &unanswered, &unansweredIDs, t}).run)
	}
	for range c.idleConnections {
		if conn, err := net.DialTimeout("tcp", d.addr, time.Second); err == nil {
			defer conn.Close()
		}
	}
	time.Sleep(300 * time.Millisecond)
	before := answered.Load()
	c.awaitExit(t, d, c.signal(t, d), delay)
	stop.Store(true)
	_ = d.cmd.Process.Kill()
	clients.Wait()
	if answered.Load() == before || unanswered.Load() > 0 {
		t.Errorf("%d requests answered since the signal, want some; %d unanswered, want none", answered.Load()-before, unanswered.Load())
	}
	unansweredIDs.Range(func(id, err any) bool {
		if _, reached := backend.requestIDs.Load(id); reached {
			t.Errorf("request %v reached the backend, but its connection was closed without a final answer: %v", id, err)
		}
		return true
	})
}

// With short deadlines the platform sends SIGKILL early: 0.7 s plus the longest deadline after SIGTERM. Although clients keep sending
// on every open connection until that time, backends hang and signals are repeated, the agent must answer each request and exit
// before the SIGKILL.
func TestAgentEndsBeforeTheEarliestKill(t *testing.T) {
	sigterm := []syscall.Signal{syscall.SIGTERM}
	for name, c := range map[string]shutdownCase{
		"250 ms":          {deadline: 250 * time.Millisecond, signals: sigterm},
		"250 ms, hanging": {deadline: 250 * time.Millisecond, hang: true, signals: sigterm},
		"500 ms, hanging": {deadline: 500 * time.Millisecond, hang: true, signals: sigterm},
		"SIGTERM three times": {deadline: 250 * time.Millisecond, hang: true,
			signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}},
		"SIGTERM until the end": {deadline: 250 * time.Millisecond, signals: sigterm, repeatSigterm: true},
		"SIGHUP before and after": {deadline: 300 * time.Millisecond, hang: true,
			signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}},
		"100 idle connections": {deadline: 300 * time.Millisecond, signals: sigterm, idleConnections: 100},
		"100 idle connections, hanging": {deadline: 300 * time.Millisecond, hang: true,
			signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, idleConnections: 100},
		"wall clock set back 1 h": {deadline: 250 * time.Millisecond, hang: true, signals: sigterm, step: -time.Hour},
		"accepts fail": {deadline: 250 * time.Millisecond, signals: sigterm,
			failure: faultinject.Failure{Call: faultinject.Accept, Errno: syscall.ENOBUFS, Times: 5}},
		"accepts fail throughout": {deadline: 250 * time.Millisecond, hang: true, signals: sigterm,
			failure: faultinject.Failure{Call: faultinject.Accept, Errno: syscall.ENFILE}},
		"writes fail": {deadline: 250 * time.Millisecond, signals: sigterm,
			failure: faultinject.Failure{Call: faultinject.Write, Errno: syscall.ENOBUFS, Path: "socket:", Times: 3}},
		"reads fail": {deadline: 250 * time.Millisecond, hang: true, signals: sigterm,
			failure: faultinject.Failure{Call: faultinject.Read, Errno: syscall.ENOMEM, Path: "socket:", Times: 3}},
		"socket calls fail": {deadline: 250 * time.Millisecond, signals: sigterm,
			failure: faultinject.Failure{Call: faultinject.Socket, Errno: syscall.ENFILE}},
		"wall clock set ahead 2 s": {deadline: 250 * time.Millisecond, hang: true, signals: sigterm, step: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}
