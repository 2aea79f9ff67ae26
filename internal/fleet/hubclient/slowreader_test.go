// Test that agents which do not read use little memory of their hub and do not delay messages to other agents.

package hubclient

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// With 100 agents that never read, the hub uses at most 64 KiB of memory for each, and still sends messages to the
// other agents every second.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	t.Parallel()
	const slowReaderCount = 100
	m := newMonitor()
	c := &cluster{t: t, monitor: m, maxAgents: slowReaderCount + 10, hubs: map[string]*hubProcess{}, stateDir: t.TempDir()}
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
	readers := startSlowReaders(ctx, t, hub.addr, slowReaderCount)
	versions, maxHeap := readers.awaitDrops(t, hub, slowReaderCount)
	longest := longestInterval(messages)
	t.Logf("heap and stacks %d KiB before, %d KiB at most; the longest interval between messages %v; %d versions",
		before>>10, maxHeap>>10, longest, versions)
	if longest > 1500*time.Millisecond {
		t.Errorf("the listener received no message for %v, want 1.5 s at most", longest)
	}
	if maxHeap > before+slowReaderCount*64<<10 {
		t.Errorf("the hub uses %d bytes for each slow reader, want 64 KiB at most", (maxHeap-before)/slowReaderCount)
	}
	if !allOf(agents, attachedTo("a"))() {
		t.Error("an agent is not attached to hub a, want all attached")
	}
	cancel()
	readers.tasks.Wait()
}

// slowReaders are agents that attach repeatedly, send states and never read.
type slowReaders struct {
	attached, dropped atomic.Int32 // number of open streams; number of streams that the hub ended
	tasks             sync.WaitGroup
}

// startSlowReaders starts count agents, which run until ctx ends.
func startSlowReaders(ctx context.Context, t *testing.T, addr string, count int) *slowReaders {
	t.Helper()
	r := &slowReaders{}
	for i := range count {
		r.tasks.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				conn, _, err := dialHub(addr, t.Name(), fmt.Sprint("slow ", i), 2048)
				if err != nil {
					continue
				}
				r.attached.Add(1)
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				sendStates(conn)
				stop()
				conn.Close()
				r.attached.Add(-1)
				r.dropped.Add(1)
			}
		})
	}
	return r
}

// awaitDrops applies new settings at the hub, which sends them to all agents, until the hub has ended count streams. It
// returns the number of versions that this took, and the maximum of the hub's heap and stacks in bytes while more than
// half of the readers were attached.
func (r *slowReaders) awaitDrops(t *testing.T, hub *hubProcess, count int32) (versions int, maxHeap uint64) {
	t.Helper()
	version := 1
	waitFor(t, "as many ended streams as slow readers", func() bool {
		hub.execute(t, hubCommand{Settings: settingsText(version, 3)})
		version++
		if heap := hub.execute(t, hubCommand{Heap: true}).Heap; r.attached.Load() > count/2 {
			maxHeap = max(maxHeap, heap)
		}
		return r.dropped.Load() >= count
	})
	return version - 1, maxHeap
}

// longestInterval drains messages and returns the longest time between two consecutive messages.
func longestInterval(messages <-chan receivedMessage) time.Duration {
	var longest time.Duration
	last := time.Time{}
	for len(messages) > 0 {
		message := <-messages
		if !last.IsZero() {
			longest = max(longest, message.at.Sub(last))
		}
		last = message.at
	}
	return longest
}
