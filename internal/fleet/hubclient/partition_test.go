// Tests of network partitions: a hub that is cut off in one direction, and two regions that are cut off from each
// other.

package hubclient

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/settings"
)

// cutPaths returns cuts of the paths to hubs and to agents. Each letter of hubs is a zone whose hub is cut off, and each
// letter of agents is a zone whose first 20 agents are cut off.
func cutPaths(cut uint8, hubs, agents string) map[string]uint8 {
	m := map[string]uint8{}
	for _, z := range hubs {
		m[hubIP(string(z))] = cut
	}
	for _, z := range agents {
		for i := range 20 {
			m[agentIP(string(z), i)] = cut
		}
	}
	return m
}

// A hub is cut off in one direction, from all agents or from the other hubs. If it is cut off from agents, its agents
// move to another hub. No agent is reported as dead, and settings that are applied during the cut reach all agents
// within 14 s, or within 14 s of the end of the cut if the hub is cut off from other hubs.
func TestHubCutInOneDirection(t *testing.T) {
	for name, test := range map[string]struct {
		cut           map[string]uint8
		isolatedZones string // zones whose agents receive a fleet size without the other zones; "": none
	}{
		"from agents": {cutPaths(cutInbound, "", "abc"), ""},
		"to agents":   {cutPaths(cutOutbound, "", "abc"), ""},
		"from hubs":   {cutPaths(cutInbound, "bc", ""), "a"},
		"to hubs":     {cutPaths(cutOutbound, "bc", ""), "bc"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testHubCut(t, test.cut, test.isolatedZones)
		})
	}
}

// testHubCut applies a cut to hub a and then ends it. During the cut, the agents of isolatedZones receive a fleet
// size without the other zones.
func testHubCut(t *testing.T, cut map[string]uint8, isolatedZones string) {
	c := newCluster(t, 6, false, "a", "b", "c")
	c.preferredCheckInterval = 2 * time.Second
	defer c.monitor.stopAndCheck(t)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	agentsOfA := c.startAgents("a", 2)
	agents := append(append(c.startAgents("b", 2), c.startAgents("c", 2)...), agentsOfA...)
	waitFor(t, "the agents at their preferred hub", allOf(agentsOfA, attachedTo("a")))
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	waitFor(t, "an even quota for each", allOf(agents, hasQuota(1./6)))
	waitFor(t, "a fleet size of all", allOf(agents, func(status Status) bool { return status.FleetSize.Attached == 6 }))
	c.monitor.require(1./8, true) // while an agent changes hubs, both hubs may count it
	c.hubs["a"].execute(t, hubCommand{Cut: cut})
	cutAt := time.Now()
	c.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	if isolatedZones != "" {
		waitFor(t, "the new settings at the agents of the other hubs", allOf(agents[:4], hasSettings(2)))
		connected := map[string][]*clusterAgent{"a": agentsOfA, "bc": agents[:4]}[isolatedZones]
		waitFor(t, "a fleet size of the agents of these zones only",
			allOf(connected, func(status Status) bool { return int(status.FleetSize.Attached) == len(connected) }))
	} else {
		waitFor(t, "attachment to another hub", allOf(agentsOfA, attachedTo("bc")))
		waitWithin(t, "the settings at all agents", 14*time.Second, cutAt, allOf(agents, hasSettings(2)))
	}
	c.hubs["a"].execute(t, hubCommand{Cut: map[string]uint8{}})
	waitWithin(t, "the settings at all agents", 14*time.Second, time.Now(), allOf(agents, hasSettings(2)))
	waitFor(t, "the agents at their preferred hub", allOf(agentsOfA, attachedTo("a")))
	waitFor(t, "a fleet size of all", allOf(agents, func(status Status) bool { return status.FleetSize.Attached == 6 }))
}

// firstDigestIs returns a condition: the first digest of the agent's settings is digest.
func firstDigestIs(digest string) func(a *clusterAgent) bool {
	return func(a *clusterAgent) bool { return a.settings.State().Digests[0] == digest }
}

