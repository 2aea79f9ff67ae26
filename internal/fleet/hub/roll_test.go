package hub

import (
	"net/netip"
	"testing"
	"time"
)

// An agent that moved from another hub dies here: what that hub told of it from before the move, and what came late, must not
// pass for a move back, or nobody would ever look whether its process is dead.
func TestDeathSoonAfterAMove(t *testing.T) {
	for _, c := range []struct {
		what        string
		heard, died time.Duration // after it came here
		lost        int
	}{
		{"the other hub's word crosses the move", 200 * time.Millisecond, 5 * time.Second, 1},
		{"it comes as late as it can", postWithin + 2*postEvery - time.Millisecond, 5 * time.Second, 1},
		{"it moves on", 4 * time.Second, 4100 * time.Millisecond, 0},
		{"it moves on, and is seen to leave late", 4 * time.Second, 6 * time.Second, 0},
	} {
		now, r := time.Now(), newRoll()
		s := &stream{name: "a", incarnation: 1, addr: netip.MustParseAddrPort("127.0.0.1:1"), since: now}
		r.attach(s, now)
		r.heard("a", 1, now.Add(c.heard))
		r.ended(s, false, now.Add(c.died))
		if got := len(r.due(10, now.Add(c.died))); got != c.lost {
			t.Errorf("%s: %d are looked for, want %d", c.what, got, c.lost)
		}
	}
	now, r := time.Now(), newRoll()
	s := &stream{name: "a", incarnation: 1, addr: netip.MustParseAddrPort("127.0.0.1:1"), since: now}
	r.attach(s, now)
	r.heard("a", 2, now.Add(200*time.Millisecond)) // a later process
	r.ended(s, false, now.Add(time.Second))
	if len(r.due(10, now.Add(time.Second))) > 0 {
		t.Error("a process is looked for that a later one has replaced")
	}
}
