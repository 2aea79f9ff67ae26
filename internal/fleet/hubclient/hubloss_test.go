// Tests of a hub that is killed: settings still spread, and its agents move without a burst.

package hubclient

import (
	"testing"
	"time"
)

// A hub is killed, and two of its agents with it, and settings are given to another hub at that moment: all that live have
// them within 14 s.
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
		waitFor(t, "the agents of "+z+" at home", allOf(agents[6*i:6*i+6], attachedTo(z)))
	}
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	c.hubs["c"].execute(t, hubCommand{Policy: policyText(1)})
	waitFor(t, "the first policy", allOf(agents, func(status Status) bool { return status.PolicyVersion == 1 }))
	waitFor(t, "an even part for each", allOf(agents, hasQuota(1./24)))
	killedAt := time.Now()
	c.hubs["a"].kill()
	agents[0].kill()
	agents[1].kill()
	c.hubs["d"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	waitWithin(t, "the settings at all that live", 14*time.Second, killedAt, allOf(agents[2:], hasSettings(2)))
	waitWithin(t, "a hub for each", 14*time.Second, killedAt, allOf(agents[2:], attachedTo("bcd")))
	c.restartHub("a")
	waitFor(t, "the second settings at the hub that is back", func() bool {
		return c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)}).Error != ""
	})
}

// 257 agents lose their hub at once: no other hub hears more than 100 hellos in a second, all are attached again within 10 s, and nobody is without a part
// meanwhile. The hub is back: they go home, no more than twice as many in a second as if they came evenly.
func TestAgentsOfLostHubMoveWithoutBurst(t *testing.T) {
	t.Parallel()
	const many = 257
	c := newCluster(t, many, true, "a", "b", "c", "d")
	c.singleRegion, c.preferredCheckInterval = true, 6*time.Second
	defer c.monitor.stopAndCheck(t)
	agents := c.startAgents("a", many)
	waitFor(t, "all at home", allOf(agents, attachedTo("a")))
	waitFor(t, "an even part for each", allOf(agents, hasQuota(1./many)))
	c.monitor.require(1./(2*many), true) // those that move are counted twice for a moment
	startedAt := time.Now()
	c.hubs["a"].kill()
	waitFor(t, "that it is lost", func() bool { return !allOf(agents, attachedTo("a"))() })
	waitWithin(t, "all at other hubs", 10*time.Second, startedAt, allOf(agents, attachedTo("bcd")))
	for _, z := range []string{"b", "c", "d"} {
		peak, hellos := c.hubs[z].helloRate(startedAt)
		t.Logf("hub %s: %d hellos, %d in the worst second", z, hellos, peak)
		if peak > 100 || hellos < many/10 {
			t.Errorf("hub %s: %d hellos, %d in the worst second", z, hellos, peak)
		}
	}
	startedAt = time.Now()
	c.restartHub("a")
	// Two looks for home are at most one and a half times n.home apart each; on a busy machine one may fail.
	waitWithin(t, "all at home again", 3*c.preferredCheckInterval, startedAt, allOf(agents, attachedTo("a")))
	peak, hellos := c.hubs["a"].helloRate(startedAt)
	t.Logf("home: %d hellos, %d in the worst second", hellos, peak)
	if peak > 2*many/int(c.preferredCheckInterval/time.Second) {
		t.Errorf("%d hellos at home in the worst second", peak)
	}
}