// Two regions are cut off from each other. Each side receives new settings, one of its agents dies, and another of its
// agents is restarted on the other side. When the cut ends, all agents apply the higher version, and share the quotas
// of the dead agents. During a second cut the sides receive different texts of the same version: after the cut each
// side keeps its own text and reports the conflict until there is a higher version. The test is a sequence of
// dependent steps, and therefore longer than 40 lines.
func TestRegionsPartitionedAndRejoined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 12, false, "a", "b", "c", "d")
	defer c.monitor.stopAndCheck(t)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	sides := [2][]*clusterAgent{append(c.startAgents("a", 3), c.startAgents("b", 3)...),
		append(c.startAgents("c", 3), c.startAgents("d", 3)...)}
	allAgents := func() []*clusterAgent { return append(append([]*clusterAgent(nil), sides[0]...), sides[1]...) }
	waitFor(t, "the first settings", allOf(allAgents(), hasSettings(1)))
	waitFor(t, "an even quota for each", allOf(allAgents(), hasQuota(1./12)))
	c.partitionRegions(sides)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	c.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings of the first side", allOf(sides[0], hasSettings(2)))
	waitFor(t, "the settings of the second side", allOf(sides[1], hasSettings(3)))
	for i, zone := range []string{"c", "b"} {
		sides[i][0].kill()
		restarted := sides[i][1]
		restarted.kill()
		sides[i] = sides[i][2:]
		sides[1-i] = append(sides[1-i], c.startAgent(zone, 9, restarted.cfg.Name))
	}
	waitFor(t, "attachment of all agents", allOf(allAgents(), attachedTo("abcd")))
	waitFor(t, "a share of the dead agents' quotas", allOf(allAgents(), func(status Status) bool { return status.Quota > 1./12 }))
	startedAt := time.Now()
	c.rejoinRegions(allAgents())
	waitWithin(t, "the higher version of the settings at all agents", 14*time.Second, startedAt, allOf(allAgents(), hasSettings(3)))
	waitFor(t, "a share of the quotas of two dead agents", allOf(allAgents(), hasQuota(1./10)))

	c.partitionRegions(sides)
	firstText, secondText := settingsText(5, 2), settingsText(5, 6)
	c.hubs["b"].execute(t, hubCommand{Settings: firstText})
	c.hubs["d"].execute(t, hubCommand{Settings: secondText})
	digests := [2]string{settings.Digest(firstText), settings.Digest(secondText)}
	waitFor(t, "version 5 of the settings on each side", allOf(allAgents(), hasSettings(5)))
	c.rejoinRegions(allAgents())
	waitFor(t, "a report of the conflict by all agents", func() bool {
		for _, a := range allAgents() {
			if !strings.Contains(a.settings.Status().Reason, "2 texts have version 5") {
				return false
			}
		}
		return true
	})
	for i, side := range sides {
		for _, a := range side {
			if !firstDigestIs(digests[i])(a) {
				t.Errorf("%s does not list the text of its side first", a.cfg.Name)
			}
		}
	}
	startedAt = time.Now()
	c.hubs["d"].execute(t, hubCommand{Settings: settingsText(6, 2)})
	waitWithin(t, "version 6 of the settings at all agents", 14*time.Second, startedAt,
		allOf(allAgents(), func(status Status) bool { return status.SettingsVersion == 6 }))
	for _, a := range allAgents() {
		if reason := a.settings.Status().Reason; reason != "" {
			t.Errorf("%s still reports %q, want no reason", a.cfg.Name, reason)
		}
	}
}

// partitionRegions cuts zones a and b off from c and d, and waits until each side has a fleet size of its own agents.
func (c *cluster) partitionRegions(sides [2][]*clusterAgent) {
	t := c.t
	t.Helper()
	for z, h := range c.hubs {
		other := "cd"
		if z > "b" {
			other = "ab"
		}
		h.execute(t, hubCommand{Cut: cutPaths(cutInbound|cutOutbound, other, other)})
	}
	for i, side := range sides {
		waitFor(t, fmt.Sprint("a fleet size of side ", i, " without the other side"),
			allOf(side, func(status Status) bool { return int(status.FleetSize.Attached) == len(side) }))
	}
}

// rejoinRegions ends all cuts, and waits until all agents have a fleet size of all agents.
func (c *cluster) rejoinRegions(agents []*clusterAgent) {
	t := c.t
	t.Helper()
	for _, h := range c.hubs {
		h.execute(t, hubCommand{Cut: map[string]uint8{}})
	}
	waitFor(t, "a fleet size of all",
		allOf(agents, func(status Status) bool { return int(status.FleetSize.Attached) == len(agents) }))
}
