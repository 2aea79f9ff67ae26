package balancer

import (
	"encoding/hex"
	"testing"
	"time"
)

// A message to a peer, with all of its parts, keeps its bytes: numbers, a note, and the marks behind the notes.
func TestPeerMessageKeepsItsBytes(t *testing.T) {
	m := statusMessage{demand: 1.5, delay: 0.25, notes: []note{{0x010203, 4, time.Hour - time.Second}}, away: true, lost: 0x0506}
	const want = "3fc00000" + "3e800000" + "0102030421" + "01" + "0506"
	if got := hex.EncodeToString(m.encode(time.Hour, time.Second)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	data, err := hex.DecodeString(want)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := decode(data, time.Hour, time.Second)
	if !ok || got.demand != 1.5 || got.delay != 0.25 || !got.away || got.lost != 0x0506 || len(got.notes) != 1 || got.notes[0].key != 0x010203 ||
		got.notes[0].value != 4 || got.notes[0].at != time.Hour-33*time.Second/32 {
		t.Errorf("read %v %+v", ok, got)
	}
}
