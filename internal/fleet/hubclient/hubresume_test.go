// Test of a hub that is suspended and resumed: it sends nothing stale.

package hubclient

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// A hub is suspended for 10 s. Meanwhile an agent that it knew to be dead is restarted, another one dies, and there
// are new settings. When it resumes, it sends nothing outdated: it reports no agent as dead and confirms no quota
// until it has received from the other hubs for as long as such entries are valid, and it publishes the old settings
// no longer than it takes to fetch the new ones. One sequence of events, longer than 40 lines: each step needs the one
// before.
func TestResumedHubSendsNothingStale(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 12, false, "a", "b", "c")
	cluster.preferredCheckInterval = 2 * time.Second
	defer cluster.monitor.stopAndCheck(t)
	cluster.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	atA := cluster.startAgents("a", 4)
	agents := append(append(cluster.startAgents("b", 2), cluster.startAgents("c", 2)...), atA[0], atA[2])
	waitFor(t, "the agents at their preferred hub", allOf(atA, attachedTo("a")))
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	waitFor(t, "an even quota for each", allOf(agents, hasQuota(1./12)))
	messages := make(chan receivedMessage, 100000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go receiveFrom(ctx, cluster.hubs["a"].addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	atA[3].kill()
	waitFor(t, "a share of the dead agent's quota", allOf(agents, hasQuota(1./11)))
	waitFor(t, "a fleet size without it, which the others use while this hub is unreachable",
		allOf(agents, func(status Status) bool { return status.FleetSize.Attached == 8 }))

	stoppedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGSTOP)
	cluster.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	restarted := cluster.startAgent("a", 3, "a 3")
	// Also the agent that dies moves before: otherwise only the suspended hub would know it.
	waitFor(t, "attachment to another hub", allOf(append(agents[:len(agents):len(agents)], atA[1]), attachedTo("bc")))
	atA[1].kill()
	agents = append(agents, restarted)
	waitFor(t, "attachment of the restarted agent", allOf(agents, attachedTo("bc")))
	cluster.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings without the suspended hub", allOf(agents, hasSettings(3)))
	waitFor(t, "a share of the other dead agent's quota", allOf(agents, hasQuota(1./11)))
	time.Sleep(time.Until(stoppedAt.Add(10 * time.Second))) // the minimum suspension
	for len(messages) > 0 {
		<-messages
	}
	resumedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGCONT)
	checkResumed(t, messages, resumedAt)
	waitFor(t, "the agents of a at their preferred hub", allOf([]*clusterAgent{atA[0], atA[2], restarted}, attachedTo("a")))
	waitFor(t, "a share of the dead agent's quota", allOf(agents, hasQuota(1./11)))
}

// checkResumed checks what a hub sends after it has resumed: for 6 s, and until it publishes settings 3.
func checkResumed(t *testing.T, messages <-chan receivedMessage, resumedAt time.Time) {
	t.Helper()
	var received, withSettings int
	var lastOld time.Duration
	for newest := int64(0); newest < 3 || time.Since(resumedAt) < 6*time.Second; {
		select {
		case message := <-messages:
			received++
			since := message.at.Sub(resumedAt)
			if message.settings >= 0 {
				withSettings++
				if message.settings < newest {
					t.Errorf("settings %d after %d", message.settings, newest)
				}
				if newest = message.settings; newest < 3 {
					lastOld = since
				}
			}
			if since < 2500*time.Millisecond && (message.dead > 0 || message.quotaConfirmed) {
				t.Errorf("%v after it resumed: %d dead, quota confirmed %v", since, message.dead, message.quotaConfirmed)
			}
			if message.dead > 1 {
				t.Errorf("%v after it resumed: %d dead, want one at most", since, message.dead)
			}
		case <-time.After(waitTimeout):
			t.Fatal("the hub sends nothing any more")
		}
	}
	t.Logf("%d messages received, %d with settings; the last outdated one after %v", received, withSettings, lastOld)
	if lastOld > 3*time.Second {
		t.Errorf("outdated settings were sent for %v", lastOld)
	}
}
