// Tests of attachments to fake hubs: when the agent leaves a hub, where it goes, and when it returns.

package hubclient

import (
	"testing"
	"time"

	"martenbeam/internal/fleet/hub"
)

// A hub is killed: the next one has the agent, and what that one tells holds. The agent's own hub comes back: the agent goes
// home, attached there before it lets go, without a goodbye. It ends: its hub hears a goodbye, and then the end.
func TestAgentFailsOverAndReturnsToPreferredHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.fleetSize, b.fleetSize, b.rttMicros = hub.FleetSize{Attached: 3, Dead: 2}, hub.FleetSize{Attached: 4, Dead: 5}, 7000
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the part by a's word", agent.hasQuota(1./8))
	waitFor(t, "the distances by a's word", agent.hasRTT(time.Millisecond))
	if agent.mu.Lock(); agent.quotas[0] != 0.01 {
		t.Errorf("it starts with a part of %v", agent.quotas[0])
	}
	agent.mu.Unlock()
	a.expectEvent(t, "hello")
	a.kill()
	a.expectEvent(t, "end")
	waitFor(t, "the stream to b", agent.attachedTo("b"))
	waitFor(t, "the part by b's word", agent.hasQuota(1./5))
	waitFor(t, "the distances by b's word", agent.hasRTT(7*time.Millisecond))
	b.expectEvent(t, "hello")
	a.start(t, a.addr)
	a.expectEvent(t, "hello")
	b.expectEvent(t, "end")
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	agent.stop()
	a.expectEvent(t, "bye")
	a.expectEvent(t, "end")
}

// A hub falls silent, and its stream stays: the agent goes to another, and home when it speaks again. Meanwhile the word of
// who is dead grows too old, and only an even part is left.
func TestAgentLeavesUnresponsiveHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.fleetSize = hub.FleetSize{Dead: 5}
	b.withholdsEntries.Store(true)
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the part by a's word", agent.hasQuota(1./5))
	a.unresponsive.Store(true)
	waitFor(t, "the stream to b", agent.attachedTo("b"))
	waitFor(t, "an even part", agent.hasQuota(1./10))
	a.unresponsive.Store(false)
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	waitFor(t, "the part by a's word", agent.hasQuota(1./5))
}

// The way to or from a hub is cut while the other way holds: the agent goes to another hub.
func TestAgentLeavesHubCutInOneDirection(t *testing.T) {
	for name, cut := range map[string]func(*cuttableProxy){"up": func(p *cuttableProxy) { p.toHub.Store(discarding) }, "down": func(p *cuttableProxy) { p.fromHub.Store(discarding) }} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
			proxy := newCuttableProxy(t, a.addr)
			agent := newTestAgent(t, func(c *Config) { c.Hubs[0].Addr = proxy.addr }, a, b)
			waitFor(t, "the stream to a", agent.attachedTo("a"))
			waitFor(t, "a state that came back", func() bool { return agent.attachment.hasEchoedState() })
			cut(proxy)
			waitFor(t, "the stream to b", agent.attachedTo("b"))
		})
	}
}

// A hub whose messages take longer and longer counts as failing.
func TestAgentLeavesSlowHub(t *testing.T) {
	t.Parallel()
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	waitFor(t, "a state that came back", func() bool { return agent.attachment.hasEchoedState() })
	a.mu.Lock()
	a.startedAt = a.startedAt.Add(1500 * time.Millisecond) // its words are as if written so long ago
	a.mu.Unlock()
	waitFor(t, "the stream to b", agent.attachedTo("b"))
}

// A busy hub is asked again when it said and no sooner, and after three times another is.
func TestAgentHonoursBusyDelay(t *testing.T) {
	t.Parallel()
	const after = 400 * time.Millisecond
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.busyFor.Store(int64(after))
	agent := newTestAgent(t, nil, a, b)
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	a.mu.Lock()
	defer a.mu.Unlock()
	if waited := a.helloAt[1].Sub(a.helloAt[0]); waited < after {
		t.Errorf("it came again after %v", waited)
	}
}

// A hub of an older program, which tells nothing but its name: the agent stays, and takes an even part in the end.
func TestAgentStaysAtOlderHub(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	a.olderProgram = true
	agent := newTestAgent(t, nil, a)
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	waitFor(t, "an even part", agent.hasQuota(1./10))
	if agent.Status().Hub != "a" {
		t.Error("it did not stay")
	}
}
