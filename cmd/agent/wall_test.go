package main

// Steps of the wall clock.

import (
	"bytes"
	"encoding/json"
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

// startRequest sends the first part of a request on a new connection and returns the connection, which the agent keeps open during
// a shutdown.
func startRequest(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: half\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // enough time for the agent to read the part
	return c
}

// Shutdown uses the monotonic clock, so that no request is lost when the wall clock is stepped.
func TestWallClockStepsDuringShutdownLoseNoRequest(t *testing.T) {
	for _, steps := range [][]time.Duration{{time.Hour}, {-time.Hour}, {2 * time.Second}, {-2 * time.Second},
		{time.Hour, -time.Hour}, {-time.Hour, time.Hour}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			backend := newFakeBackend(t)
			backend.latency = 300 * time.Millisecond
			d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			c := startRequest(t, d.addr)
			d.signal(t, syscall.SIGTERM)
			await(t, "log line about the shutdown", testTimeout, func() bool { return strings.Contains(d.logText(t), "msg=stopping") })
			for _, step := range steps {
				d.applyPlan(t, faultinject.Plan{Wall: step})
			}
			if _, err := fmt.Fprintf(c, "\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			var answer bytes.Buffer
			if _, err := io.Copy(&answer, c); err != nil || !strings.HasPrefix(answer.String(), "HTTP/1.1 200") {
				t.Errorf("error %v, final answer %q, want status 200", err, answer.String())
			}
			if err := d.cmd.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request that no backend responds to gets its final answer before the earliest SIGKILL, even if the wall clock is stepped.
func TestWallClockStepDuringShutdownKeepsItsDeadline(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			backend := newFakeBackend(t)
			backend.latency = time.Hour
			d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			c := startRequest(t, d.addr)
			d.signal(t, syscall.SIGTERM)
			killAt := time.Now().Add(3700 * time.Millisecond) // 0.7 s plus the longest deadline, which counts as 3 s at most
			await(t, "log line about the shutdown", testTimeout, func() bool { return strings.Contains(d.logText(t), "msg=stopping") })
			d.applyPlan(t, faultinject.Plan{Wall: step})
			time.Sleep(time.Second)
			if _, err := fmt.Fprintf(c, "\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(killAt)
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Errorf("no final answer before the earliest SIGKILL: %v", err)
			}
		})
	}
}

// serviceTime and requestInterval are the fixed time that a request takes and the fixed interval between requests. The share of
// requests for a cold backend depends on the measured speed of the other backends; fixed times make the share independent of the
// machine.
const serviceTime, requestInterval = 20 * time.Millisecond, 5 * time.Millisecond

// sendPaced sends n requests at fixed intervals and waits for the final answers. It returns the number of served requests, which may
// be less than n since the agent refuses some requests on a slow machine.
func sendPaced(t *testing.T, addr string, n int) int64 {
	t.Helper()
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	var count atomic.Int64
	var pending sync.WaitGroup
	for range n {
		<-tick.C
		pending.Go(func() {
			switch status, err := get(singleUseClient, addr, "/get/x"); status {
			case http.StatusOK:
				count.Add(1)
			case http.StatusServiceUnavailable:
			default:
				t.Errorf("status %d, error %v, want 200 or 503", status, err)
			}
		})
	}
	pending.Wait()
	if count.Load() < int64(n)/2 {
		t.Errorf("%d of %d requests were served, want at least half", count.Load(), n)
	}
	return count.Load()
}

// checkSlowStart checks that a backend that has just started got at most 30% of the served requests.
func checkSlowStart(t *testing.T, coldRequests, total int64) {
	t.Helper()
	if 10*coldRequests > 3*total {
		t.Errorf("%d of %d requests reached a backend that has just started, want at most 30%%", coldRequests, total)
	}
}

// The agent recognizes a cold backend in the first list even if its wall clock is wrong from the start, since the response from
// discovery contains the time at discovery.
func TestColdBackendIsFoundWithAWrongWallClock(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second} {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			one, two := newFakeBackend(t), newFakeBackend(t)
			one.latency, two.latency = serviceTime, serviceTime
			cold := readyEndpoint("two", two)
			cold.Started = time.Now().UnixMilli()
			d := startAgent(t, newFakeDiscovery(t, readyEndpoint("one", one), cold).addr, faultinject.Plan{Wall: offset}, nil, "")
			awaitReady(t, d.addr)
			served := sendPaced(t, d.addr, 200)
			checkSlowStart(t, two.requestCount.Load(), served)
		})
	}
}

