package main

// The first endpoint list of a new process.

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// With pushed lists, the list from discovery applies from the start of a new process. A backend that discovery lists as draining
// gets no new requests 0.5 s after the start, even if the configuration's known list has it as ready and even if system calls
// fail during the start.
func TestFirstListAppliesFromTheStart(t *testing.T) {
	const grace, slack = 500 * time.Millisecond, 50 * time.Millisecond
	if _, err := faultyProgram(); err != nil { // built here, so that the build time is not measured
		t.Fatal(err)
	}
	for name, failure := range map[string]faultinject.Failure{
		"no failure":              {},
		"one connect fails":       {Call: faultinject.Connect, Errno: syscall.EADDRNOTAVAIL, Times: 1},
		"three connects fail":     {Call: faultinject.Connect, Errno: syscall.ENETUNREACH, Times: 3},
		"three socket calls fail": {Call: faultinject.Socket, Errno: syscall.ENOBUFS, Times: 3, Skip: 2}, // skips the two listening sockets
		"one socket read fails":   {Call: faultinject.Read, Errno: syscall.ETIMEDOUT, Times: 1, Path: "socket:"},
		"one socket write fails":  {Call: faultinject.Write, Errno: syscall.EHOSTUNREACH, Times: 1, Path: "socket:"},
		"connects are refused":    {Call: faultinject.Connect, Errno: syscall.ECONNREFUSED, Times: 2},
		"connects are aborted":    {Call: faultinject.Connect, Errno: syscall.ECONNABORTED, Times: 3},
		"connects time out":       {Call: faultinject.Connect, Errno: syscall.ETIMEDOUT, Times: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			delay := schedulingDelay(t)
			var latest atomic.Int64 // time of the latest request since the start, in ns
			var startedAt time.Time
			draining := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
				latest.Store(max(latest.Load(), int64(time.Since(startedAt))))
				fmt.Fprint(w, "served")
			})
			good := newFakeBackend(t)
			list := []endpoint{newEndpoint("s", draining, "draining"), readyEndpoint("t", good)}
			known := fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]},"settings":`, draining)
			plan := faultinject.Plan{}
			if failure.Call != "" {
				plan.Failures = []faultinject.Failure{failure}
			}
			discovery := newFakeDiscovery(t, list...)
			startedAt = time.Now()
			d := startAgent(t, discovery.addr, plan, nil, "", `"settings":`, known)
			awaitReady(t, d.addr)
			for time.Since(startedAt) < 2*time.Second {
				if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK && status != http.StatusServiceUnavailable {
					t.Fatalf("status %d, error %v, want 200 or 503", status, err)
				}
			}
			if at := time.Duration(latest.Load()); at > grace+slack+delay() {
				t.Errorf("the latest request reached the draining backend %v after the start, want at most 550 ms", at)
			}
			if good.requestCount.Load() == 0 {
				t.Error("no request reached the ready backend")
			}
		})
	}
}
