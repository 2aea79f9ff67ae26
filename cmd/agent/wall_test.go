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

// startRequest sends the first part of a request, so that its connection stays open during a shutdown.
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
	time.Sleep(50 * time.Millisecond) // the agent has read it by then
	return c
}

// A shutdown is timed by the monotonic clock: steps of the wall clock lose no request.
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
			await(t, "the stop", testTimeout, func() bool { return strings.Contains(d.logText(t), "msg=stopping") })
			for _, step := range steps {
				d.applyPlan(t, faultinject.Plan{Wall: step})
			}
			if _, err := fmt.Fprintf(c, "\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			var answer bytes.Buffer
			if _, err := io.Copy(&answer, c); err != nil || !strings.HasPrefix(answer.String(), "HTTP/1.1 200") {
				t.Errorf("%v, %q", err, answer.String())
			}
			if err := d.cmd.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request that no backend answers gets its final answer before the earliest SIGKILL, also if the wall clock is stepped.
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
			kill := time.Now().Add(3700 * time.Millisecond) // the longest deadline counts as 3 s at most
			await(t, "the stop", testTimeout, func() bool { return strings.Contains(d.logText(t), "msg=stopping") })
			d.applyPlan(t, faultinject.Plan{Wall: step})
			time.Sleep(time.Second)
			if _, err := fmt.Fprintf(c, "\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(kill)
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Errorf("no answer before the kill: %v", err)
			}
		})
	}
}

// How much a cold backend may be sent depends on how fast the others are seen to serve. To keep that independent of the
// machine, requests take a fixed time and come at fixed intervals.
const serviceTime, requestInterval = 20 * time.Millisecond, 5 * time.Millisecond

// sendPaced sends requests at fixed intervals and waits for their answers. It returns how many were served: on a slow machine
// some are refused.
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
				t.Errorf("%d, %v", status, err)
			}
		})
	}
	pending.Wait()
	if count.Load() < int64(n)/2 {
		t.Errorf("%d of %d requests were served", count.Load(), n)
	}
	return count.Load()
}

// checkSlowStart checks that a backend that has just started got at most three in ten of the served requests.
func checkSlowStart(t *testing.T, coldRequests, total int64) {
	t.Helper()
	if 10*coldRequests > 3*total {
		t.Errorf("%d of %d requests reach a backend that has just started", coldRequests, total)
	}
}

// A cold backend is recognized in the first list even if the agent's wall clock is wrong from the start, since discovery's
// answer carries its own time.
func TestColdBackendIsFoundWithAWrongWallClock(t *testing.T) {
	for _, off := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			one, two := newFakeBackend(t), newFakeBackend(t)
			one.latency, two.latency = serviceTime, serviceTime
			cold := readyEndpoint("two", two)
			cold.Started = time.Now().UnixMilli()
			d := startAgent(t, newFakeDiscovery(t, readyEndpoint("one", one), cold).addr, faultinject.Plan{Wall: off}, nil, "")
			awaitReady(t, d.addr)
			all := sendPaced(t, d.addr, 200)
			checkSlowStart(t, two.requestCount.Load(), all)
		})
	}
}

// A backend that restarts counts as cold, whichever machine's wall clock was stepped and whatever its start time reads then.
func TestColdBackendIsFoundAfterWallClockSteps(t *testing.T) {
	for name, c := range map[string]struct {
		start, step time.Duration // offsets of the agent's wall clock, at its start and later
		stamp       time.Duration // offset of the backend's wall clock
	}{
		"agent forward":         {step: time.Hour},
		"agent back":            {step: -time.Hour},
		"agent ahead at start":  {start: time.Hour, step: time.Hour},
		"agent behind at start": {start: -time.Hour, step: -time.Hour},
		"all forward":           {step: time.Hour, stamp: time.Hour},
		"all back":              {step: -time.Hour, stamp: -time.Hour},
		"all back 2 s":          {step: -2 * time.Second, stamp: -2 * time.Second},
		"backend forward":       {stamp: time.Hour},
		"backend back":          {stamp: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, two := newFakeBackend(t), newFakeBackend(t)
			one.latency, two.latency = serviceTime, serviceTime
			warm, again := readyEndpoint("one", one), readyEndpoint("two", two)
			again.Started = time.Now().Add(-30 * time.Minute).UnixMilli()
			discovery := newFakeDiscovery(t, warm, again)
			d := startAgent(t, discovery.addr, faultinject.Plan{Wall: c.start}, nil, "")
			awaitReady(t, d.addr)
			sendPaced(t, d.addr, 40)
			d.applyPlan(t, faultinject.Plan{Wall: c.step})
			again.Started = time.Now().Add(c.stamp).UnixMilli()
			discovery.publish(warm, again)
			time.Sleep(300 * time.Millisecond) // the agent has received the list
			before := two.requestCount.Load()
			all := sendPaced(t, d.addr, 200)
			checkSlowStart(t, two.requestCount.Load()-before, all)
		})
	}
}

// mutableDiscovery is a discovery service that sends its list at the start of each watch, and then an empty line every half
// second. Watches can be muted.
type mutableDiscovery struct {
	addr    string
	watches atomic.Int64
	muted   atomic.Int64 // watches up to this one send nothing more

	mu   sync.Mutex
	list []endpoint
}

func newMutableDiscovery(t *testing.T, list ...endpoint) *mutableDiscovery {
	t.Helper()
	d := &mutableDiscovery{list: list}
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		n := d.watches.Add(1)
		d.mu.Lock()
		now := d.list
		d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"version": n, "full": true, "servers": now})
		for flush := http.NewResponseController(w); ; {
			_ = flush.Flush()
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

// set replaces the list for later watches.
func (d *mutableDiscovery) set(list ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
}

// mute has all present watches send nothing more.
func (d *mutableDiscovery) mute() { d.muted.Store(d.watches.Load()) }

// timeOfRequest returns how long a request with a deadline in seconds takes, during which step is called after half a second.
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

// Deadlines, the silence limit of a watch and the grace for drains do not follow the wall clock.
func TestWallClockStepsDoNotChangeTimeouts(t *testing.T) {
	for _, steps := range [][]time.Duration{{time.Hour}, {-time.Hour}, {2 * time.Second}, {-2 * time.Second},
		{time.Hour, -time.Hour}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			late := schedulingDelay(t)
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
				elapsed > 1600*time.Millisecond+late() {
				t.Errorf("a request with 1.5 s was answered after %v", elapsed)
			}
			// The watch falls silent while the list changes, and the wall clock is stepped during that silence.
			discovery.set(newEndpoint("s", hanging.addr, "draining"), readyEndpoint("t", good))
			d.applyPlan(t, faultinject.Plan{})
			discovery.mute()
			silent := time.Now()
			time.Sleep(time.Second)
			step()
			time.Sleep(time.Until(silent.Add(6*time.Second + 400*time.Millisecond)))
			before := hanging.requestCount.Load()
			for range 10 {
				if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
					t.Errorf("%d, %v", status, err)
				}
			}
			if n := hanging.requestCount.Load() - before; n > 0 {
				t.Errorf("%d of 10 requests go to a backend that drains, 6.4 s after the watch fell silent", n)
			}
		})
	}
}
