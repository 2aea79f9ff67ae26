package main

// Reloads of the configuration while reading its file or calling the new discovery fails.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// reloadThroughFailures reloads a configuration with another discovery address while the given failures affect reading the file. If
// failures is nil, the file is half written at first. If twice is true, a second SIGHUP follows at once. 4 s after the first SIGHUP
// requests must reach the backend that the new discovery lists as ready.
func reloadThroughFailures(t *testing.T, old, fresh *fakeBackend, failures []faultinject.Failure, twice bool, path string) {
	t.Helper()
	oldDiscovery := newFakeDiscovery(t, readyEndpoint("old", old))
	newDiscovery := newFakeDiscovery(t, newEndpoint("old", old.addr, "draining"), readyEndpoint("new", fresh))
	d := startAgent(t, oldDiscovery.addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	text := fmt.Appendf(nil, faultsConfigTemplate, d.addr, newDiscovery.addr)
	first := text
	if failures == nil {
		first = text[:len(text)/2]
	}
	if err := os.WriteFile(d.configPath, first, 0o600); err != nil {
		t.Fatal(err)
	}
	d.applyPlan(t, faultinject.Plan{Failures: failures})
	d.signal(t, syscall.SIGHUP)
	signalledAt := time.Now()
	if twice {
		d.signal(t, syscall.SIGHUP)
	}
	if failures == nil || failures[0].Times == 0 {
		time.Sleep(2 * time.Second)
		d.applyPlan(t, faultinject.Plan{})
	}
	if err := os.WriteFile(d.configPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(signalledAt.Add(4 * time.Second)))
	before := fresh.requestCount.Load()
	for range 10 {
		if status, err := get(singleUseClient, d.addr, path); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
	}
	if fresh.requestCount.Load() == before {
		t.Error("none of 10 requests reached the backend that the new discovery lists as ready, want at least one")
	}
}

// The list of the new discovery applies 4 s after a SIGHUP, even if the configuration can't be read or is half written at the time
// of the signal, or if a second signal follows at once.
func TestReloadIsRetriedAfterAFailure(t *testing.T) {
	old, fresh := newFakeBackend(t), newFakeBackend(t)
	for name, failures := range map[string][]faultinject.Failure{
		"open ENFILE":   {{Call: faultinject.Open, Path: "config.json", Errno: syscall.ENFILE, Times: 1}},
		"open EMFILE":   {{Call: faultinject.Open, Path: "config.json", Errno: syscall.EMFILE, Times: 3}},
		"open EINTR":    {{Call: faultinject.Open, Path: "config.json", Errno: syscall.EINTR, Times: 1}},
		"read EIO":      {{Call: faultinject.Read, Path: "config.json", Errno: syscall.EIO, Times: 1}},
		"read 3 EIO":    {{Call: faultinject.Read, Path: "config.json", Errno: syscall.EIO, Times: 3}},
		"open 2 s":      {{Call: faultinject.Open, Path: "config.json", Errno: syscall.ENFILE}},
		"half written":  nil,
		"twice, ENFILE": {{Call: faultinject.Open, Path: "config.json", Errno: syscall.ENFILE, Times: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reloadThroughFailures(t, old, fresh, failures, strings.HasPrefix(name, "twice"), "/get/"+name[:4])
		})
	}
}

// reloadToFailingDiscovery reloads a configuration with another discovery address, whose first calls fail. mode selects pushed or
// polled lists. 4.4 s after the signals, requests must go to the backend that is ready in the new discovery's list.
func reloadToFailingDiscovery(t *testing.T, old, fresh *fakeBackend, mode string, times int64, fail http.HandlerFunc,
	path string) {
	t.Helper()
	var calls atomic.Int64
	newDiscovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= times {
			fail(w, r)
			return
		}
		list := []endpoint{newEndpoint("old", old.addr, "draining"), readyEndpoint("new", fresh)}
		_ = json.NewEncoder(w).Encode(map[string]any{"version": 1, "full": true, "servers": list})
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	oldDiscovery := newFakeDiscovery(t, readyEndpoint("old", old))
	d := startAgent(t, oldDiscovery.addr, faultinject.Plan{}, nil, "", "automatic", mode)
	awaitReady(t, d.addr)
	for _, discovery := range []string{freeAddr(t), newDiscovery} { // nothing listens at the first address
		if err := os.WriteFile(d.configPath, []byte(strings.Replace(fmt.Sprintf(faultsConfigTemplate, d.addr, discovery),
			"automatic", mode, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		d.signal(t, syscall.SIGHUP)
	}
	signalledAt := time.Now()
	time.Sleep(time.Until(signalledAt.Add(4*time.Second + 400*time.Millisecond)))
	before := fresh.requestCount.Load()
	for range 5 {
		if status, err := get(singleUseClient, d.addr, path); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
	}
	if fresh.requestCount.Load()-before < 5 {
		t.Errorf("%d of 5 requests went to the backend that is ready in the new discovery's list, want 5; %d calls to discovery", fresh.requestCount.Load()-before,
			calls.Load())
	}
}

// If the new discovery refuses calls, hangs or resets connections at first, its list still applies 4 s after the second of two
// SIGHUPs. Its draining backends may get requests for up to 0.5 s more; the test sends the checked requests 0.4 s after the 4 s. The
// test covers pushed and polled lists.
func TestReloadToAFailingDiscoveryRecovers(t *testing.T) {
	old, fresh := newFakeBackend(t), newFakeBackend(t)
	for _, mode := range []string{"automatic", "subscribe"} {
		for name, fail := range map[string]http.HandlerFunc{
			"refuses": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			"hangs":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			"resets":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			"sends nothing": func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			},
		} {
			for _, times := range []int64{1, 2} {
				t.Run(fmt.Sprint(mode, " ", name, " ", times), func(t *testing.T) {
					t.Parallel()
					path := strings.ReplaceAll(fmt.Sprint("/get/", mode, name, times), " ", "")
					reloadToFailingDiscovery(t, old, fresh, mode, times, fail, path)
				})
			}
		}
	}
}
