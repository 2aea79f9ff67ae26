// This file tests the rule that the quotas in use never add up to more than the limit.

package hub

import (
	"testing"
	"testing/synctest"
	"time"
)

// Whatever happens in whatever order, the quotas of all live agents never add up to more than 1.1 of the limit; and the
// quotas of dead agents are used once the fleet is quiet.
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
				t.Errorf("seed %d: seven agents are dead, and the quotas of the others add up to %v", seed, sum)
			}
		})
	}
}
