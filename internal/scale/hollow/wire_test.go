package hollow

import (
	"bytes"
	"testing"
)

// Facts are told from what else is in a membership's packet, labelled, summed or neither.
func TestFactsIn(t *testing.T) {
	fact, ping := append([]byte{user}, "12345"...), []byte{0, 1, 2}
	both := append([]byte{compound, 2, 0, byte(len(ping)), 0, byte(len(fact))}, append(bytes.Clone(ping), fact...)...)
	label := append([]byte{labelled, 2}, "xy"...)
	sum := []byte{crc, 1, 2, 3, 4}
	for name, c := range map[string]struct {
		packet []byte
		want   int
	}{
		"alone":            {fact, len(fact)},
		"none":             {ping, 0},
		"among others":     {both, len(fact)},
		"labelled":         {append(bytes.Clone(label), both...), len(fact)},
		"labelled, summed": {append(append(bytes.Clone(label), sum...), both...), len(fact)},
		"cut off":          {both[:len(both)-1], 0},
		"too short":        {[]byte{compound, 9, 0}, 0},
		"label too long":   {[]byte{labelled, 200, 1}, 0},
	} {
		if got := factsIn(c.packet); got != c.want {
			t.Errorf("%s: %d bytes, want %d", name, got, c.want)
		}
	}
}

// An unknown mode is an error.
func TestModes(t *testing.T) {
	if _, err := Start(Spec{Mode: "ring"}); err == nil {
		t.Error("an agent started in a mode that there is not")
	}
}
