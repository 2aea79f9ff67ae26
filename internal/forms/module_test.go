package forms

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

// Tests of the formats of package wire, and of the formats that the decision module encodes itself.

// Reader decodes each kind of event of a batch in the bench's format.
func TestBenchEventsKeepTheirFormat(t *testing.T) {
	const ms = time.Millisecond
	r := wire.NewReader(bytes.NewReader(stored(t, "batch.jsonl")))
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	list := []balancer.Backend{
		{ID: "b1", State: balancer.Up, Weight: 2.5, Cell: 3, Started: 4 * ms, Kind: 5, Zone: 6},
		{ID: "b2", State: balancer.Draining, Weight: 7.5, Cell: 8, Started: 9 * ms, Kind: 10, Zone: 11},
		{ID: "b3", State: balancer.Removed, Weight: 12.5, Cell: 13, Started: 14 * ms, Kind: 15, Zone: 16}}
	load := balancer.Load{Valid: true, Queue: 17, Service: 18 * ms, ErrorsPerSec: 19}
	events := []balancer.Event{
		balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: list},
		balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: list},
		balancer.EndpointUpdate{Kind: balancer.UpdateCached, Backends: list},
		balancer.EndpointUpdate{Kind: balancer.UpdateFailed},
		balancer.Request{ID: "r1", Class: 1, TimeRemaining: 20 * ms, Work: 21 * ms, ClientRetry: true,
			AffinityKey: wire.AffinityKey("item22")},
	}
	for i, result := range []balancer.Result{balancer.OK, balancer.Errored, balancer.Rejected, balancer.TimedOut,
		balancer.ConnectFailed,
		balancer.Reset, balancer.Cancelled, balancer.NotSent} {
		events = append(events, balancer.Outcome{Request: "r1", Attempt: 23 + i, Backend: "b1", Result: result,
			Latency: 24 * ms, Done: true, Load: load})
	}
	events = append(events, balancer.ProbeResult{Backend: "b2", Result: balancer.OK, Latency: 25 * ms, Load: load},
		balancer.ResponseStarted{Request: "r1", Attempt: 26}, balancer.Abandoned{Request: "r1"}, balancer.TimerFired{Token: 27},
		balancer.GossipReceived{From: 28, Data: []byte{29, 30}})
	if b.Now != 1500250*time.Microsecond || len(b.Events) != len(events)+2 {
		t.Fatalf("got a batch at %v with %d events, want one at 1.50025s with all events of batch.jsonl", b.Now, len(b.Events))
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 99 || o.Settings.Balancers != 3 || len(o.Settings.Classes) != 2 {
		t.Errorf("the first event opens the agent with %+v, want seed 99, three balancers and two classes", b.Events[0])
	}
	for i, e := range events {
		equal(t, fmt.Sprintf("event %d", i), b.Events[1+i], wire.Event{Line: 4 + i, Agent: 7, Event: e})
	}
	if last := b.Events[len(b.Events)-1]; !last.Retire || last.Agent != 7 {
		t.Errorf("the last event is %+v, want agent 7 retired", last)
	}
	equal(t, "affinity key of an item", wire.AffinityKey("item22"), uint64(0x6718ec13ab02850a))
}

// Writer encodes each kind of action in the bench's format.
func TestBenchActionsKeepTheirFormat(t *testing.T) {
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	const ms = time.Millisecond
	if err := w.Actions(7, []balancer.Action{
		balancer.Send{Request: "r1", Backend: "b2", Timeout: 3 * ms, SendDeadline: 4 * ms}, balancer.Send{Request: "r5", Backend: "b6"},
		balancer.Cancel{Request: "r7", Attempt: 8}, balancer.Refuse{Request: "r9", RetryAfter: 10500 * time.Microsecond,
			NoPermittedZone: true},
		balancer.Refuse{Request: "r11"}, balancer.Fail{Request: "r12 \"é\""}, balancer.SetTimer{After: 13 * ms, Token: 14},
		balancer.Probe{Backend: "b15"}, balancer.SendGossip{To: 16, Data: []byte{17, 18}},
		balancer.ZoneStateChanged{Zone: 19}, balancer.ZoneStateChanged{Zone: 20, FailedOver: true},
		balancer.ZoneStateChanged{Zone: 21, FailedOver: true, ByGossip: true},
		balancer.Subscribe{}}); err != nil {
		t.Fatal(err)
	}
	w.Broken(7, "panic: 22")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	golden(t, "actions.jsonl", out.Bytes())
}

