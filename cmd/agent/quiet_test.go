package main

// Faults after a quiet period.

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"slices"
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
	drains := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		latest.Store(time.Now().UnixNano())
		fmt.Fprint(w, "served")
	})
	var hangs atomic.Bool
	hanging := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-r.Context().Done()
		}
		fmt.Fprint(w, "served")
	})
	good := newFakeBackend(t)
	forgotten := backendWithShortIdleTimeout(t)
	list := []endpoint{{ID: "s", Addr: drains, Zone: "a", Kind: "m", State: "ready", Weight: 1}, readyEndpoint("t", good),
		{ID: "u", Addr: hanging, Zone: "a", Kind: "m", State: "ready", Weight: 1},
		{ID: "v", Addr: forgotten, Zone: "a", Kind: "m", State: "ready", Weight: 1}}
	discovery := newFakeDiscovery(t, list...)
	d := startAgent(t, discovery.addr, faultinject.Plan{}, nil, "", `"AimMs":5000,"DeadlineMs":5000`, `"AimMs":500,"DeadlineMs":1000`)
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
	told := time.Now()
	hangs.Store(true)
	var served, others, unanswered atomic.Int64
	done := make(chan struct{}, 20)
	for range cap(done) {
		go func() {
			defer func() { done <- struct{}{} }()
			for time.Since(told) < 2*time.Second {
				began := time.Now()
				status, err := get(singleUseClient, d.addr, "/get/x")
				if took := time.Since(began); err != nil || took > 1550*time.Millisecond+late() {
					unanswered.Add(1)
					t.Errorf("%d, %v after %v", status, err, took)
				}
				if status == http.StatusOK {
					served.Add(1)
				} else {
					others.Add(1)
				}
			}
		}()
	}
	for range cap(done) {
		<-done
	}
	if at := time.Unix(0, latest.Load()).Sub(told); at > 550*time.Millisecond+late() {
		t.Errorf("the backend that drains got a request %v after it was told", at)
	}
	if served.Load() < 4*others.Load() || unanswered.Load() > 0 {
		t.Errorf("%d served, %d not, %d of them without an answer in time", served.Load(), others.Load(), unanswered.Load())
	}
	t.Logf("%d served, %d not", served.Load(), others.Load())
}

// backendWithShortIdleTimeout starts a backend that closes idle connections after a second, well before the configured time.
func backendWithShortIdleTimeout(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{IdleTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}
