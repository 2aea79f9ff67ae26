package discovery

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// JSON values may be laid out in any way. One that is malformed ends its stream alone, and the next requests the
// complete list.
func TestStreamAcceptsAnyLayoutAndRecoversFromMalformedValues(t *testing.T) {
	indented := func(m EndpointList) string {
		raw, _ := json.MarshalIndent(m, "  ", "\t")
		return "\n\r\n " + string(raw)
	}
	for name, form := range map[string]func(EndpointList) string{
		"indented": indented,
		"two on a line": func(m EndpointList) string {
			raw, _ := json.Marshal(m)
			return string(raw) + string(raw)
		},
		"long": func(m EndpointList) string { return strings.Repeat(" ", maxValueBytes/2) + indented(m) },
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { checkLayout(t, form) })
		})
	}
	for name, malformed := range map[string]string{
		"cut short":    `{"version":1,"servers":[}`,
		"no list":      `{"version":7,"full":true}`,
		"a number":     "17",
		"another kind": `{"version":"x","servers":[]}`,
		"endless":      `{"version":1,"x":"` + strings.Repeat("x", maxValueBytes+1<<17),
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { checkRecovery(t, malformed) })
		})
	}
}

// checkLayout checks that lists which form encodes arrive, all by one stream.
func checkLayout(t *testing.T, form func(EndpointList) string) {
	t.Helper()
	discovery := newFakeDiscovery(t)
	discovery.encode = form
	watcher := startWatcher(t, discovery, false)
	for v := int64(42); v < 45; v++ {
		discovery.update(func() { discovery.version = v })
		synctest.Wait()
		if watcher.lastVersion() != v {
			t.Fatalf("version %d, not %d: %s", watcher.lastVersion(), v, watcher.log.String())
		}
	}
	time.Sleep(time.Minute) // empty lines are heartbeats
	if slices.Contains(watcher.kinds(), balancer.UpdateFailed) || len(discovery.sinceParams) != 1 {
		t.Errorf("%d calls: %s", len(discovery.sinceParams), watcher.log.String())
	}
}

// checkRecovery checks that a bad value in place of a list is a failure, and that the complete list is requested next.
func checkRecovery(t *testing.T, malformed string) {
	t.Helper()
	discovery := newFakeDiscovery(t)
	watcher := startWatcher(t, discovery, false)
	synctest.Wait()
	good := discovery.encode
	discovery.update(func() { discovery.version, discovery.encode = 42, func(EndpointList) string { return malformed } })
	time.Sleep(time.Millisecond)
	discovery.update(func() { discovery.encode = good })
	time.Sleep(time.Second)
	if watcher.lastVersion() != 42 || !slices.Contains(discovery.sinceParams, "0") ||
		!slices.Contains(watcher.kinds(), balancer.UpdateFailed) {
		t.Errorf("told %d, calls %v, %s", watcher.lastVersion(), discovery.sinceParams, watcher.log.String())
	}
}

// A value that never ends does not keep its stream alive.
func TestPartialValuesDoNotCountAsHeartbeats(t *testing.T) {
	for _, polled := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			watcher := startWatcher(t, discovery, polled)
			watcher.startPolling(50)
			synctest.Wait()
			discovery.update(func() {
				for stream := range discovery.streamStalled {
					discovery.sendingPartial[stream] = true
				}
			})
			time.Sleep(time.Second)
			discovery.update(func() { discovery.version++ })
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if watcher.lastVersion() != discovery.version {
				t.Errorf("asked %v: a value that never ends kept its watch alive: %s", polled, watcher.log.String())
			}
		})
	}
}

// A stream that only shows signs of life does not end an older one that may still be answered, and changes up to a version
// that is already known are not applied.
func TestHeartbeatDoesNotEndOlderStream(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		watcher := New(Config{Addr: "10.0.0.1:1", Deliver: func(Update) {},
			Translator: Translator{Log: slog.New(slog.DiscardHandler)}})
		cancelled := map[*watchStream]bool{}
		openStream := func() *watchStream {
			stream := &watchStream{addr: watcher.addr, requested: true, openedAt: time.Now()}
			stream.cancel = func() { cancelled[stream] = true }
			watcher.opening = append(watcher.opening, stream)
			return stream
		}
		older, newer := openStream(), openStream()
		watcher.handleEvent(watchEvent{stream: newer})
		if cancelled[older] || watcher.current != newer {
			t.Fatal("a sign of life ended the opening before")
		}
		watcher.handleEvent(watchEvent{stream: older, list: &EndpointList{Version: 50, Full: true}})
		if watcher.version != 50 || watcher.current != older || !cancelled[newer] {
			t.Errorf("version %d: the list of the older one was not taken", watcher.version)
		}
		third := openStream()
		third.sinceVersion = 40
		watcher.current.overdue = true
		watcher.handleEvent(watchEvent{stream: third, list: &EndpointList{Version: 45}})
		if watcher.version != 50 {
			t.Errorf("version %d by changes that are past", watcher.version)
		}
		// Within a stream a version may go back.
		watcher.handleEvent(watchEvent{stream: third, list: &EndpointList{Version: 30}})
		if watcher.version != 30 {
			t.Errorf("version %d", watcher.version)
		}
	})
}
