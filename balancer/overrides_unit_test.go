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
		t.Fatal("the zero value has overrides")
	}
	if !o.disable("a", Up) || o.disable("a", Draining) || !o.has("a") {
		t.Fatal("the first Disable has no effect, or the second one has")
	}
	listed := []Backend{{ID: "a"}, {ID: "b"}}
	got := o.apply(listed, time.Hour, window)
	if got[0].State != Draining || got[1].State != Up || listed[0].State != Up {
		t.Errorf("a disabled backend has state %d, another one %d; the original list has %d", got[0].State,
			got[1].State, listed[0].State)
	}
	o.apply([]Backend{{ID: "a", State: Removed}}, time.Hour, window)
	if state, wasDisabled := o.enable("a"); !wasDisabled || state != Removed {
		t.Errorf("enable returns state %d, want that of the last list", state)
	}
	if _, wasDisabled := o.enable("a"); wasDisabled || o.has("a") {
		t.Error("the override is still in force after enable")
	}
}

func TestReenabledTimesAreKeptForTheWindow(t *testing.T) {
	const window = 10 * time.Second
	var o overrides
	o.reenable("a", time.Hour)
	if !o.anyReenabled() || !o.has("a") || o.reenabledBefore("a", time.Hour) ||
		!o.reenabledBefore("a", time.Hour+1) || !o.reenabledBefore("b", 1) {
		t.Error("the time at which the backend was re-enabled is not kept")
	}
	if !o.recentlyReenabled("a", time.Hour+time.Second-1, time.Second) ||
		o.recentlyReenabled("a", time.Hour+time.Second, time.Second) ||
		o.recentlyReenabled("b", time.Hour, time.Second) {
		t.Error("recentlyReenabled does not change at the end of the span, or is true for another backend")
	}
	got := o.apply([]Backend{{ID: "a", Started: time.Minute}, {ID: "b", Started: time.Minute}}, time.Hour+window, window)
	if started := []time.Duration{got[0].Started, got[1].Started}; !slices.Equal(started,
		[]time.Duration{time.Hour, time.Minute}) {
		t.Errorf("backends count as started at %v, want the re-enabled one at one hour", started)
	}
	if o.apply(nil, time.Hour+window+1, window); o.anyReenabled() {
		t.Error("the time is still kept after the window")
	}
}
