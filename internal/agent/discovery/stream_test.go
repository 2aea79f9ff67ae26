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

// A stream accepts any layout of JSON values. A malformed value ends only its stream, and the next stream requests the
// complete list.
func TestStreamAcceptsAnyLayoutAndRecoversFromMalformedValues(t *testing.T) {
	indented := func(m EndpointList) string {
		raw, _ := json.MarshalIndent(m, "  ", "\t")
		return "\n\r\n " + string(raw)
	}
	for name, form := range map[string]func(EndpointList) string{
		"indented": indented,
		"two values on a line": func(m EndpointList) string {
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
		"cut short":  `{"version":1,"servers":[}`,
		"no servers": `{"version":7,"full":true}`,
		"a number":   "17",
		"wrong type": `{"version":"x","servers":[]}`,
		"endless":    `{"version":1,"x":"` + strings.Repeat("x", maxValueBytes+1<<17),
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { checkRecovery(t, malformed) })
		})
	}
}

// checkLayout checks that lists encoded by form arrive, all on one stream.
func checkLayout(t *testing.T, form func(EndpointList) string) {
	t.Helper()
	discovery := newFakeDiscovery(t)
	discovery.encode = form
	watcher := startWatcher(t, discovery, false)
	for v := int64(42); v < 45; v++ {
		discovery.update(func() { discovery.version = v })
		synctest.Wait()
		if watcher.lastVersion() != v {
			t.Fatalf("received version %d, want %d; log: %s", watcher.lastVersion(), v, watcher.log.String())
		}
	}
	time.Sleep(time.Minute) // empty lines are heartbeats
	if slices.Contains(watcher.kinds(), balancer.UpdateFailed) || len(discovery.sinceParams) != 1 {
		t.Errorf("%d requests, updates %v; want 1 request and no UpdateFailed; log: %s",
			len(discovery.sinceParams), watcher.kinds(), watcher.log.String())
	}
}

// checkRecovery checks that a malformed value is reported as a failure, and that the complete list is requested next.
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
		t.Errorf("received version %d, requests since %v, updates %v; want version 42, a request since 0 and an UpdateFailed; log: %s",
			watcher.lastVersion(), discovery.sinceParams, watcher.kinds(), watcher.log.String())
	}
}

// The bytes of a value that never ends do not count as heartbeats, so its stream becomes overdue.
func TestPartialValuesDoNotCountAsHeartbeats(t *testing.T) {
	for _, polled := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			watcher := startWatcher(t, discovery, polled)
			watcher.startPolling(50)
			synctest.Wait()
			discovery.update(func() {
				for stream := range discovery.openStreams {
					discovery.sendingPartial[stream] = true
				}
			})
			time.Sleep(time.Second)
			discovery.update(func() { discovery.version++ })
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if watcher.lastVersion() != discovery.version {
				t.Errorf("polled %v: received version %d, want %d: a stream whose value never ends has to become overdue; log: %s",
					polled, watcher.lastVersion(), discovery.version, watcher.log.String())
			}
		})
	}
}

// A stream that has sent only heartbeats does not end an older stream, which may still deliver a list. Changes up to a
// version that has already been applied are ignored.
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
			t.Fatalf("after a heartbeat on the newer stream: older stream cancelled %v, newer stream current %v; want false, true",
				cancelled[older], watcher.current == newer)
		}
		watcher.handleEvent(watchEvent{stream: older, list: &EndpointList{Version: 50, Full: true}})
		if watcher.version != 50 || watcher.current != older || !cancelled[newer] {
			t.Errorf("after a list on the older stream: version %d, older stream current %v, newer stream cancelled %v; want 50, true, true",
				watcher.version, watcher.current == older, cancelled[newer])
		}
		third := openStream()
		third.sinceVersion = 40
		watcher.current.overdue = true
		watcher.handleEvent(watchEvent{stream: third, list: &EndpointList{Version: 45}})
		if watcher.version != 50 {
			t.Errorf("version %d after changes up to version 45 on a new stream, want 50", watcher.version)
		}
		// Within a stream, a later list may have a lower version.
		watcher.handleEvent(watchEvent{stream: third, list: &EndpointList{Version: 30}})
		if watcher.version != 30 {
			t.Errorf("version %d after a later list of the same stream, want 30", watcher.version)
		}
	})
}
