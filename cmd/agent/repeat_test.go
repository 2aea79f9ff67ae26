package main

// Retries of requests that may have run, and retries around draining backends.

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// arrivalTimes records the arrival times of attempts at backends, by request id.
type arrivalTimes struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivalTimes) record(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.Header.Get("X-Trace-Id")
	a.at[id] = append(a.at[id], time.Now())
}

// reset returns the recorded times and clears the record.
func (a *arrivalTimes) reset() map[string][]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	recorded := a.at
	a.at = map[string][]time.Time{}
	return recorded
}

// postRequests sends POST requests from eight concurrent clients, perClient requests from each one in sequence. It returns the
// statuses by request id.
func postRequests(t *testing.T, addr, path string, perClient int) map[string]int {
	t.Helper()
	var mu sync.Mutex
	statuses := map[string]int{}
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range perClient {
				req, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				id := fmt.Sprintf("%016x", requestCounter.Add(1))
				req.Header.Set("X-Trace-Id", id)
				req.Header.Set("Idempotency-Key", id)
				req.Header.Set("X-Expires-In", "1.5")
				resp, err := singleUseClient.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mu.Lock()
				statuses[id] = resp.StatusCode
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return statuses
}

// stopRepeatedly stops the process for 0.15 s after every 0.4 s of running, until resume is called.
func (d *agentProcess) stopRepeatedly(t *testing.T) (resume func()) {
	t.Helper()
	done := make(chan struct{})
	var stopping sync.WaitGroup
	stopping.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(400 * time.Millisecond):
			}
			d.signal(t, syscall.SIGSTOP)
			time.Sleep(150 * time.Millisecond)
			d.signal(t, syscall.SIGCONT)
		}
	})
	return func() {
		close(done)
		stopping.Wait()
	}
}

// countServed returns the number of requests that were served.
func countServed(statuses ...map[string]int) (served int) {
	for _, answers := range statuses {
		for _, status := range answers {
			if status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// keyedClass replaces the start of class pay in a configuration, and adds a class of requests with idempotency keys before it.
const keyedClass = `{"Name":"put","AimMs":5000,"DeadlineMs":5000,"Worth":1,"Semantics":"by_key","Group":"all","WindowMs":300},
   {"Name":"pay",`

// checkRetries checks that no retry arrived later than within after the first attempt of the same request. It returns the number
// of retries.
func checkRetries(t *testing.T, arrivals map[string][]time.Time, within time.Duration) (retries int) {
	t.Helper()
	for id, at := range arrivals {
		for _, retryAt := range at[1:] {
			if retries++; retryAt.Sub(at[0]) > within {
				t.Errorf("a retry of request %s arrived too late, %v after the first attempt", id, retryAt.Sub(at[0]))
			}
		}
	}
	return retries
}

// A request with an idempotency key that may have run is retried only within its deduplication window, even if the process is
// stopped for 0.15 s at any moment. A request that must not run twice is neither retried nor refused after its last byte has
// reached a backend.
func TestRetriesStayWithinTheDedupWindow(t *testing.T) {
	const window, slack = 300 * time.Millisecond, 50 * time.Millisecond
	for name, respond := range map[string]func(http.ResponseWriter){
		"errors": func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"resets": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"resets after 100 ms": func(http.ResponseWriter) {
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			delay := schedulingDelay(t)
			arrivals := arrivalTimes{at: map[string][]time.Time{}}
			list := []endpoint{}
			for i := range 3 {
				addr := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
					arrivals.record(r)
					_, _ = io.Copy(io.Discard, r.Body)
					respond(w)
				})
				list = append(list, newEndpoint(fmt.Sprint("s", i), addr, "ready"))
			}
			d := startAgent(t, newFakeDiscovery(t, list...).addr, faultinject.Plan{}, nil, "",
				`{"Name":"pay",`, keyedClass, `"TryLimit":4`, `"TryLimit":4,"SecondCopies":true`,
				// A retry may arrive as late as the connect timeout after its start, which must still be within the window.
				`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":100`)
			awaitReady(t, d.addr)
			resume := d.stopRepeatedly(t)
			keyedStatuses := postRequests(t, d.addr, "/put/x", 4)
			keyedArrivals := arrivals.reset()
			onceStatuses := postRequests(t, d.addr, "/pay/x", 4)
			resume()
			retries := checkRetries(t, keyedArrivals, window+slack+delay())
			for id, at := range arrivals.reset() {
				if len(at) > 1 || onceStatuses[id] == http.StatusServiceUnavailable {
					t.Errorf("%s, which must not run twice, arrived %d times, want at most once, and its final answer has status %d, want any but 503", id, len(at), onceStatuses[id])
				}
			}
			if retries == 0 || countServed(keyedStatuses, onceStatuses) > 0 {
				t.Errorf("%d retries, want some; no request may be served: keyed %v, non-idempotent %v", retries, keyedStatuses, onceStatuses)
			}
		})
	}
}

// drainUnderLoad lists a backend that refuses all requests as draining, or removes it from the list, while clients send requests.
// drainUnderLoad checks that the last attempt arrives at the backend at most 550 ms after the list is published. If pause is true,
// the process is stopped for 0.15 s after the list is published.
func drainUnderLoad(t *testing.T, state string, pause bool) {
	t.Helper()
	delay := schedulingDelay(t)
	var mu sync.Mutex
	var latest time.Time
	rejecting := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { // the agent retries each request
		mu.Lock()
		latest = time.Now()
		mu.Unlock()
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	old := []endpoint{newEndpoint("a", rejecting, "ready")}
	good := newFakeBackend(t)
	discovery := newFakeDiscovery(t, old...)
	d := startAgent(t, discovery.addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	stop := time.AfterFunc(time.Second, func() {
		list := []endpoint{readyEndpoint("b", good)}
		if state == "draining" {
			old[0].State = state
			list = append(list, old[0])
		}
		discovery.publish(list...)
		if pause {
			d.signal(t, syscall.SIGSTOP)
			time.Sleep(150 * time.Millisecond)
			d.signal(t, syscall.SIGCONT)
		}
	})
	defer stop.Stop()
	publishedAt := time.Now().Add(time.Second)
	postRequests(t, d.addr, "/pay/x", 3)
	for time.Since(publishedAt) < 2*time.Second {
		postRequests(t, d.addr, "/pay/x", 1)
	}
	mu.Lock()
	defer mu.Unlock()
	if latest.IsZero() || latest.Sub(publishedAt) > 550*time.Millisecond+delay() {
		t.Errorf("the latest attempt arrived %v after the list was published, want one attempt or more, and none later than 550 ms", latest.Sub(publishedAt))
	}
}

// No attempt arrives at a backend later than 0.5 s after discovery lists it as draining or removes it, neither a first attempt nor
// a retry, even if the process is stopped for 0.15 s when the list is published.
func TestNoAttemptsToADrainingBackend(t *testing.T) {
	for _, state := range []string{"draining", "removed"} {
		for _, pause := range []bool{false, true} {
			t.Run(fmt.Sprint(state, " ", pause), func(t *testing.T) {
				t.Parallel()
				drainUnderLoad(t, state, pause)
			})
		}
	}
}
