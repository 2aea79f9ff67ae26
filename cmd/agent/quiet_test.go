package main

// Faults after an idle period.

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

var idleDuration = flag.Duration("quiet.for", 3*time.Second, "length of the idle period before the faults begin")

// After an idle period in which one backend has closed its idle connections, another backend drains, a third one hangs, and many
// clients send at once. Each request is answered within 1.55 s, the draining backend gets no requests 0.55 s after the list is
// published, and at least four in five requests are served.
func TestFaultsAfterAnIdlePeriodAreHandled(t *testing.T) {
	delay := schedulingDelay(t)
	var latest atomic.Int64 // arrival of the draining backend's latest request, in ns of Unix time
	draining := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		latest.Store(time.Now().UnixNano())
		fmt.Fprint(w, "served")
	})
	var hang atomic.Bool
	hanging := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if hang.Load() {
			<-r.Context().Done()
		}
		fmt.Fprint(w, "served")
	})
	good := newFakeBackend(t)
	idleClosing := backendWithShortIdleTimeout(t)
	list := []endpoint{newEndpoint("s", draining, "ready"), readyEndpoint("t", good),
		newEndpoint("u", hanging, "ready"), newEndpoint("v", idleClosing, "ready")}
	discovery := newFakeDiscovery(t, list...)
	d := startAgent(t, discovery.addr, faultinject.Plan{}, nil, "", `"AimMs":5000,"DeadlineMs":5000`,
		`"AimMs":500,"DeadlineMs":1000`)
	awaitReady(t, d.addr)
	for range 60 { // leaves idle connections to all backends
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
	}
	time.Sleep(*idleDuration)
	list = slices.Clone(list) // a handler may still be using the previous list
	list[0].State = "draining"
	discovery.publish(list...)
	publishedAt := time.Now()
	hang.Store(true)
	served, notServed, late := sendAtOnce(t, d.addr, publishedAt.Add(2*time.Second), delay)
	if at := time.Unix(0, latest.Load()).Sub(publishedAt); at > 550*time.Millisecond+delay() {
		t.Errorf("the draining backend got a request %v after the list was published, want at most 550 ms", at)
	}
	if served < 4*notServed || late > 0 {
		t.Errorf("%d requests served, %d not served, want at least four in five served; %d without a final answer within 1.55 s, want none", served, notServed, late)
	}
	t.Logf("%d requests served, %d not served", served, notServed)
}

// sendAtOnce sends requests from 20 concurrent clients until a time. It returns the numbers of requests that were served, that were
// not served, and that got no final answer within 1.55 s.
func sendAtOnce(t *testing.T, addr string, until time.Time, delay func() time.Duration) (served, notServed, late int64) {
	t.Helper()
	var counts [3]atomic.Int64
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			for time.Now().Before(until) {
				startedAt := time.Now()
				status, err := get(singleUseClient, addr, "/get/x")
				if elapsed := time.Since(startedAt); err != nil || elapsed > 1550*time.Millisecond+delay() {
					counts[2].Add(1)
					t.Errorf("status %d, error %v after %v, want a final answer within 1.55 s", status, err, elapsed)
				}
				if status == http.StatusOK {
					counts[0].Add(1)
				} else {
					counts[1].Add(1)
				}
			}
		})
	}
	clients.Wait()
	return counts[0].Load(), counts[1].Load(), counts[2].Load()
}

// backendWithShortIdleTimeout starts a backend that closes idle connections after 1 s, well before the agent's configured timeout.
func backendWithShortIdleTimeout(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }
	server := &http.Server{IdleTimeout: time.Second, Handler: http.HandlerFunc(serve)}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}
