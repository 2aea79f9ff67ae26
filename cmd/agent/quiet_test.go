package main

// Faults after a quiet period.

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

var quietDuration = flag.Duration("quiet.for", 3*time.Second, "how long nothing happens before trouble begins")

// Faults after a long quiet period: idle connections have been closed by a backend, one backend drains, one hangs, and many
// clients send at once. Each request is answered in time, and no rule is violated.
func TestFaultsAfterAQuietPeriodAreHandled(t *testing.T) {
	late := schedulingDelay(t)
	var latest atomic.Int64 // when the draining backend got its latest request, in ns of Unix time
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
	for range 60 { // leaves idle connections to all of them
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK {
			t.Fatalf("%d, %v", status, err)
		}
	}
	time.Sleep(*quietDuration)
	list = slices.Clone(list) // the list before may still be in use by a handler
	list[0].State = "draining"
	discovery.publish(list...)
	publishedAt := time.Now()
	hang.Store(true)
	served, others, unanswered := sendAtOnce(t, d.addr, publishedAt.Add(2*time.Second), late)
	if at := time.Unix(0, latest.Load()).Sub(publishedAt); at > 550*time.Millisecond+late() {
		t.Errorf("the backend that drains got a request %v after it was told", at)
	}
	if served < 4*others || unanswered > 0 {
		t.Errorf("%d served, %d not, %d of them without an answer in time", served, others, unanswered)
	}
	t.Logf("%d served, %d not", served, others)
}

// sendAtOnce has 20 clients send requests until a time, and counts those that were served, those that were not, and those without
// an answer in time.
func sendAtOnce(t *testing.T, addr string, until time.Time, late func() time.Duration) (served, others, unanswered int64) {
	t.Helper()
	var counts [3]atomic.Int64
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			for time.Now().Before(until) {
				startedAt := time.Now()
				status, err := get(singleUseClient, addr, "/get/x")
				if elapsed := time.Since(startedAt); err != nil || elapsed > 1550*time.Millisecond+late() {
					counts[2].Add(1)
					t.Errorf("%d, %v after %v", status, err, elapsed)
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

// backendWithShortIdleTimeout starts a backend that closes idle connections after a second, well before the configured time.
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
