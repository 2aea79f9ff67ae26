package hubclient

import (
	"fmt"
	"testing"
	"time"
)

var hubs = []Hub{{"a1", "a", "1"}, {"a2", "a", "2"}, {"a3", "a", "3"}, {"b1", "b", "4"}, {"b2", "b", "5"}, {"b3", "b", "6"}}

// The 257 agents of a dead hub come to the two others of its region, and to neither more than 100 within any second.
func TestThoseOfADeadHubSpread(t *testing.T) {
	const agents = 257
	var start time.Time
	came := map[string][]time.Duration{}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		list := order(name, "a1", "a", hubs)
		if list[0].Zone != "a1" || list[1].Region != "a" || list[2].Region != "a" {
			t.Fatalf("order %v", list)
		}
		c := newChooser(len(list), uint64(i))
		wait := c.lost(0, time.Minute, start)
		came[list[c.at].Zone] = append(came[list[c.at].Zone], wait)
	}
	if len(came["a2"])+len(came["a3"]) != agents {
		t.Fatalf("they went to %d hubs", len(came))
	}
	for hub, list := range came {
		for _, from := range list {
			n := 0
			for _, at := range list {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			if n > 100 {
				t.Errorf("%d come to %s within the second from %v", n, hub, from)
			}
		}
	}
}

// Tries in vain go round all hubs with growing waits; one that asked for time has it; a steady stream starts anew.
func TestWaitsGrowAndAreHeeded(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	c := newChooser(3, 7)
	tried, longest := map[int]bool{}, time.Duration(0)
	for range 300 {
		wait := c.failed(now)
		if wait > waitMost || c.fails == 1 && wait > waitFirst {
			t.Fatalf("wait %v after %d tries", wait, c.fails)
		}
		tried[c.at], longest = true, max(longest, wait)
	}
	if len(tried) != 3 || longest < waitMost*9/10 {
		t.Errorf("tried %v, longest wait %v", tried, longest)
	}
	at := c.at
	if wait := c.refused(time.Second, now); wait != time.Second || c.at != at {
		t.Errorf("a busy hub is asked again after %v, hub %d", wait, c.at)
	}
	if c.refused(time.Minute, now); c.at == at {
		t.Error("a hub that is busy for a minute is waited for")
	}
	for range 10 {
		if c.failed(now); c.at == at {
			t.Error("it is asked sooner than it said")
		}
	}
	if only := newChooser(1, 7); only.refused(time.Minute, now) != time.Minute {
		t.Error("the only hub is asked sooner than it said")
	}
	if wait := c.lost(1, steady, now.Add(time.Hour)); c.at != 0 || wait > waitFirst {
		t.Errorf("after a steady stream hub %d is tried after %v", c.at, wait)
	}
	for range 1000 {
		if d := c.home(); d < homeEvery/2 || d >= homeEvery*3/2 {
			t.Fatalf("home is looked for after %v", d)
		}
	}
}
