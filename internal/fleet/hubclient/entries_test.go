// Tests of what an agent makes of the entries of a hub: old ones, and older documents.

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

// What stood still on its way for longer than its bound comes all at once, and is not used.
func TestDelayedEntriesAreNotUsed(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	proxy := newCuttableProxy(t, a.addr)
	agent := newTestAgent(t, func(c *Config) {
		c.Hubs[0].Addr = proxy.addr
		c.Bounds = gossip.AgeBounds{gossip.FleetSize: 700 * time.Millisecond}
	}, a)
	waitFor(t, "an even part", agent.hasQuota(1./10))
	waitFor(t, "a state that came back", func() bool { return agent.attachment.hasEchoedState() })
	proxy.fromHub.Store(holding)
	a.mu.Lock()
	a.fleetSize.Dead = 5 // in frames that are kept on the way
	a.mu.Unlock()
	before := a.seq.Load()
	waitFor(t, "frames that are kept", func() bool { return a.seq.Load() > before+6 })
	a.withholdsEntries.Store(true)
	time.Sleep(time.Second) // so old they are to be at the least; nothing waits for it
	proxy.fromHub.Store(forwarding)
	refusedBefore := agent.store.Stats().Kinds["census"].Rejected
	waitFor(t, "the old frames", func() bool { return agent.store.Stats().Kinds["census"].Rejected > refusedBefore })
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if slices.Contains(agent.quotas, 1./5) {
		t.Errorf("an old word was used: parts %v", agent.quotas)
	}
}

// Policies never go back: a hub with an older version is not asked for its text.
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
	waitFor(t, "the stream to a", agent.attachedTo("a"))
	waitFor(t, "a's word", func() bool { return !holder.State().Stale })
	a.kill()
	waitFor(t, "b's word", agent.hasRTT(7*time.Millisecond))
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
	waitFor(t, "the newer text asked for again", func() bool { return fetches("newer") > 1 }) // the older's turn would be over by then
	if fetches("older") > 0 || agent.Status().PolicyVersion != 3 {
		t.Errorf("the older text was asked for %d times, version %d", fetches("older"), agent.Status().PolicyVersion)
	}
}
