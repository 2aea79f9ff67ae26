// Tests of a hub that is killed: settings still propagate, and its agents attach to other hubs without a burst.

package hubclient

import (
	"testing"
	"time"
)

// A hub and two of its agents are killed while another hub receives new settings. All remaining agents apply the
// settings and attach to other hubs within 14 s, and the restarted hub rejects older settings.
func TestSettingsSpreadWhileHubIsKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 24, false, "a", "b", "c", "d")
	defer c.monitor.stopAndCheck(t)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	var agents []*clusterAgent
	for _, z := range []string{"a", "b", "c", "d"} {
		agents = append(agents, c.startAgents(z, 6)...)
	}
	for i, z := range []string{"a", "b", "c", "d"} {
		waitFor(t, "the agents of "+z+" at their preferred hub", allOf(agents[6*i:6*i+6], attachedTo(z)))
	}
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	c.hubs["c"].execute(t, hubCommand{Policy: policyText(1)})
	waitFor(t, "the first policy", allOf(agents, func(status Status) bool { return status.PolicyVersion == 1 }))
	waitFor(t, "an even quota for each", allOf(agents, hasQuota(1./24)))
	killedAt := time.Now()
	c.hubs["a"].kill()
	agents[0].kill()
	agents[1].kill()
	c.hubs["d"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	waitWithin(t, "the new settings at all remaining agents", 14*time.Second, killedAt, allOf(agents[2:], hasSettings(2)))
	waitWithin(t, "attachment of all remaining agents", 14*time.Second, killedAt, allOf(agents[2:], attachedTo("bcd")))
	c.restartHub("a")
	waitFor(t, "rejection of older settings by the restarted hub", func() bool {
		return c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)}).Error != ""
	})
}

// When 257 agents lose their hub at the same time, no other hub receives more than 100 Hellos in any second, all agents
// are attached again within 10 s, and each agent keeps at least half an even quota throughout. When the hub is available
// again, the agents return. In any second, at most twice as many return as with an even spread over
// preferredCheckInterval (6 s).
func TestAgentsOfLostHubMoveWithoutBurst(t *testing.T) {
	t.Parallel()
	const agentCount = 257
	c := newCluster(t, agentCount, true, "a", "b", "c", "d")
	c.singleRegion, c.preferredCheckInterval = true, 6*time.Second
	defer c.monitor.stopAndCheck(t)
	agents := c.startAgents("a", agentCount)
	waitFor(t, "all agents at their preferred hub", allOf(agents, attachedTo("a")))
	waitFor(t, "an even quota for each", allOf(agents, hasQuota(1./agentCount)))
	c.monitor.require(1./(2*agentCount), true) // while an agent changes hubs, both hubs may count it
	startedAt := time.Now()
	c.hubs["a"].kill()
	waitFor(t, "loss of an attachment", func() bool { return !allOf(agents, attachedTo("a"))() })
	waitWithin(t, "all agents at other hubs", 10*time.Second, startedAt, allOf(agents, attachedTo("bcd")))
	for _, z := range []string{"b", "c", "d"} {
		peak, hellos := c.hubs[z].helloRate(startedAt)
		t.Logf("hub %s: %d hellos, %d in the busiest second", z, hellos, peak)
		if peak > 100 || hellos < agentCount/10 {
			t.Errorf("hub %s: %d hellos, %d in the busiest second; want a tenth of the agents at least, and 100 a second at most", z, hellos, peak)
		}
	}
	startedAt = time.Now()
	c.restartHub("a")
	// An agent tries the preferred hub again after at most 1.5 intervals. On a busy machine one attempt may fail.
	waitWithin(t, "all agents at their preferred hub again", 3*c.preferredCheckInterval, startedAt, allOf(agents, attachedTo("a")))
	peak, hellos := c.hubs["a"].helloRate(startedAt)
	t.Logf("preferred hub: %d hellos, %d in the busiest second", hellos, peak)
	if peak > 2*agentCount/int(c.preferredCheckInterval/time.Second) {
		t.Errorf("%d hellos at the preferred hub in the busiest second, want at most twice the number of an even spread over 6 s", peak)
	}
}
