package balancer_test

// Tests of gossip: the messages between agents and their effects.

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"testing"

	"martenbeam/balancer"
)

// Incidents ieeee80 and i24a18c: where agents exchange messages, an agent with most of the traffic gets most of the
// limit. An agent that receives no messages keeps its even share.
func TestPeersShareTheLimit(t *testing.T) {
	demand := func(busyCores float32) []byte {
		return binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(busyCores))<<32)
	}
	tests := []struct {
		name          string
		gossipAllowed bool
		data          []byte // message received from each of the three peers; nil: none
		want          func(n int) bool
	}{
		{"no messages allowed", false, demand(0), func(n int) bool { return n == 15 }},
		{"no messages received", true, nil, func(n int) bool { return n == 15 }},
		{"idle peers", true, demand(0), func(n int) bool { return n > 45 }},
		{"busy peers", true, demand(math.MaxFloat32), func(n int) bool { return n < 6 }},
		{"too short", true, []byte{1}, func(n int) bool { return n == 15 }},
		{"not a number", true, demand(float32(math.NaN())), func(n int) bool { return n == 15 }},
		{"negative", true, demand(-1), func(n int) bool { return n == 15 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.Balancers, s.Self, s.GossipAllowed = 4, 2, tt.gossipAllowed
			r := newRig(t, s, 1, backends(10))
			messages := 0
			for range 30 {
				r.serve(1, idempotent, 20*ms)
				for _, a := range r.advance(20 * ms) {
					if _, ok := a.(balancer.SendGossip); ok {
						messages++
					}
				}
				if tt.data == nil {
					continue
				}
				for _, from := range []int{-1, 0, 1, 2, 3, 4} {
					r.step(balancer.GossipReceived{From: from, Data: tt.data})
				}
			}
			if tt.gossipAllowed != (messages > 0) || messages > 4*3 {
				t.Errorf("sent %d messages to three peers in 1.2 s, want 1 to 12 if gossip is allowed, else none",
					messages)
			}
			n := 0
			for i := range 100 {
				id := fmt.Sprint("q", i)
				r.request(id, idempotent)
				n += len(r.sent[id])
			}
			if !tt.want(n) {
				t.Errorf("%d requests in flight, outside of the wanted share of the limit of 60", n)
			}
		})
	}
}

// A restarted agent has measured little of its clients' demand. With a peer that has as much traffic, it must not count
// as nearly idle, which would make it refuse requests at a small share of the limit.
func TestRestartedAgentKeepsItsQuota(t *testing.T) {
	s := settings()
	s.Balancers, s.GossipAllowed = 2, true
	drive := func(self, n int, received []byte) (r *rig, message []byte) {
		s.Self = self
		r = newRig(t, s, 1, backends(10))
		for range n {
			r.serve(1, idempotent, 20*ms)
			for _, a := range r.advance(0) {
				if a, ok := a.(balancer.SendGossip); ok {
					message = a.Data
				}
			}
			if received != nil {
				r.step(balancer.GossipReceived{From: 1 - self, Data: received})
			}
		}
		return r, message
	}
	_, message := drive(0, 500, nil)
	r, _ := drive(1, 25, message) // half a second, a little more than a gossip interval
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		n += len(r.sent[id])
	}
	if n < 24 || n > 40 {
		t.Errorf("%d requests in flight, want about 30, half the limit of 60", n)
	}
}

// Incident ie43f64: when every agent sent to every other, messages grew with the square of the number of agents. Each
// agent sends to a few random peers, whatever the size of the fleet.
func TestGossipFanoutIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 8, 50, 2000} {
		s := settings()
		s.Balancers, s.Self, s.GossipAllowed = n, n/2, true
		r := newRig(t, s, 1, backends(4))
		recipients := map[int]int{}
		total := 0
		count := func(acts []balancer.Action) {
			for _, a := range acts {
				if a, ok := a.(balancer.SendGossip); ok {
					recipients[a.To]++
					total++
				}
			}
		}
		for i := range 100 { // a request every tenth of an interval
			id := fmt.Sprint("q", i)
			count(r.request(id, idempotent))
			count(r.outcome(id, balancer.OK, 20*ms))
			count(r.advance(s.Classes[0].LatencyObjective / 10))
		}
		if most := 11 * min(n-1, 8); total > most || n > 1 && total < 10 {
			t.Errorf("%d agents: %d messages in ten gossip intervals, want up to %d, and at least 10 with peers", n, total, most)
		}
		if recipients[s.Self] > 0 || len(recipients) < min(n-1, 20) {
			t.Errorf("%d agents: sent to %d different peers, want 20 or all; sent to itself %d times", n, len(recipients),
				recipients[s.Self])
		}
	}
}

