// This file tests the registry of agents.

package hub

import (
	"net/netip"
	"testing"
	"time"
)

// An agent that moved here from another hub dies. A report of that hub from before the move, which arrives late, must
// not pass for a move back: nobody would check whether the agent is dead.
func TestAgentThatDiesSoonAfterAMoveIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name             string
		reported, diedAt time.Duration // since the agent attached here
		checked          int           // agents due for a check
	}{
		{"the other hub's report crosses the move", 200 * time.Millisecond, 5 * time.Second, 1},
		{"the report comes as late as it can", hubCallTimeout + 2*reportInterval - time.Millisecond, 5 * time.Second, 1},
		{"the agent moves on", 4 * time.Second, 4100 * time.Millisecond, 0},
		{"the agent moves on, and its stream ends late", 4 * time.Second, 6 * time.Second, 0},
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
		t.Error("a process is due for a check though a later one has replaced it")
	}
}
