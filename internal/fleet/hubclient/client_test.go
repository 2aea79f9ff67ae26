package hubclient

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/residency"
)

// runTask runs a task, and returns what ends it and waits for that.
func runTask(t *testing.T, task func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := task(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func (a *testAgent) attachedTo(hub string) func() bool {
	return func() bool { return a.Status().Hub == hub }
}
func (a *testAgent) hasQuota(quota float64) func() bool {
	return func() bool { return a.Status().Quota == quota }
}

func (a *testAgent) hasRTT(d time.Duration) func() bool {
	return func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.rtts) == 2 && a.rtts[1] == d }
}

// expectEvent is the next thing that came to a hub.
func (h *fakeHub) expectEvent(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-h.events:
		if got != want {
			t.Errorf("%s heard %q, not %q", h.name, got, want)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("%s never heard %q", h.name, want)
	}
}

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

func (a *attachment) hasEchoedState() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.echoedStateSentAt.IsZero()
}

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

// Without hubs the flat fleet runs, and ends when one is back. The address never refuses a connection meanwhile, and no part
// is above what both rules give.
func TestFallBackToMeshAndReturn(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	a.kill()
	a.fleetSize = hub.FleetSize{Attached: 2, Dead: 5}
	agent := newTestAgent(t, func(c *Config) {
		c.NewMesh = func(listener *net.TCPListener, startedAt time.Time, callbacks fleet.Callbacks) (*fleet.Fleet, error) {
			return fleet.New(fleet.Config{Name: "x", Site: "a", Listen: listener.Addr().String(), Listener: listener, StartedAt: startedAt, Label: "l", MaxMembers: 10, ListRate: 50,
				Log: slog.New(slog.DiscardHandler)}, []string{"a", "b"}, callbacks)
		}
	}, a)
	addr := agent.listener.address()
	refused := make(chan int)
	stop := make(chan struct{})
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				refused <- n
				return
			default:
			}
			c, err := net.Dial("tcp", addr)
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				n++
			}
			if err == nil {
				c.Close()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	waitFor(t, "the flat fleet", func() bool { return agent.Status().MeshRunning })
	waitFor(t, "an even part", agent.hasQuota(1./10))
	a.start(t, a.addr)
	waitFor(t, "the part by a's word", agent.hasQuota(1./5))
	if agent.Status().MeshRunning {
		t.Error("the flat fleet still runs")
	}
	close(stop)
	if n := <-refused; n > 0 {
		t.Errorf("%d connections were refused", n)
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if !slices.Equal(agent.quotas, []float64{startupQuota / 10, 1. / 10, 1. / 5}) {
		t.Errorf("parts %v", agent.quotas)
	}
}