// Incident i952f82: the share of agents that have stopped goes to the agents that get their traffic.
func TestQuotaOfStoppedPeersIsReleased(t *testing.T) {
	s := settings()
	s.Balancers, s.GossipAllowed = 4, true
	r := newRig(t, s, 1, backends(10))
	inFlight := func(round int) (n int) {
		for i := range 100 {
			id := fmt.Sprint("q", round, "-", i)
			if r.request(id, idempotent); len(r.sent[id]) > 0 {
				n++
				defer r.outcome(id, balancer.OK, 20*ms)
			} else {
				r.step(balancer.Abandoned{Request: id})
			}
		}
		return n
	}
	own := binary.BigEndian.AppendUint64(nil, uint64(math.Float32bits(float32(100*ms)))<<32)
	for range 40 {
		r.serve(1, idempotent, 20*ms)
		for from := 1; from < 4; from++ {
			r.step(balancer.GossipReceived{From: from, Data: own})
		}
		r.advance(50 * ms)
	}
	before := inFlight(0)
	for range 60 { // 4.2 s without a message: longer than four gossip intervals
		r.serve(1, idempotent, 20*ms)
		r.advance(50 * ms)
	}
	if after := inFlight(1); before > 40 || after < 55 {
		t.Errorf("%d requests in flight with three peers, want up to 40; %d after the peers stopped, want at least 55", before,
			after)
	}
}

// Dallas big-1: an agent with a sparse quota sends too few attempts to a dead backend to detect it in time.
// Observations report failures and latency to other agents. A duplicate of an observation has no effect.
func TestObservationsReachPeers(t *testing.T) {
	s := sparseSettings()
	sender := newRig(t, s, 1, backends(4))
	var data [][]byte
	for i := range 60 { // a fails at once, b is slow, the others are fast
		id := fmt.Sprint("q", i)
		acts := sender.request(id, nonIdempotent)
		if len(sender.sent[id]) == 0 {
			continue
		}
		switch sender.sent[id][0] {
		case "a":
			acts = append(acts, sender.outcome(id, balancer.Errored, 10*ms)...)
		case "b":
			sender.now += 200 * ms
			acts = append(acts, sender.outcome(id, balancer.OK, 200*ms)...)
		default:
			sender.now += 20 * ms
			acts = append(acts, sender.outcome(id, balancer.OK, 20*ms)...)
		}
		for _, a := range acts {
			if a, ok := a.(balancer.SendGossip); ok {
				data = append(data, a.Data)
			}
		}
	}
	count := func(repeat int) map[string]int {
		s.Self = 1
		counts := map[string]int{}
		for seed := range uint64(200) {
			r := newRig(t, s, seed, backends(4))
			r.now = sender.now
			for range repeat {
				for _, d := range data {
					r.step(balancer.GossipReceived{From: 0, Data: d})
				}
			}
			r.request("q", idempotent)
			counts[r.sent["q"][0]]++
		}
		return counts
	}
	once, often := count(1), count(20)
	if once["a"] > 5 || once["b"] > 40 || once["c"] < 40 || once["d"] < 40 {
		t.Errorf("after the observations 200 agents send to %v, want up to 5 to a, up to 40 to b, at least 40 to c and d", once)
	}
	if !reflect.DeepEqual(once, often) {
		t.Errorf("200 agents send to %v after one copy of the messages, to %v after twenty copies, want the same", once, often)
	}
}
