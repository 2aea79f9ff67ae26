package balancer

// Tests of the gossip wire format.

import (
	"math"
	"testing"
	"time"
)

// A decoded message has the numbers and observations of the encoded one. Observations may become older in encoding but
// never younger. Failures come first. Observations that don't fit or are too old are omitted.
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
		t.Errorf("%d bytes, want a full message of 251 to 256", len(data))
	}
	got, ok := decode(data, now, unit)
	if !ok || got.demand != 12.5 || got.latencyRatio != 0.25 || len(got.observations) == 0 || got.observations[0].key != 3 {
		t.Fatalf("decoded as valid %v: %+v, want true, demand 12.5, latency ratio 0.25 and key 3 first", ok, got)
	}
	m.drained = true
	if more := m.encode(now, unit); len(more) != len(data)+1 || len(more) > maxMessageSize {
		t.Errorf("%d bytes with the drained flag, want one more than without it, and at most maxMessageSize", len(more))
	} else if again, ok := decode(more, now, unit); !ok || !again.drained || got.drained ||
		len(again.observations) != len(got.observations) {
		t.Errorf("with the drained flag: decoded as valid %v: %+v, want true, the flag, and as many observations", ok, again)
	}
	for _, n := range got.observations {
		original := m.observations[n.key]
		if n.value != original.value || n.observedAt > original.observedAt || n.observedAt < original.observedAt-unit/ageSteps-1 {
			t.Errorf("decoded observation %+v, want %+v, up to one age step older", n, original)
		}
	}
}

func TestMessageMalformed(t *testing.T) {
	nan := gossipMessage{demand: math.NaN()}.encode(0, time.Second)
	for _, data := range [][]byte{nil, {1}, make([]byte, headerSize-1), nan,
		gossipMessage{latencyRatio: -1}.encode(0, time.Second)} {
		if m, ok := decode(data, 0, time.Second); ok {
			t.Errorf("malformed message %v was decoded as %+v, want it rejected", data, m)
		}
	}
	if m, ok := decode(make([]byte, headerSize+observationSize+2), 0, time.Second); !ok || len(m.observations) != 1 {
		t.Errorf("a truncated second observation: decoded as valid %v: %+v, want true and one observation", ok, m)
	}
}
