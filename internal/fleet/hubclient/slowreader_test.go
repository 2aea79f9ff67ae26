// Test of agents that do not read: they cost their hub little and others nothing.

package hubclient

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// A hundred agents that never read cost their hub little memory each, and the others receive its messages each second
// meanwhile.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	t.Parallel()
	const slow = 100
	m := newMonitor()
	c := &cluster{t: t, monitor: m, maxAgents: slow + 10, hubs: map[string]*hubProcess{}, stateDir: t.TempDir()}
	defer m.stopAndCheck(t)
	c.hubs["a"] = startHubProcess(t, m, hubSpec{Name: "hub a", Site: "a", Listen: hubIP("a") + ":0",
		MaxAgents: c.maxAgents, SendBuffer: 4096, Untraced: true})
	hub := c.hubs["a"]
	agents := c.startAgents("a", 3)
	waitFor(t, "attachment of the agents", allOf(agents, attachedTo("a")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	messages := make(chan receivedMessage, 100000)
	go receiveFrom(ctx, hub.addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	waitFor(t, "messages at the listener", func() bool { return len(messages) > 0 })
	before := hub.execute(t, hubCommand{Heap: true}).Heap
	var dropped, attached atomic.Int32
	done := make(chan struct{}, slow)
	for i := range slow {
		go func() {
			defer func() { done <- struct{}{} }()
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				conn, _, err := dialHub(hub.addr, t.Name(), fmt.Sprint("slow ", i), 2048)
				if err != nil {
					continue
				}
				attached.Add(1)
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				sendStates(conn)
				stop()
				conn.Close()
				attached.Add(-1)
				dropped.Add(1)
			}
		}()
	}
	version, maxHeap := 1, uint64(0)
	waitFor(t, "the drop of each slow reader", func() bool { // new settings for everyone all the time
		hub.execute(t, hubCommand{Settings: settingsText(version, 3)})
		version++
		if m := hub.execute(t, hubCommand{Heap: true}).Heap; attached.Load() > slow/2 {
			maxHeap = max(maxHeap, m)
		}
		return dropped.Load() >= slow
	})
	var longest time.Duration
	last := time.Time{}
	for len(messages) > 0 {
		if message := <-messages; !last.IsZero() {
			longest = max(longest, message.at.Sub(last))
			last = message.at
		} else {
			last = message.at
		}
	}
	t.Logf("heap and stacks %d kB before, %d kB at most; the longest pause between messages %v; %d versions",
		before>>10, maxHeap>>10, longest, version-1)
	if longest > 1500*time.Millisecond {
		t.Errorf("no message was received for %v", longest)
	}
	if maxHeap > before+slow*64<<10 {
		t.Errorf("%d bytes for each slow reader", (maxHeap-before)/slow)
	}
	if !allOf(agents, attachedTo("a"))() {
		t.Error("an agent lost its hub")
	}
	cancel()
	for range slow {
		<-done
	}
}
