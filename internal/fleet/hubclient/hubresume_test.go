// Test that a hub sends no stale state after it was suspended and resumed.

package hubclient

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// A hub is suspended for 10 s. During this time an agent that the hub has recorded as dead is restarted, another agent
// dies, and the other hubs receive new settings. When the hub resumes, it sends no outdated state: it reports no agent
// as dead and confirms no quota until it has received entries from the other hubs for the age bound of these entries,
// and it stops publishing the old settings once it has fetched the new ones. The test is a sequence of dependent
// steps, and therefore longer than 40 lines.
func TestResumedHubSendsNothingStale(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 12, false, "a", "b", "c")
	cluster.preferredCheckInterval = 2 * time.Second
	defer cluster.monitor.stopAndCheck(t)
	cluster.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	agentsOfA := cluster.startAgents("a", 4)
	agents := append(append(cluster.startAgents("b", 2), cluster.startAgents("c", 2)...), agentsOfA[0], agentsOfA[2])
	waitFor(t, "the agents at their preferred hub", allOf(agentsOfA, attachedTo("a")))
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	waitFor(t, "an even quota for each", allOf(agents, hasQuota(1./12)))
	messages := make(chan receivedMessage, 100000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go receiveFrom(ctx, cluster.hubs["a"].addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	agentsOfA[3].kill()
	waitFor(t, "a share of the dead agent's quota", allOf(agents, hasQuota(1./11)))
	waitFor(t, "a fleet size without the dead agent, which the agents use while hub a is unreachable",
		allOf(agents, func(status Status) bool { return status.FleetSize.Attached == 8 }))

	suspendedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGSTOP)
	cluster.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	restarted := cluster.startAgent("a", 3, "a 3")
	// The agent that dies moves to another hub first; otherwise only the suspended hub would have an entry for it.
	waitFor(t, "attachment to another hub", allOf(append(agents[:len(agents):len(agents)], agentsOfA[1]), attachedTo("bc")))
	agentsOfA[1].kill()
	agents = append(agents, restarted)
	waitFor(t, "attachment of the restarted agent", allOf(agents, attachedTo("bc")))
	cluster.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings without the suspended hub", allOf(agents, hasSettings(3)))
	waitFor(t, "a share of the other dead agent's quota", allOf(agents, hasQuota(1./11)))
	time.Sleep(time.Until(suspendedAt.Add(10 * time.Second))) // the minimum duration of the suspension
	for len(messages) > 0 {
		<-messages
	}
	resumedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGCONT)
	checkResumed(t, messages, resumedAt)
	waitFor(t, "the agents of a at their preferred hub", allOf([]*clusterAgent{agentsOfA[0], agentsOfA[2], restarted}, attachedTo("a")))
	waitFor(t, "a share of the dead agent's quota", allOf(agents, hasQuota(1./11)))
}

// checkResumed checks the messages of a hub after it has resumed, for at least 6 s and until the hub publishes version
// 3 of the settings.
func checkResumed(t *testing.T, messages <-chan receivedMessage, resumedAt time.Time) {
	t.Helper()
	var received, withSettings int
	var lastOutdated time.Duration
	for newest := int64(0); newest < 3 || time.Since(resumedAt) < 6*time.Second; {
		select {
		case message := <-messages:
			received++
			since := message.at.Sub(resumedAt)
			if message.settings >= 0 {
				withSettings++
				if message.settings < newest {
					t.Errorf("hub published version %d of the settings after version %d, want no decrease", message.settings, newest)
				}
				if newest = message.settings; newest < 3 {
					lastOutdated = since
				}
			}
			if since < 2500*time.Millisecond && (message.dead > 0 || message.quotaConfirmed) {
				t.Errorf("%v after the hub resumed: %d dead, quota confirmed %v; want neither within 2.5 s", since, message.dead, message.quotaConfirmed)
			}
			if message.dead > 1 {
				t.Errorf("%v after the hub resumed: %d dead, want 1 at most", since, message.dead)
			}
		case <-time.After(waitTimeout):
			t.Fatal("the hub stopped sending messages")
		}
	}
	t.Logf("%d messages received, %d with settings; the last outdated settings %v after the hub resumed", received, withSettings, lastOutdated)
	if lastOutdated > 3*time.Second {
		t.Errorf("the hub published outdated settings for %v, want 3 s at most", lastOutdated)
	}
}
