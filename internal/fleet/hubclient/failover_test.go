// Tests of failover between fake hubs: when the agent leaves a hub, which hub it attaches to, and when it returns.

package hubclient

import (
	"testing"
	"time"

	"martenbeam/internal/fleet/hub"
)

// When an agent's hub is killed, the agent attaches to the next hub and uses the entries of the next hub. When the
// preferred hub is available again, the agent opens an attachment to the preferred hub before it closes the other
// attachment, and sends no Leave on the closed attachment. When the agent ends, its hub receives a Leave before the end
// of the stream.
func TestAgentFailsOverAndReturnsToPreferredHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.fleetSize, b.fleetSize, b.rttMicros = hub.FleetSize{Attached: 3, Dead: 2}, hub.FleetSize{Attached: 4, Dead: 5}, 7000
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the quota by a's fleet size", agent.hasQuota(1./8))
	waitFor(t, "the latency published by a", agent.hasRTT(time.Millisecond))
	if agent.mu.Lock(); agent.quotas[0] != 0.01 {
		t.Errorf("first quota %v, want the startup quota 0.01", agent.quotas[0])
	}
	agent.mu.Unlock()
	a.expectEvent(t, "hello")
	a.kill()
	a.expectEvent(t, "end")
	waitFor(t, "attachment to b", agent.attachedTo("b"))
	waitFor(t, "the quota by b's fleet size", agent.hasQuota(1./5))
	waitFor(t, "the latency published by b", agent.hasRTT(7*time.Millisecond))
	b.expectEvent(t, "hello")
	a.start(t, a.addr)
	a.expectEvent(t, "hello")
	b.expectEvent(t, "end")
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	agent.stop()
	a.expectEvent(t, "leave")
	a.expectEvent(t, "end")
}

// When a hub sends nothing while its stream stays open, the agent attaches to another hub, and returns when the first
// hub sends again. While the agent is at a hub that sends no entries, the fleet size expires and the quota becomes
// even.
func TestAgentLeavesUnresponsiveHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.fleetSize = hub.FleetSize{Dead: 5}
	b.withholdsEntries.Store(true)
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the quota by a's fleet size", agent.hasQuota(1./5))
	a.unresponsive.Store(true)
	waitFor(t, "attachment to b", agent.attachedTo("b"))
	waitFor(t, "an even quota", agent.hasQuota(1./10))
	a.unresponsive.Store(false)
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	waitFor(t, "the quota by a's fleet size", agent.hasQuota(1./5))
}

// When one direction of the path to a hub is cut, the agent attaches to another hub, although the other direction still
// works.
func TestAgentLeavesHubCutInOneDirection(t *testing.T) {
	for name, cut := range map[string]func(*cuttableProxy){
		"to hub":   func(p *cuttableProxy) { p.toHub.Store(discarding) },
		"from hub": func(p *cuttableProxy) { p.fromHub.Store(discarding) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
			proxy := newCuttableProxy(t, a.addr)
			agent := newTestAgent(t, func(c *Config) { c.Hubs[0].Addr = proxy.addr }, a, b)
			waitFor(t, "attachment to a", agent.attachedTo("a"))
			waitFor(t, "an echoed state", agent.hasEchoedState)
			cut(proxy)
			waitFor(t, "attachment to b", agent.attachedTo("b"))
		})
	}
}

// The agent leaves a hub whose messages are repeatedly slow.
func TestAgentLeavesSlowHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	waitFor(t, "an echoed state", agent.hasEchoedState)
	a.mu.Lock()
	a.startedAt = a.startedAt.Add(1500 * time.Millisecond) // the clock in a's messages falls by 1.5 s, so that their transit appears 1.5 s longer
	a.mu.Unlock()
	waitFor(t, "attachment to b", agent.attachedTo("b"))
}

// The agent waits for at least the delay in a hub's Busy reply before it retries this hub.
func TestAgentHonoursBusyDelay(t *testing.T) {
	t.Parallel()
	const retryAfter = 400 * time.Millisecond
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.busyFor.Store(int64(retryAfter))
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	a.mu.Lock()
	defer a.mu.Unlock()
	if waited := a.helloAt[1].Sub(a.helloAt[0]); waited < retryAfter {
		t.Errorf("the agent retried after %v, want the requested 400 ms at least", waited)
	}
}

// The agent stays attached to a hub of an older program, which sends neither echoes, nor a confirmation of the quota,
// nor a fleet size. The agent uses an even quota once the age bound of the fleet size has passed since the start.
func TestAgentStaysAtOlderHub(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	a.olderProgram = true
	agent := newTestAgent(t, nil, a)
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	waitFor(t, "an even quota", agent.hasQuota(1./10))
	if agent.Status().Hub != "a" {
		t.Error("the agent is no longer attached to hub a, want a lasting attachment")
	}
}
