// This file tests the rule that the quotas in use never add up to more than the limit.

package hub

import (
	"testing"
	"testing/synctest"
	"time"
)

// In any sequence of crashes, moves, restarts and partitions the quotas of all running agents never add up to more than
// 1.1 times the limit. Once the fleet is stable, the running agents use the quotas of the dead ones.
func TestQuotasStayWithinTheLimit(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			sim := startSimulation(t, seed)
			defer sim.stop()
			sim.run(6 * time.Second)
			for range 25 {
				sim.step()
				sim.run(time.Duration(sim.rand.IntN(3000)) * time.Millisecond)
			}
			sim.mu.Lock()
			sim.partitioned = false
			sim.mu.Unlock()
			for n, agent := range sim.agents {
				if agent.dead {
					sim.spawn(n)
				}
			}
			sim.run(10 * time.Second)
			for _, agent := range sim.agents[:7] {
				agent.kill(false)
			}
			sim.run(8 * time.Second)
			if sum := sim.quotaSum(); sum < 0.99 {
				t.Errorf("seed %d: after the death of seven agents the quotas of the others add up to %v of the limit, want at least 0.99", seed, sum)
			}
		})
	}
}
