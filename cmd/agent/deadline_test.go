package main

// The deadline that an agent sends to backends.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// deadlineChecker compares the deadlines that backends receive with the deadlines of the clients.
type deadlineChecker struct {
	clientDeadlines sync.Map // the client's deadline as a time.Time, by request id
	attempts        atomic.Int64
	exceeded        atomic.Int64         // attempts whose deadline exceeds the client's remaining time by more than slack
	maxExcess       atomic.Int64         // largest excess, in ns
	slack           time.Duration        // allowed excess, in addition to delay
	delay           func() time.Duration // returns the longest scheduling delay so far
}

// serve checks the deadline of an attempt. It then responds that the request did not run, responds late enough for a hedged
// request, or responds at once.
func (c *deadlineChecker) serve(t *testing.T, w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c.attempts.Add(1)
	end, _ := c.clientDeadlines.Load(r.Header.Get("X-Trace-Id"))
	expiresIn, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil || end == nil {
		t.Errorf("X-Expires-In %q: error %v, want a number of seconds and a known request id", r.Header.Get("X-Expires-In"), err)
		return
	}
	excess := time.Duration(expiresIn*float64(time.Second)) - end.(time.Time).Sub(now)
	if excess > c.slack+c.delay() {
		c.exceeded.Add(1)
	}
	for old := c.maxExcess.Load(); int64(excess) > old && !c.maxExcess.CompareAndSwap(old, int64(excess)); old = c.maxExcess.Load() {
	}
	switch rand.IntN(3) {
	case 0:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1: // slow enough for a hedged request
		select {
		case <-time.After(150 * time.Millisecond):
		case <-r.Context().Done():
		}
	}
}

// send sends one request with a random deadline and waits for the final answer.
func (c *deadlineChecker) send(addr string) error {
	timeout := time.Duration(200+rand.IntN(400)) * time.Millisecond
	id := fmt.Sprintf("%016x", requestCounter.Add(1))
	req, err := http.NewRequest("GET", "http://"+addr+"/get/x", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Trace-Id", id)
	req.Header.Set("X-Expires-In", fmt.Sprintf("%.3f", timeout.Seconds()))
	c.clientDeadlines.Store(id, time.Now().Add(timeout))
	resp, err := singleUseClient.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return nil
}

// The deadline that an attempt sends to its backend exceeds the client's remaining time by at most 0.15 s. The bound applies to
// first attempts, retries and hedged requests, and also if the process is stopped for 0.15 s at any moment.
func TestAttemptsCarryTheRemainingTime(t *testing.T) {
	const slack, pause = 150 * time.Millisecond, 150 * time.Millisecond
	c := &deadlineChecker{slack: slack, delay: schedulingDelay(t)}
	list := []endpoint{}
	for i := range 3 {
		addr := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { c.serve(t, w, r) })
		list = append(list, newEndpoint(fmt.Sprint("s", i), addr, "ready"))
	}
	d := startAgent(t, newFakeDiscovery(t, list...).addr, faultinject.Plan{}, nil, "",
		`"TryLimit":4`, `"TryLimit":4,"SecondCopies":true,"Cancel":true`, `"AimMs":5000`, `"AimMs":60`)
	awaitReady(t, d.addr)
	var clients sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for range 16 {
		clients.Go(func() {
			for time.Now().Before(end) {
				if err := c.send(d.addr); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(650+rand.IntN(200)) * time.Millisecond) // longer than any deadline, so that no request is delayed twice
		d.signal(t, syscall.SIGSTOP)
		time.Sleep(pause)
		d.signal(t, syscall.SIGCONT)
	}
	clients.Wait()
	attempts, exceeded, maxExcess := c.attempts.Load(), c.exceeded.Load(), time.Duration(c.maxExcess.Load())
	t.Logf("%d attempts, largest excess %v, scheduling delay %v", attempts, maxExcess, c.delay())
	if exceeded > 0 {
		t.Errorf("%d of %d attempts had a deadline later than the client's by more than the allowed excess, want none; largest excess %v", exceeded, attempts, maxExcess)
	}
}

// The time until the deadline of a request counts from the last byte of the request, even if the connection is still in the accept
// queue. Here accept fails for 1 s.
func TestDeadlineOfARequestQueuedBeforeAccept(t *testing.T) {
	received, delay := make(chan string, 1), schedulingDelay(t)
	addr := serveHTTP(t, func(_ http.ResponseWriter, r *http.Request) { received <- r.Header.Get("X-Expires-In") })
	d := startAgent(t, newFakeDiscovery(t, newEndpoint("s", addr, "ready")).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	d.applyPlan(t, failing(faultinject.Failure{Call: faultinject.Accept, Errno: syscall.ENOBUFS}))
	answered := make(chan int, 1)
	sent := time.Now()
	go func() {
		status, _ := get(singleUseClient, d.addr, "/get/x")
		answered <- status
	}()
	time.Sleep(time.Second)
	d.applyPlan(t, faultinject.Plan{})
	left := 5*time.Second - time.Since(sent)
	if status := <-answered; status != 200 {
		t.Fatalf("status %d, want 200", status)
	}
	if s, err := strconv.ParseFloat(<-received, 64); err != nil ||
		time.Duration(s*float64(time.Second)) > left+150*time.Millisecond+delay() {
		t.Errorf("the backend received a deadline of %v s, but the client has %v left, want at most 150 ms more; error %v", s, left, err)
	}
}
