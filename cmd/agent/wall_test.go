package main

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

// tell has another list hold.
func (c *catalog) tell(list ...listed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now, c.count = list, c.count+1
	close(c.told)
	c.told = make(chan struct{})
}

// halfRequest sends the first part of a request, so that the connection stays open through a shutdown for the rest.
func halfRequest(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: half\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // it is read
	return c
}

// A shutdown's times are spans of real time: no step of the wall clock, nor two, keeps a request from its answer.
func TestWallClockStepsDuringAShutdown(t *testing.T) {
	for _, steps := range [][]time.Duration{{time.Hour}, {-time.Hour}, {2 * time.Second}, {-2 * time.Second}, {time.Hour, -time.Hour}, {-time.Hour, time.Hour}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			backend := newStandIn(t)
			backend.took = 300 * time.Millisecond
			d := deploy(t, newCatalog(t, ready("s", backend)).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			c := halfRequest(t, d.addr)
			d.signal(t, syscall.SIGTERM)
			await(t, "the stop", patience, func() bool { return strings.Contains(d.lines(t), "msg=stopping") })
			for _, step := range steps {
				d.apply(t, faultinject.Plan{Wall: step})
			}
			if _, err := fmt.Fprintf(c, "\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(patience))
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

// A request that no backend answers has its final answer before the earliest kill, also where the wall clock is stepped back.
func TestWallClockStepsBackWhileBackendsHang(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			backend := newStandIn(t)
			backend.took = time.Hour
			d := deploy(t, newCatalog(t, ready("s", backend)).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			c := halfRequest(t, d.addr)
			d.signal(t, syscall.SIGTERM)
			kill := time.Now().Add(3700 * time.Millisecond) // the longest deadline counts as 3 s at most
			await(t, "the stop", patience, func() bool { return strings.Contains(d.lines(t), "msg=stopping") })
			d.apply(t, faultinject.Plan{Wall: step})
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

// What a cold backend may be sent hangs on how fast the others are seen to serve. That is not to be the machine's speed: they take
// this long for each request, and requests come this far apart.
const served, apart = 20 * time.Millisecond, 5 * time.Millisecond

// paced sends requests and waits for their answers. It reports how many were served: on a machine that is late some find no room.
func paced(t *testing.T, addr string, n int) int64 {
	t.Helper()
	tick := time.NewTicker(apart)
	defer tick.Stop()
	var count atomic.Int64
	var open sync.WaitGroup
	for range n {
		<-tick.C
		open.Go(func() {
			switch status, err := request(alone, addr, "/get/x"); status {
			case http.StatusOK:
				count.Add(1)
			case http.StatusServiceUnavailable:
			default:
				t.Errorf("%d, %v", status, err)
			}
		})
	}
	open.Wait()
	if count.Load() < int64(n)/2 {
		t.Errorf("%d of %d requests were served", count.Load(), n)
	}
	return count.Load()
}

// spared holds that a backend that has just started got less than three in ten of what was served.
func spared(t *testing.T, n, all int64) {
	t.Helper()
	if 10*n > 3*all {
		t.Errorf("%d of %d requests reach a backend that has just started", n, all)
	}
}

// A cold backend is told from a warm one in the first list too, where the agent's wall clock is off from the start: discovery's
// answer shows its own.
func TestWallClockOffAtTheStart(t *testing.T) {
	for _, off := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			one, two := newStandIn(t), newStandIn(t)
			one.took, two.took = served, served
			cold := ready("two", two)
			cold.Started = time.Now().UnixMilli()
			d := deploy(t, newCatalog(t, ready("one", one), cold).addr, faultinject.Plan{Wall: off}, nil, "")
			awaitReady(t, d.addr)
			all := paced(t, d.addr, 200)
			spared(t, two.seen.Load(), all)
		})
	}
}

// A backend that starts again is cold, whichever machine's wall clock was stepped, and whatever its start time reads as then.
func TestWallClockStepsAndAColdBackend(t *testing.T) {
	for name, c := range map[string]struct {
		start, step time.Duration // of the agent's machine, before it started and since
		stamp       time.Duration // by which the backend's machine is off
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
			one, two := newStandIn(t), newStandIn(t)
			one.took, two.took = served, served
			warm, again := ready("one", one), ready("two", two)
			again.Started = time.Now().Add(-30 * time.Minute).UnixMilli()
			discovery := newCatalog(t, warm, again)
			d := deploy(t, discovery.addr, faultinject.Plan{Wall: c.start}, nil, "")
			awaitReady(t, d.addr)
			paced(t, d.addr, 40)
			d.apply(t, faultinject.Plan{Wall: c.step})
			again.Started = time.Now().Add(c.stamp).UnixMilli()
			discovery.tell(warm, again)
			time.Sleep(300 * time.Millisecond) // the list is heard
			was := two.seen.Load()
			all := paced(t, d.addr, 200)
			spared(t, two.seen.Load()-was, all)
		})
	}
}

// While it serves, deadlines, the silence of a watch and the grace for drains are spans of real time.
func TestWallClockStepsWhileItServes(t *testing.T) {
	for _, steps := range [][]time.Duration{{time.Hour}, {-time.Hour}, {2 * time.Second}, {-2 * time.Second}, {time.Hour, -time.Hour}} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			late := lateness(t)
			hanging, good := newStandIn(t), newStandIn(t)
			hanging.took = time.Hour
			var watches, mute atomic.Int64
			list := []listed{ready("s", hanging)}
			var mu sync.Mutex
			discovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
				n := watches.Add(1)
				mu.Lock()
				now := list
				mu.Unlock()
				_ = json.NewEncoder(w).Encode(map[string]any{"version": n, "full": true, "servers": now})
				for flush := http.NewResponseController(w); ; {
					_ = flush.Flush()
					select {
					case <-r.Context().Done():
						return
					case <-time.After(500 * time.Millisecond):
						if mute.Load() < n {
							fmt.Fprintln(w)
						}
					}
				}
			})
			d := deploy(t, discovery, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			step := func() {
				for _, step := range steps {
					d.apply(t, faultinject.Plan{Wall: step})
				}
			}
			req, err := http.NewRequest("GET", "http://"+d.addr+"/get/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Trace-Id", "1")
			req.Header.Set("X-Expires-In", "1.5")
			began := time.Now()
			stepped := make(chan struct{})
			time.AfterFunc(500*time.Millisecond, func() { defer close(stepped); step() })
			resp, err := alone.Do(req)
			<-stepped
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if took := time.Since(began); took < 1200*time.Millisecond || took > 1600*time.Millisecond+late() {
				t.Errorf("a request with 1.5 s was answered after %v", took)
			}
			// The watch falls silent while the list changes, and the clock is stepped in that silence.
			mu.Lock()
			list = []listed{{ID: "s", Addr: hanging.addr, Zone: "a", Kind: "m", State: "draining", Weight: 1}, ready("t", good)}
			mu.Unlock()
			d.apply(t, faultinject.Plan{})
			mute.Store(watches.Load())
			silent := time.Now()
			time.Sleep(time.Second)
			step()
			time.Sleep(time.Until(silent.Add(6*time.Second + 400*time.Millisecond)))
			was := hanging.seen.Load()
			for range 10 {
				if status, err := request(alone, d.addr, "/get/x"); status != 200 {
					t.Errorf("%d, %v", status, err)
				}
			}
			if n := hanging.seen.Load() - was; n > 0 {
				t.Errorf("%d of 10 requests go to a backend that drains, 6.4 s after the watch fell silent", n)
			}
		})
	}
}
