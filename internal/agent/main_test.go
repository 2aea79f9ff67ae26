package agent

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine outlives the tests. Each goroutine has to end with its connection, request or agent.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
