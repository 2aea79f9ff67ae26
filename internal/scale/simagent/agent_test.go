package simagent

// Tests of a simulated agent's start.

import "testing"

func TestStartRejectsAnUnknownMode(t *testing.T) {
	if _, err := Start(Spec{Mode: "ring"}); err == nil {
		t.Error("Start accepted the unknown mode ring, want an error")
	}
}
