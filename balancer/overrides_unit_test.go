package balancer

// Tests of the operators' overrides alone.

import (
	"slices"
	"testing"
	"time"
)

func TestOverridesOutliveTheEndpointList(t *testing.T) {
	const window = 10 * time.Second
	var o overrides
	if o.has("a") || o.anyReenabled() {
		t.Fatal("overrides at the start")
	}
	if !o.disable("a", Up) || o.disable("a", Draining) || !o.has("a") {
		t.Fatal("a backend is not disabled once")
	}
	listed := []Backend{{ID: "a"}, {ID: "b"}}
	got := o.apply(listed, time.Hour, window)
	if got[0].State != Draining || got[1].State != Up || listed[0].State != Up {
		t.Errorf("a disabled backend is listed as %d, another as %d; the list itself says %d", got[0].State,
			got[1].State, listed[0].State)
	}
	o.apply([]Backend{{ID: "a", State: Removed}}, time.Hour, window)
	if state, was := o.enable("a"); !was || state != Removed {
		t.Errorf("enabled from state %d, want that of the last list", state)
	}
	if _, was := o.enable("a"); was || o.has("a") {
		t.Error("enabled twice")
	}
}

func TestReenabledBackendsAreRememberedForTheWindow(t *testing.T) {
	const window = 10 * time.Second
	var o overrides
	o.reenable("a", time.Hour)
	if !o.anyReenabled() || !o.has("a") || o.reenabledBefore("a", time.Hour) ||
		!o.reenabledBefore("a", time.Hour+1) || !o.reenabledBefore("b", 1) {
		t.Error("the time of being re-enabled is not kept")
	}
	if !o.recentlyReenabled("a", time.Hour+time.Second-1, time.Second) ||
		o.recentlyReenabled("a", time.Hour+time.Second, time.Second) ||
		o.recentlyReenabled("b", time.Hour, time.Second) {
		t.Error("the span does not end when it should")
	}
	got := o.apply([]Backend{{ID: "a", Started: time.Minute}, {ID: "b", Started: time.Minute}}, time.Hour+window, window)
	if started := []time.Duration{got[0].Started, got[1].Started}; !slices.Equal(started,
		[]time.Duration{time.Hour, time.Minute}) {
		t.Errorf("started at %v", started)
	}
	if o.apply(nil, time.Hour+window+1, window); o.anyReenabled() {
		t.Error("remembered after the window")
	}
}
