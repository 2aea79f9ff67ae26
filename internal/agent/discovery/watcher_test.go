package discovery

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// Where the list is polled, a failure is delivered, and the watcher opens no stream by itself.
func TestPolledWatcherOpensOnlyOnSubscribe(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		watcher := startWatcher(t, discovery, true)
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.refusing = true })
		watcher.Subscribe()
		time.Sleep(time.Minute)
		if updateKinds := watcher.kinds(); len(discovery.sinceParams) != 0 || len(updateKinds) != 1 || updateKinds[0] != balancer.UpdateFailed {
			t.Errorf("%d calls, posts %v", len(discovery.sinceParams), updateKinds)
		}
		discovery.update(func() { discovery.refusing = false })
		watcher.Subscribe()
		synctest.Wait()
		watcher.Subscribe() // one is open
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.unresponsive = true }) // the request may have to wait: it is not made twice
		time.Sleep(heartbeatTimeout + time.Millisecond)
		if updateKinds := watcher.kinds(); len(discovery.sinceParams) != 1 || len(updateKinds) != 3 ||
			updateKinds[1] != balancer.UpdateDelta || updateKinds[2] != balancer.UpdateFailed {
			t.Errorf("%d calls, posts %v", len(discovery.sinceParams), updateKinds)
		}
	})
}

// When discovery's address changes, a stream to the new one is opened at once, for the complete list, and nothing has
// failed.
func TestAddressChangeReopensAtOnceWithoutFailure(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, unresponsive := range []bool{false, true} {
			t.Run(fmt.Sprint("asked ", polled, " down ", unresponsive), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					discovery.unresponsive = unresponsive
					watcher := startWatcher(t, discovery, polled)
					watcher.Subscribe()
					synctest.Wait()
					watcher.SetAddr("10.0.0.1:1") // not a change
					synctest.Wait()
					if len(discovery.sinceParams) != 1 {
						t.Errorf("calls %v", discovery.sinceParams)
					}
					discovery.update(func() { discovery.unresponsive, discovery.version = false, 7 })
					watcher.SetAddr("10.0.0.2:1")
					synctest.Wait()
					got := discovery.sinceParams[len(discovery.sinceParams)-1]
					if got != "0" || watcher.lastVersion() != 7 || slices.Contains(watcher.kinds(), balancer.UpdateFailed) {
						t.Errorf("since %s, told %d, posts %v", got, watcher.lastVersion(), watcher.kinds())
					}
					time.Sleep(time.Minute)
					if len(discovery.sinceParams) != 2 || len(discovery.streamStalled) != 1 {
						t.Errorf("calls %v, %d of them open", discovery.sinceParams, len(discovery.streamStalled))
					}
				})
			})
		}
	}
}

// After a change of address, lists that arrive from the old one still count until the new one has sent its first; also
// if the new address is unreachable and is replaced in turn.
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
				t.Errorf("asked %v: what the old address told did not count", polled)
			}
			discovery.update(func() { discovery.unansweredRequests = 1 })
			watcher.SetAddr("10.0.0.3:1")
			synctest.Wait()
			discovery.update(func() { discovery.version++ })
			if synctest.Wait(); watcher.lastVersion() != discovery.version {
				t.Errorf("asked %v: what the old address told did not count, the second time", polled)
			}
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if len(discovery.streamStalled) != 1 || watcher.current.addr != "10.0.0.3:1" {
				t.Errorf("asked %v: %d watches, at %s", polled, len(discovery.streamStalled), watcher.current.addr)
			}
		})
	}
}

// A complete list without endpoints is valid: there is no backend any more.
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
			t.Errorf("%+v", last)
		}
	})
}
