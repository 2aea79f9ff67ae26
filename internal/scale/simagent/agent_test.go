package simagent

// Tests of a simulated agent's start.

import "testing"

// An unknown mode is an error.
func TestStartRejectsAnUnknownMode(t *testing.T) {
	if _, err := Start(Spec{Mode: "ring"}); err == nil {
		t.Error("an agent started in a mode that there is not")
	}
}
