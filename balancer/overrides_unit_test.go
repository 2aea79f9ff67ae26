package balancer

// Unit tests of the operators' overrides.

import (
	"slices"
	"testing"
	"time"
)

func TestOverridesPersistAcrossEndpointUpdates(t *testing.T) {
	const window = 10 * time.Second
	var o overrides
	if o.has("a") || o.anyReenabled() {
		t.Fatal("the zero value has overrides, want none")
	}
	if !o.disable("a", Up) || o.disable("a", Draining) || !o.has("a") {
		t.Fatal("disable returns false for the first call or true for the second, or the override is not kept")
	}
	listed := []Backend{{ID: "a"}, {ID: "b"}}
	got := o.apply(listed, time.Hour, window)
	if got[0].State != Draining || got[1].State != Up || listed[0].State != Up {
		t.Errorf("state %d for the disabled backend, want Draining; %d for another one and %d in the original list, want Up",
			got[0].State, got[1].State, listed[0].State)
	}
	o.apply([]Backend{{ID: "a", State: Removed}}, time.Hour, window)
	if state, wasDisabled := o.enable("a"); !wasDisabled || state != Removed {
		t.Errorf("enable returns state %d, want Removed, the state in the latest list", state)
	}
	if _, wasDisabled := o.enable("a"); wasDisabled || o.has("a") {
		t.Error("the override is still in force after enable, want it removed")
	}
}

func TestReenabledTimesAreKeptForTheWindow(t *testing.T) {
	const window = 10 * time.Second
	var o overrides
	o.reenable("a", time.Hour)
	if !o.anyReenabled() || !o.has("a") || o.reenabledBefore("a", time.Hour) ||
		!o.reenabledBefore("a", time.Hour+1) || !o.reenabledBefore("b", 1) {
		t.Error("the backend is not kept as re-enabled at the given time, or another backend is")
	}
	if !o.recentlyReenabled("a", time.Hour+time.Second-1, time.Second) ||
		o.recentlyReenabled("a", time.Hour+time.Second, time.Second) ||
		o.recentlyReenabled("b", time.Hour, time.Second) {
		t.Error("recentlyReenabled does not become false at the end of the span, or is true for another backend")
	}
	got := o.apply([]Backend{{ID: "a", Started: time.Minute}, {ID: "b", Started: time.Minute}}, time.Hour+window, window)
	if started := []time.Duration{got[0].Started, got[1].Started}; !slices.Equal(started,
		[]time.Duration{time.Hour, time.Minute}) {
		t.Errorf("backends count as started at %v, want 1h0m0s for the re-enabled one and 1m0s for the other", started)
	}
	if o.apply(nil, time.Hour+window+1, window); o.anyReenabled() {
		t.Error("the backend still counts as re-enabled after the window")
	}
}
