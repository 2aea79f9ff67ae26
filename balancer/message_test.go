package balancer

// Tests of the gossip wire form.

import (
	"math"
	"testing"
	"time"
)

// A message keeps its numbers and observations. Observations get older on the way, never younger; failures go first;
// what does not fit or is too old is left out.
func TestMessageRoundTrip(t *testing.T) {
	const now, unit = time.Hour, time.Second
	m := gossipMessage{demand: 12.5, latencyRatio: 0.25}
	for i := range 100 {
		m.observations = append(m.observations, observation{uint32(i), byte(i), now - time.Duration(100-i)*10*time.Millisecond})
	}
	m.observations[3].value = valueFailed
	m.observations = append(m.observations, observation{200, valueLate, now - 9*unit}) // expired
	data := m.encode(now, unit)
	if len(data) > maxMessageSize || len(data) < maxMessageSize-observationSize {
		t.Errorf("%d bytes", len(data))
	}
	got, ok := decode(data, now, unit)
	if !ok || got.demand != 12.5 || got.latencyRatio != 0.25 || len(got.observations) == 0 || got.observations[0].key != 3 {
		t.Fatalf("got %v %+v", ok, got)
	}
	m.drained = true
	if more := m.encode(now, unit); len(more) != len(data)+1 || len(more) > maxMessageSize {
		t.Errorf("%d bytes", len(more))
	} else if again, ok := decode(more, now, unit); !ok || !again.drained || got.drained ||
		len(again.observations) != len(got.observations) {
		t.Errorf("got %v %+v", ok, again)
	}
	for _, n := range got.observations {
		was := m.observations[n.key]
		if n.value != was.value || n.observedAt > was.observedAt || n.observedAt < was.observedAt-unit/ageSteps-1 {
			t.Errorf("note %+v was %+v", n, was)
		}
	}
}

func TestMessageMalformed(t *testing.T) {
	nan := gossipMessage{demand: math.NaN()}.encode(0, time.Second)
	for _, data := range [][]byte{nil, {1}, make([]byte, headerSize-1), nan,
		gossipMessage{latencyRatio: -1}.encode(0, time.Second)} {
		if m, ok := decode(data, 0, time.Second); ok {
			t.Errorf("%v was read as %+v", data, m)
		}
	}
	if m, ok := decode(make([]byte, headerSize+observationSize+2), 0, time.Second); !ok || len(m.observations) != 1 {
		t.Errorf("a message with a torn note: %v %+v", ok, m)
	}
}
