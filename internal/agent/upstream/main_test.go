package upstream

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine outlives the tests: each ends with its connection, its request or its agent.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
