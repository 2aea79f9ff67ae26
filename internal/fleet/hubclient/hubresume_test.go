// Test of a hub that is suspended and resumed: it sends nothing stale.

package hubclient

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// A hub is stopped for 10 s. Meanwhile one that it knew to be dead is back, another dies, and there are new settings. When it
// goes on, it says nothing of before: of nobody that he is dead and to nobody that his part is his own until it has heard the
// others for the bound of such a word, and the old settings no longer than it takes to ask for the new ones.
func TestResumedHubSendsNothingStale(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 12, false, "a", "b", "c")
	cluster.preferredCheckInterval = 2 * time.Second
	defer cluster.monitor.stopAndCheck(t)
	cluster.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	atA := cluster.startAgents("a", 4)
	agents := append(append(cluster.startAgents("b", 2), cluster.startAgents("c", 2)...), atA[0], atA[2])
	waitFor(t, "the agents at home", allOf(atA, attachedTo("a")))
	waitFor(t, "the first settings", allOf(agents, hasSettings(1)))
	waitFor(t, "an even part for each", allOf(agents, hasQuota(1./12)))
	messages := make(chan receivedMessage, 100000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go receiveFrom(ctx, cluster.hubs["a"].addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	atA[3].kill()
	waitFor(t, "their share of a dead one's part", allOf(agents, hasQuota(1./11)))
	waitFor(t, "a census without it, by which the others reckon while this hub is not heard", allOf(agents, func(status Status) bool { return status.FleetSize.Attached == 8 }))

	stoppedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGSTOP)
	cluster.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	restarted := cluster.startAgent("a", 3, "a 3")
	waitFor(t, "another hub", allOf(append(agents[:len(agents):len(agents)], atA[1]), attachedTo("bc"))) // the one that dies too: else only this hub knew it
	atA[1].kill()
	agents = append(agents, restarted)
	waitFor(t, "the one that is back", allOf(agents, attachedTo("bc")))
	cluster.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings without the hub that is stopped", allOf(agents, hasSettings(3)))
	waitFor(t, "their share of the other dead one's part", allOf(agents, hasQuota(1./11)))
	time.Sleep(time.Until(stoppedAt.Add(10 * time.Second))) // so long it is stopped at the least
	for len(messages) > 0 {
		<-messages
	}
	resumedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGCONT)
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
				t.Errorf("%v after it goes on: %d dead, sure %v", since, message.dead, message.quotaConfirmed)
			}
			if message.dead > 1 {
				t.Errorf("%v after it goes on: %d dead, and one is", since, message.dead)
			}
		case <-time.After(waitTimeout):
			t.Fatal("the hub says nothing any more")
		}
	}
	t.Logf("%d words heard, %d of settings; the last old one after %v", received, withSettings, lastOld)
	if lastOld > 3*time.Second {
		t.Errorf("old settings are told for %v", lastOld)
	}
	waitFor(t, "the agents of a at home", allOf([]*clusterAgent{atA[0], atA[2], restarted}, attachedTo("a")))
	waitFor(t, "the share of the dead one's part", allOf(agents, hasQuota(1./11)))
}
