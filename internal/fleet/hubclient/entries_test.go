// Tests that the agent uses neither outdated entries nor outdated documents from hubs.

package hubclient

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/residency"
)

// The agent does not use entries that were delayed in transit beyond their age bound and then arrive together.
func TestDelayedEntriesAreNotUsed(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	proxy := newCuttableProxy(t, a.addr)
	agent := newTestAgent(t, func(c *Config) {
		c.Hubs[0].Addr = proxy.addr
		c.AgeBounds = gossip.AgeBounds{gossip.FleetSize: 700 * time.Millisecond}
	}, a)
	waitFor(t, "an even quota", agent.hasQuota(1./10))
	waitFor(t, "an echo of a state", agent.hasEchoedState)
	proxy.fromHub.Store(delaying)
	a.mu.Lock()
	a.fleetSize.Dead = 5 // in frames that the proxy delays
	a.mu.Unlock()
	before := a.seq.Load()
	waitFor(t, "frames delayed by the proxy", func() bool { return a.seq.Load() > before+6 })
	a.withholdsEntries.Store(true)
	time.Sleep(time.Second) // the delayed entries exceed their age bound (700 ms) during this time; there is no condition to wait for
	proxy.fromHub.Store(forwarding)
	rejectedBefore := agent.store.Stats().Kinds["census"].Rejected
	waitFor(t, "rejection of the delayed entries", func() bool {
		return agent.store.Stats().Kinds["census"].Rejected > rejectedBefore
	})
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if slices.Contains(agent.quotas, 1./5) {
		t.Errorf("the agent used a delayed entry: quotas %v, want none of 0.2", agent.quotas)
	}
}

// The version of a document never decreases: the agent does not fetch an older policy from a hub that publishes one.
func TestOlderPolicyIsNotFetched(t *testing.T) {
	t.Parallel()
	text := func(v string) string {
		return "version = " + v + "\n[regions]\nr = [\"a\"]\n[others]\npermitted = [\"*\"]\n"
	}
	holder := residency.NewHolder([]string{"a", "b"}, time.Minute, false, slog.New(slog.DiscardHandler), nil)
	if err := holder.Apply(3, text("3")); err != nil {
		t.Fatal(err)
	}
	a, b := newFakeHub(t, "a"), newFakeHub(t, "b")
	a.policy = documents.AppliedVersion{Version: 3, Digests: []string{residency.Digest(text("3"))}}
	b.policy, b.rttMicros = documents.AppliedVersion{Version: 2, Digests: []string{"older"}}, 7000
	agent := newTestAgent(t, func(c *Config) { c.Residency = holder }, a, b)
	waitFor(t, "attachment to a", agent.attachedTo("a"))
	waitFor(t, "confirmation of the policy by a", func() bool { return !holder.State().Stale })
	a.kill()
	waitFor(t, "the latency published by b", agent.hasRTT(7*time.Millisecond))
	b.mu.Lock()
	b.policy = documents.AppliedVersion{Version: 4, Digests: []string{"newer"}}
	b.mu.Unlock()
	fetches := func(digest string) (n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, d := range b.fetched {
			if d == digest {
				n++
			}
		}
		return n
	}
	// An agent that fetches older texts requests the older text before its second request for the newer text.
	waitFor(t, "a second fetch of the newer text", func() bool { return fetches("newer") > 1 })
	if fetches("older") > 0 || agent.Status().PolicyVersion != 3 {
		t.Errorf("the agent fetched the older text %d times and applied version %d, want 0 fetches and version 3", fetches("older"), agent.Status().PolicyVersion)
	}
}