// newBalancer returns one of 40 agents after a fixed series of 60 requests, and the gossip messages that the agent has
// sent. The agent has backends in two zones and a fixed seed. One byte with the receiver's number precedes each message in
// sent and received. The agent receives the messages in received before request 50.
func newBalancer(t *testing.T, self int, received [][]byte) (b *balancer.Balancer, sent [][]byte) {
	t.Helper()
	const ms = time.Millisecond
	s := balancer.Settings{Balancers: 40, Self: self, Classes: []balancer.Class{{LatencyObjective: 100 * ms,
		Deadline: 1000 * ms, PriorityWeight: 1, LateWeight: 0.2}},
		MaxAttempts: 3, GossipAllowed: true, RetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 50 * ms,
		InitialCapacity: 0.2, SlowStartWindow: time.Second,
		OverloadMultiple: 3, OverloadWindow: time.Second, GoalOverall: 1, CrossZoneCost: 0.03}
	b, err := balancer.New(s, 5)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	timers := map[int64]time.Duration{}
	var list []balancer.Backend
	for i := range 6 {
		list = append(list, balancer.Backend{ID: fmt.Sprint("b", i), Zone: i / 3, Weight: 1})
	}
	requests := 0
	var step func(events ...balancer.Event)
	step = func(events ...balancer.Event) {
		var outcomes []balancer.Event
		for _, a := range b.Step(now, events) {
			switch a := a.(type) {
			case balancer.Send:
				result, latency := balancer.OK, 20*ms+time.Duration(requests%7)*ms
				if a.Backend == "b1" || a.Backend >= "b3" && requests%9 == 0 {
					result = balancer.Errored
				}
				outcomes = append(outcomes, balancer.Outcome{Request: a.Request, Backend: a.Backend, Result: result, Latency: latency,
					Done: result == balancer.OK,
					Load: balancer.Load{Queue: -1, Service: -1, ErrorsPerSec: -1}})
			case balancer.SetTimer:
				timers[a.Token] = now + a.After
			case balancer.SendGossip:
				sent = append(sent, append([]byte{byte(a.To)}, a.Data...))
			}
		}
		if len(outcomes) > 0 {
			now += 20 * ms
			for i := range outcomes {
				o := outcomes[i].(balancer.Outcome)
				o.Done = true // a failed attempt ends its request: the outcomes of retries would need attempt numbers
				outcomes[i] = o
			}
			step(outcomes...)
		}
	}
	step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: list})
	for range 60 {
		requests++
		if requests == 50 { // late, so that the gossip has not expired at the end
			for _, data := range received {
				step(balancer.GossipReceived{From: 0, Data: data[1:]})
			}
		}
		step(balancer.Request{ID: fmt.Sprint("r", requests), TimeRemaining: time.Second})
		now += 3 * ms
		for token := int64(1); token <= int64(len(timers)); token++ {
			if at, pending := timers[token]; pending && at <= now {
				timers[token] = time.Hour * 1e6
				step(balancer.TimerFired{Token: token})
			}
		}
		if requests == 40 {
			step(balancer.Drain{On: true})
		}
	}
	return b, sent
}

// An agent's gossip keeps its bytes, and another agent decodes these bytes into the same state. The bytes also change with
// the decisions of the decision module.
func TestGossipBetweenAgentsKeepsItsBytes(t *testing.T) {
	b, sent := newBalancer(t, 0, nil)
	if len(sent) < 3 {
		t.Fatalf("got %d gossip messages, want at least 3", len(sent))
	}
	var text strings.Builder
	for _, data := range sent {
		fmt.Fprintf(&text, "to %d: %x\n", data[0], data[1:])
	}
	golden(t, "peer-messages.txt", []byte(text.String()))
	goldenJSON(t, "snapshot-sender.json", b.Snapshot())

	b, _ = newBalancer(t, 1, sent[:len(sent)/2]) // the later messages report that the sender is draining
	s := b.Snapshot()
	goldenJSON(t, "snapshot-receiver.json", s)
	if s.PeerDemand[0] <= 0 {
		t.Errorf("the receiver has no demand from the sender: got peer demand %v, want a positive first value", s.PeerDemand)
	}
}

// The snapshot in a handover record keeps its keys, and Restore applies a stored snapshot.
func TestSnapshotKeepsItsKeys(t *testing.T) {
	goldenJSON(t, "snapshot-keys.json", filled[balancer.Snapshot]())
	var s balancer.Snapshot
	if err := json.Unmarshal(stored(t, "snapshot-receiver.json"), &s); err != nil {
		t.Fatal(err)
	}
	b, err := balancer.New(balancer.Settings{Balancers: 40, Self: 1,
		Classes: []balancer.Class{{LatencyObjective: 100 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, []balancer.Event{balancer.Restore{Snapshot: s}})
	got := b.Snapshot()
	equal(t, "restored", []any{got.Tokens, got.LimitPerBackend, got.LatencyRatio, got.Latency, got.PeerDemand[0]},
		[]any{s.Tokens, s.LimitPerBackend, s.LatencyRatio, s.Latency, s.PeerDemand[0]})
}
