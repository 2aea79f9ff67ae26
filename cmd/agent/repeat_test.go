package main

// Retries of requests that may have run, and draining backends.

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

// arrivalTimes records when attempts arrived at backends, by request id.
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

// reset returns the recorded times and forgets them.
func (a *arrivalTimes) reset() map[string][]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	recorded := a.at
	a.at = map[string][]time.Time{}
	return recorded
}

// postRequests sends POST requests from eight concurrent clients, each so many in turn, and returns their statuses by id.
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

// stopRepeatedly stops the process for 0.15 s every 0.4 s, until resume is called.
func (d *agentProcess) stopRepeatedly(t *testing.T) (resume func()) {
	t.Helper()
	done := make(chan struct{})
	var holds sync.WaitGroup
	holds.Go(func() {
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
		holds.Wait()
	}
}

// servedOf counts the requests that were served.
func servedOf(statuses ...map[string]int) (served int) {
	for _, answers := range statuses {
		for _, status := range answers {
			if status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// keyedClass is an edit that adds a class of requests with idempotency keys.
const keyedClass = `{"Name":"put","AimMs":5000,"DeadlineMs":5000,"Worth":1,"Semantics":"by_key","Group":"all","WindowMs":300},
   {"Name":"pay",`

// checkRetries counts retries and checks that each arrived within a time of the first attempt of its request.
func checkRetries(t *testing.T, arrivals map[string][]time.Time, within time.Duration) (retries int) {
	t.Helper()
	for id, at := range arrivals {
		for _, again := range at[1:] {
			if retries++; again.Sub(at[0]) > within {
				t.Errorf("%s came again after %v", id, again.Sub(at[0]))
			}
		}
	}
	return retries
}

// A keyed request that may have run is retried only within its deduplication window, also if the process is stopped for 0.15 s
// at any moment. One that must not run twice is neither retried nor refused after its last byte has reached a backend.
func TestRetriesStayWithinTheDedupWindow(t *testing.T) {
	const window, slack = 300 * time.Millisecond, 50 * time.Millisecond
	for name, respond := range map[string]func(http.ResponseWriter){
		"errors": func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"resets": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"is mute and resets": func(http.ResponseWriter) {
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := schedulingDelay(t)
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
				// A retry may take the connect timeout to arrive, which must still be within the window.
				`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":100`)
			awaitReady(t, d.addr)
			resume := d.stopRepeatedly(t)
			statuses := postRequests(t, d.addr, "/put/x", 4)
			keyed := arrivals.reset()
			once := postRequests(t, d.addr, "/pay/x", 4)
			resume()
			repeated := checkRetries(t, keyed, window+slack+late())
			for id, at := range arrivals.reset() {
				if len(at) > 1 || once[id] == http.StatusServiceUnavailable {
					t.Errorf("%s, which may run once, came %d times and has %d", id, len(at), once[id])
				}
			}
			if repeated == 0 || servedOf(statuses, once) > 0 {
				t.Errorf("%d repeats; keyed %v, once %v", repeated, statuses, once)
			}
		})
	}
}

// drainUnderLoad has a backend that rejects all requests drain, or removes it from the list, while clients send, and checks when
// its last attempt arrives. hold stops the process for 0.15 s at that moment.
func drainUnderLoad(t *testing.T, state string, hold bool) {
	t.Helper()
	late := schedulingDelay(t)
	var mu sync.Mutex
	var latest time.Time
	rejecting := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { // each request is retried
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
		now := []endpoint{readyEndpoint("b", good)}
		if state == "draining" {
			old[0].State = state
			now = append(now, old[0])
		}
		discovery.publish(now...)
		if hold {
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
	if latest.IsZero() || latest.Sub(publishedAt) > 550*time.Millisecond+late() {
		t.Errorf("the latest attempt came %v after the list was told", latest.Sub(publishedAt))
	}
}

// No attempt arrives at a backend later than 0.5 s after discovery lists it as draining or removes it: neither of new requests,
// nor as retries of those that wait, also if the process is stopped at that moment.
func TestNoAttemptsToADrainingBackend(t *testing.T) {
	for _, state := range []string{"draining", "left out"} {
		for _, hold := range []bool{false, true} {
			t.Run(fmt.Sprint(state, " ", hold), func(t *testing.T) {
				t.Parallel()
				drainUnderLoad(t, state, hold)
			})
		}
	}
}