// The agent treats a restarted backend as cold, whether the wall clock of the agent, of the backend or of both was stepped.
func TestColdBackendIsFoundAfterWallClockSteps(t *testing.T) {
	for name, c := range map[string]struct {
		start, step   time.Duration // offsets of the agent's wall clock, at its start and later
		backendOffset time.Duration // offset of the backend's wall clock
	}{
		"agent forward":         {step: time.Hour},
		"agent back":            {step: -time.Hour},
		"agent ahead at start":  {start: time.Hour, step: time.Hour},
		"agent behind at start": {start: -time.Hour, step: -time.Hour},
		"all forward":           {step: time.Hour, backendOffset: time.Hour},
		"all back":              {step: -time.Hour, backendOffset: -time.Hour},
		"all back 2 s":          {step: -2 * time.Second, backendOffset: -2 * time.Second},
		"backend forward":       {backendOffset: time.Hour},
		"backend back":          {backendOffset: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, two := newFakeBackend(t), newFakeBackend(t)
			one.latency, two.latency = serviceTime, serviceTime
			warm, restarted := readyEndpoint("one", one), readyEndpoint("two", two)
			restarted.Started = time.Now().Add(-30 * time.Minute).UnixMilli()
			discovery := newFakeDiscovery(t, warm, restarted)
			d := startAgent(t, discovery.addr, faultinject.Plan{Wall: c.start}, nil, "")
			awaitReady(t, d.addr)
			sendPaced(t, d.addr, 40)
			d.applyPlan(t, faultinject.Plan{Wall: c.step})
			restarted.Started = time.Now().Add(c.backendOffset).UnixMilli()
			discovery.publish(warm, restarted)
			time.Sleep(300 * time.Millisecond) // enough time for the agent to receive the list
			before := two.requestCount.Load()
			served := sendPaced(t, d.addr, 200)
			checkSlowStart(t, two.requestCount.Load()-before, served)
		})
	}
}

// mutableDiscovery is a discovery service that sends its list at the start of each watch and then an empty line every 0.5 s. mute
// stops the empty lines of open watches.
type mutableDiscovery struct {
	addr    string
	watches atomic.Int64
	muted   atomic.Int64 // number of the last watch that sends no more empty lines

	mu   sync.Mutex
	list []endpoint
}

func newMutableDiscovery(t *testing.T, list ...endpoint) *mutableDiscovery {
	t.Helper()
	d := &mutableDiscovery{list: list}
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		n := d.watches.Add(1)
		d.mu.Lock()
		current := d.list
		d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"version": n, "full": true, "servers": current})
		for rc := http.NewResponseController(w); ; {
			_ = rc.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(500 * time.Millisecond):
				if d.muted.Load() < n {
					fmt.Fprintln(w)
				}
			}
		}
	})
	return d
}

// set replaces the list for new watches.
func (d *mutableDiscovery) set(list ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
}

// mute makes all open watches send no more empty lines.
func (d *mutableDiscovery) mute() { d.muted.Store(d.watches.Load()) }

// timeOfRequest sends a request with a deadline in seconds, calls step after 0.5 s, and returns how long the request takes.
func timeOfRequest(t *testing.T, addr, deadline string, step func()) time.Duration {
	t.Helper()
	req, err := http.NewRequest("GET", "http://"+addr+"/get/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Trace-Id", "1")
	req.Header.Set("X-Expires-In", deadline)
	startedAt := time.Now()
	stepped := make(chan struct{})
	time.AfterFunc(500*time.Millisecond, func() { defer close(stepped); step() })
	resp, err := singleUseClient.Do(req)
	<-stepped
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return time.Since(startedAt)
}

// Deadlines, the timeout of a watch that sends nothing and the grace period of draining backends do not depend on the wall clock.
func TestWallClockStepsDoNotChangeTimeouts(t *testing.T) {
	for _, steps := range [][]time.Duration{{time.Hour}, {-time.Hour}, {2 * time.Second}, {-2 * time.Second},
		{time.Hour, -time.Hour}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			delay := schedulingDelay(t)
			hanging, good := newFakeBackend(t), newFakeBackend(t)
			hanging.latency = time.Hour
			discovery := newMutableDiscovery(t, readyEndpoint("s", hanging))
			d := startAgent(t, discovery.addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			step := func() {
				for _, step := range steps {
					d.applyPlan(t, faultinject.Plan{Wall: step})
				}
			}
			if elapsed := timeOfRequest(t, d.addr, "1.5", step); elapsed < 1200*time.Millisecond ||
				elapsed > 1600*time.Millisecond+delay() {
				t.Errorf("a request with a deadline of 1.5 s was answered after %v, want 1.2 s to 1.6 s", elapsed)
			}
			// The watch sends nothing more when the list changes, and the wall clock is stepped before the agent closes the watch.
			discovery.set(newEndpoint("s", hanging.addr, "draining"), readyEndpoint("t", good))
			d.applyPlan(t, faultinject.Plan{})
			discovery.mute()
			mutedAt := time.Now()
			time.Sleep(time.Second)
			step()
			time.Sleep(time.Until(mutedAt.Add(6*time.Second + 400*time.Millisecond)))
			before := hanging.requestCount.Load()
			for range 10 {
				if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
					t.Errorf("status %d, error %v, want 200", status, err)
				}
			}
			if n := hanging.requestCount.Load() - before; n > 0 {
				t.Errorf("%d of 10 requests went to a draining backend 6.4 s after the watch stopped sending, want none", n)
			}
		})
	}
}
