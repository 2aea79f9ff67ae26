// This file tests the streams of attached agents: replacement, misbehaving agents, and agents of other versions.

package hub

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/hub/frame"
)

// If two processes attach under one name, the process with the higher incarnation keeps its stream, whether they attach
// to the same hub or to two hubs.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 2, 10)
	first := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 5}, servingState)
	waitFor(t, "fleet size", func() bool { return first.fleetSize().Attached == 1 })
	if early := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 4}, servingState); true {
		waitFor(t, "end of the earlier process's stream", early.closed)
	}
	early := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 4}, servingState)
	waitFor(t, "end of the earlier process's stream to another hub", early.closed)
	if first.closed() {
		t.Error("the stream of the process with incarnation 5 has ended, want it open")
	}
	later := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 6}, servingState)
	waitFor(t, "end of the replaced process's stream to another hub", first.closed)
	last := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 7}, servingState)
	waitFor(t, "end of the replaced process's stream to the same hub", later.closed)
	waitFor(t, "fleet size of one agent", func() bool { return last.fleetSize().Attached == 1 })
}

// An agent that sends malformed frames, sends too many frames or does not read has no effect on other agents.
func TestMisbehavingAgentDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	good := attachAgent(t, hub, frame.Hello{Name: "good", Incarnation: 1}, servingState)
	waitFor(t, "fleet size", func() bool { return good.fleetSize().Attached == 1 })
	sendMalformedFrames(t, hub)
	sendTooManyFrames(t, hub)
	attachWithoutReading(t, hub)
	if good.closed() || good.fleetSize().Attached == 0 {
		t.Error("the stream of the well-behaved agent has ended or its fleet size has expired, want neither")
	}
}

// sendMalformedFrames checks that a frame that is too long, malformed or unexpected ends its stream and is counted as a
// protocol error.
func sendMalformedFrames(t *testing.T, hub *testHub) {
	t.Helper()
	for name, text := range map[string]string{
		"long":      "\x7f\xff\xff\xff",
		"malformed": "\x00\x00\x00\x02\xff\xff",
		"welcome":   "\x00\x00\x00\x08\xa2\x01\x01\x03\xa1\x01\x61h",
	} {
		bad := attachAgent(t, hub, frame.Hello{Name: name, Incarnation: 1}, nil)
		waitFor(t, "welcome", func() bool { bad.mu.Lock(); defer bad.mu.Unlock(); return bad.welcome != nil })
		if _, err := bad.conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "end of the stream: "+name, bad.closed)
	}
	if hub.protocolErrors.Load() != 3 {
		t.Errorf("%d protocol errors counted, want 3", hub.protocolErrors.Load())
	}
}

// sendTooManyFrames checks that the hub reads at most frameRate frames per second from an agent that sends more.
func sendTooManyFrames(t *testing.T, hub *testHub) {
	t.Helper()
	flooding := attachAgent(t, hub, frame.Hello{Name: "flooding", Incarnation: 1}, nil)
	startedAt := time.Now()
	_ = flooding.conn.SetWriteDeadline(startedAt.Add(2 * time.Second)) // the hub does not read all frames by then
	for i := range 2000 {
		applied := frame.AppliedVersion{Version: 1, Reason: strings.Repeat("x", 500)}
		state := frame.State{Seq: uint32(i), Serving: true, Settings: applied}
		if writeFrame(flooding.conn, &frame.Frame{State: &state}) != nil {
			break
		}
	}
	applied := func() (n uint32) {
		for _, a := range hub.registry.attachments() {
			if a.name == "flooding" {
				n = a.status().Seq
			}
		}
		return n
	}
	if n := applied(); float64(n) > frameBurst+frameRate*(time.Since(startedAt).Seconds()+1) {
		t.Errorf("the hub read %d frames in %v, want at most frameBurst, plus frameRate per second", n, time.Since(startedAt))
	}
}

// attachWithoutReading attaches an agent that does not read, and waits until the hub ends the agent's stream because the
// socket buffers are full.
func attachWithoutReading(t *testing.T, hub *testHub) {
	t.Helper()
	conn, _, err := dialUpgrade(hub.fleet.Addr(), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	hello := frame.Hello{Label: t.Name(), Name: "unresponsive", Incarnation: 1}
	if err := writeFrame(conn, &frame.Frame{Hello: &hello}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "attachment", func() bool { return findAttachment(hub, "unresponsive") != nil })
	a := findAttachment(hub, "unresponsive")
	big := make([]byte, 4<<20)
	for !isClosed(a.done) { // each frame replaces the pending one
		a.enqueue(big)
		if writeFrame(conn, &frame.Frame{State: servingState}) != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// findAttachment returns the attachment of the agent with the given name, or nil if there is none.
func findAttachment(hub *testHub, name string) *attachment {
	for _, a := range hub.registry.attachments() {
		if a.name == name {
			return a
		}
	}
	return nil
}

// isClosed reports whether a channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// The hub ignores unknown fields in the frames and bodies of other program versions, and accepts missing fields.
func TestUnknownFieldsOfOtherVersionsAreIgnored(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	a := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, nil)
	writeRaw := func(v any) {
		body, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.conn.Write(append([]byte{0, 0, 0, byte(len(body))}, body...)); err != nil {
			t.Fatal(err)
		}
	}
	writeRaw(map[int]any{1: 9, 5: map[int]any{2: true, 17: "later"}, 30: "later still"})
	writeRaw(map[int]any{1: 1, 5: map[int]any{1: 3, 2: true}})
	writeRaw(map[int]any{1: 9, 31: "only what is not known"})
	waitFor(t, "fleet size", func() bool { return a.fleetSize() == FleetSize{1, 0, 0} })
	size, err := ParseFleetSize([]byte{0xa2, 0x01, 0x03, 0x18, 0x20, 0x01}) // fields 2 and 3 are missing, field 32 is unknown
	if err != nil || size != (FleetSize{3, 0, 0}) {
		t.Errorf("fleet size of another version: got %+v and error %v, want 3 attached agents and no error", size, err)
	}
	if a.closed() {
		t.Error("the stream ended after frames with unknown fields, want it open")
	}
}
