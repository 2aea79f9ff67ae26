// Tests of the choice of hubs: order, spread and backoff.

package hubclient

import (
	"fmt"
	"testing"
	"time"
)

var testHubs = []Hub{{"a1", "a", "1"}, {"a2", "a", "2"}, {"a3", "a", "3"}, {"b1", "b", "4"}, {"b2", "b", "5"}, {"b3", "b", "6"}}

// The 257 agents of a failed hub attach to the two other hubs of its region, at most 100 of them to each hub within any
// second.
func TestAgentsOfDeadHubSpreadOverRegion(t *testing.T) {
	const agents = 257
	var start time.Time
	arrivals := map[string][]time.Duration{}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		list := preferenceOrder(name, "a1", "a", testHubs)
		if list[0].Zone != "a1" || list[1].Region != "a" || list[2].Region != "a" {
			t.Fatalf("order of preference %v, want the hub of zone a1, then those of region a", list)
		}
		selector := newHubSelector(len(list), uint64(i))
		wait := selector.attachmentLost(0, time.Minute, start)
		arrivals[list[selector.current].Zone] = append(arrivals[list[selector.current].Zone], wait)
	}
	if len(arrivals["a2"])+len(arrivals["a3"]) != agents {
		t.Fatalf("the agents selected %d hubs, want only a2 and a3", len(arrivals))
	}
	for hub, list := range arrivals {
		for _, from := range list {
			n := 0
			for _, at := range list {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			if n > 100 {
				t.Errorf("%d agents attach to %s within the second from %v, want 100 at most", n, hub, from)
			}
		}
	}
}

// After failed attempts the selector tries all hubs in turn with growing waits. It does not select a busy hub before
// that hub's retry time, and a stable attachment resets the backoff.
func TestBackoffGrowsAndBusyHubsAreHonoured(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	selector := newHubSelector(3, 7)
	triedHubs, longestWait := map[int]bool{}, time.Duration(0)
	for range 300 {
		wait := selector.attachFailed(now)
		if wait > maxBackoff || selector.consecutiveFailures == 1 && wait > initialBackoff {
			t.Fatalf("wait of %v after %d failures exceeds the maximum", wait, selector.consecutiveFailures)
		}
		triedHubs[selector.current], longestWait = true, max(longestWait, wait)
	}
	if len(triedHubs) != 3 || longestWait < maxBackoff*9/10 {
		t.Errorf("tried hubs %v, longest wait %v; want 3 hubs and a wait near maxBackoff", triedHubs, longestWait)
	}
	before := selector.current
	if wait := selector.hubBusy(time.Second, now); wait != time.Second || selector.current != before {
		t.Errorf("after a busy reply: wait %v, hub %d; want 1 s and the same hub", wait, selector.current)
	}
	if selector.hubBusy(time.Minute, now); selector.current == before {
		t.Error("selected the hub that is busy for a minute, want another hub")
	}
	for range 10 {
		if selector.attachFailed(now); selector.current == before {
			t.Error("selected the busy hub before its retry time, want another hub")
		}
	}
	if single := newHubSelector(1, 7); single.hubBusy(time.Minute, now) != time.Minute {
		t.Error("the wait for the only hub does not end at its retry time, want a wait of 1 min")
	}
	if wait := selector.attachmentLost(1, stableAfter, now.Add(time.Hour)); selector.current != 0 || wait > initialBackoff {
		t.Errorf("after a stable attachment, selected hub %d after %v, want hub 0 within initialBackoff", selector.current, wait)
	}
	for range 1000 {
		if d := selector.nextPreferredCheck(); d < defaultPreferredCheckInterval/2 || d >= defaultPreferredCheckInterval*3/2 {
			t.Fatalf("interval between attempts at the preferred hub is %v, want 15 s to 45 s", d)
		}
	}
}
