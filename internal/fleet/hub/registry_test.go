// This file tests the registry of agents.

package hub

import (
	"net/netip"
	"testing"
	"time"
)

// An agent moves to this hub from another hub and dies. A late report that the other hub wrote before the move must not
// count as a move back, because then no hub would check whether the agent is dead.
func TestAgentThatDiesSoonAfterAMoveIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name             string
		reported, diedAt time.Duration // since the agent attached to this hub
		checked          int           // agents due for a check
	}{
		{"the other hub's report arrives shortly after the move", 200 * time.Millisecond, 5 * time.Second, 1},
		{"the report arrives with the highest possible delay", hubCallTimeout + 2*reportInterval - time.Millisecond, 5 * time.Second, 1},
		{"the agent moves back", 4 * time.Second, 4100 * time.Millisecond, 0},
		{"the agent moves back, and its stream to this hub ends late", 4 * time.Second, 6 * time.Second, 0},
	} {
		now, r := time.Now(), newRegistry()
		a := &attachment{name: "a", incarnation: 1, addr: netip.MustParseAddrPort("127.0.0.1:1"), attachedAt: now}
		r.attach(a, now)
		r.applyRemote("a", 1, now.Add(tt.reported))
		r.detach(a, false, now.Add(tt.diedAt))
		if got := len(r.nextChecks(10, now.Add(tt.diedAt))); got != tt.checked {
			t.Errorf("%s: %d agents are due for a check, want %d", tt.name, got, tt.checked)
		}
	}
	now, r := time.Now(), newRegistry()
	a := &attachment{name: "a", incarnation: 1, addr: netip.MustParseAddrPort("127.0.0.1:1"), attachedAt: now}
	r.attach(a, now)
	r.applyRemote("a", 2, now.Add(200*time.Millisecond)) // a later process
	r.detach(a, false, now.Add(time.Second))
	if len(r.nextChecks(10, now.Add(time.Second))) > 0 {
		t.Error("a process is due for a check although a later process has replaced it, want no check")
	}
}
