package balancer

import (
	"encoding/hex"
	"testing"
	"time"
)

// The encoding of a message with all parts is pinned: the header, an observation, the drained flag and the lost zones.
func TestMessageEncodingIsStable(t *testing.T) {
	m := gossipMessage{demand: 1.5, latencyRatio: 0.25, observations: []observation{{0x010203, 4, time.Hour - time.Second}}, drained: true, lostZones: 0x0506}
	const want = "3fc00000" + "3e800000" + "0102030421" + "01" + "0506"
	if got := hex.EncodeToString(m.encode(time.Hour, time.Second)); got != want {
		t.Errorf("encoded as %s, want %s", got, want)
	}
	data, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := decode(data, time.Hour, time.Second)
	if !ok || got.demand != 1.5 || got.latencyRatio != 0.25 || !got.drained || got.lostZones != 0x0506 || len(got.observations) != 1 || got.observations[0].key != 0x010203 ||
		got.observations[0].value != 4 || got.observations[0].observedAt != time.Hour-33*time.Second/32 {
		t.Errorf("decoded as valid %v: %+v, want true and the original message, with the observation 33/32 s old", ok, got)
	}
}
