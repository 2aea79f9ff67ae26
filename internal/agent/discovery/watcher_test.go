package discovery

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// Where the list is polled, a failure is delivered, and the watcher opens a stream only when Subscribe is called.
func TestPolledWatcherOpensOnlyOnSubscribe(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		watcher := startWatcher(t, discovery, true)
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.refusing = true })
		watcher.Subscribe()
		time.Sleep(time.Minute)
		if updateKinds := watcher.kinds(); len(discovery.sinceParams) != 0 || len(updateKinds) != 1 || updateKinds[0] != balancer.UpdateFailed {
			t.Errorf("%d requests, updates %v; want no request and one UpdateFailed", len(discovery.sinceParams), updateKinds)
		}
		discovery.update(func() { discovery.refusing = false })
		watcher.Subscribe()
		synctest.Wait()
		watcher.Subscribe() // no effect: a stream is open
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.unresponsive = true }) // discovery may still answer the open request, so no second request is sent
		time.Sleep(heartbeatTimeout + time.Millisecond)
		if updateKinds := watcher.kinds(); len(discovery.sinceParams) != 1 || len(updateKinds) != 3 ||
			updateKinds[1] != balancer.UpdateDelta || updateKinds[2] != balancer.UpdateFailed {
			t.Errorf("%d requests, updates %v; want 1 request and, after the first failure, UpdateDelta and UpdateFailed",
				len(discovery.sinceParams), updateKinds)
		}
	})
}

// When discovery's address changes, the watcher at once requests the complete list at the new address. It reports no
// failure.
func TestAddressChangeReopensAtOnceWithoutFailure(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, unresponsive := range []bool{false, true} {
			t.Run(fmt.Sprint("polled ", polled, " unresponsive ", unresponsive), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					discovery.unresponsive = unresponsive
					watcher := startWatcher(t, discovery, polled)
					watcher.Subscribe()
					synctest.Wait()
					watcher.SetAddr("10.0.0.1:1") // the same address: no effect
					synctest.Wait()
					if len(discovery.sinceParams) != 1 {
						t.Errorf("requests since %v, want one request", discovery.sinceParams)
					}
					discovery.update(func() { discovery.unresponsive, discovery.version = false, 7 })
					watcher.SetAddr("10.0.0.2:1")
					synctest.Wait()
					got := discovery.sinceParams[len(discovery.sinceParams)-1]
					if got != "0" || watcher.lastVersion() != 7 || slices.Contains(watcher.kinds(), balancer.UpdateFailed) {
						t.Errorf("last request since %s, received version %d, updates %v; want since 0, version 7 and no UpdateFailed",
							got, watcher.lastVersion(), watcher.kinds())
					}
					time.Sleep(time.Minute)
					if len(discovery.sinceParams) != 2 || len(discovery.openStreams) != 1 {
						t.Errorf("requests since %v, %d streams open; want 2 and 1", discovery.sinceParams, len(discovery.openStreams))
					}
				})
			})
		}
	}
}

// After a change of address, lists from the old address are applied until the new address has sent its first list, also
// if the new address is unreachable and is changed again.
func TestOldStreamServesUntilNewOneHasList(t *testing.T) {
	for _, polled := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			discovery.unreachableAddr = "10.0.0.2:1"
			watcher := startWatcher(t, discovery, polled)
			watcher.startPolling(50)
			synctest.Wait()
			watcher.SetAddr("10.0.0.2:1")
			time.Sleep(time.Second)
			discovery.update(func() { discovery.version++ })
			if synctest.Wait(); watcher.lastVersion() != discovery.version {
				t.Errorf("polled %v: version %d, want %d from the old address", polled, watcher.lastVersion(), discovery.version)
			}
			discovery.update(func() { discovery.unansweredRequests = 1 })
			watcher.SetAddr("10.0.0.3:1")
			synctest.Wait()
			discovery.update(func() { discovery.version++ })
			if synctest.Wait(); watcher.lastVersion() != discovery.version {
				t.Errorf("polled %v: version %d after the second change of address, want %d from the old address",
					polled, watcher.lastVersion(), discovery.version)
			}
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if len(discovery.openStreams) != 1 || watcher.current.addr != "10.0.0.3:1" {
				t.Errorf("polled %v: %d streams, the current one to %s; want 1, to 10.0.0.3:1",
					polled, len(discovery.openStreams), watcher.current.addr)
			}
		})
	}
}

// A complete list without endpoints is valid: all backends are removed.
func TestEmptyListIsACompleteList(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		watcher := startWatcher(t, discovery, false)
		synctest.Wait()
		discovery.update(func() {
			discovery.encode = func(EndpointList) string { return `{"version":42,"full":true,"servers":[]}` }
		})
		discovery.update(func() { discovery.version = 42 })
		synctest.Wait()
		watcher.mu.Lock()
		defer watcher.mu.Unlock()
		last := watcher.updates[len(watcher.updates)-1]
		if last.Endpoints.Kind != balancer.UpdateFull || len(last.Endpoints.Backends) != 0 || len(last.Addrs) != 0 {
			t.Errorf("update %+v; want kind UpdateFull without backends and addresses", last)
		}
	})
}
