// Test of agents at real hubs, in one process.

package hubclient

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hub"
)

// startRealHub runs a hub as it is, and returns its address and what ends it.
func startRealHub(t *testing.T, name string, seeds ...string) (addr string, stop func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	server := hub.New(hub.Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: 10, Log: log})
	node, err := fleet.New(fleet.Config{Name: name, Site: name, Listen: "127.0.0.1:0", Seeds: seeds, Label: t.Name(), MaxMembers: 10, ListRate: 50, Hub: true, HTTPHandler: server, Log: log},
		[]string{"a", "b"}, fleet.Callbacks{})
	if err != nil {
		t.Fatal(err)
	}
	return node.Addr(), runTask(t, func(ctx context.Context) error {
		var tasks sync.WaitGroup
		defer tasks.Wait()
		tasks.Go(func() { server.Run(ctx, node) })
		_ = node.Run(ctx) // on a busy machine nobody may hear its goodbye in time
		return nil
	})
}

// Two agents at two hubs as they are: one agent says goodbye, and the other has its share of that part. Its hub ends: it goes to
// the other.
func TestAgentsMoveBetweenRealHubs(t *testing.T) {
	t.Parallel()
	a, endA := startRealHub(t, "a")
	b, _ := startRealHub(t, "b", a)
	startAgent := func(name, site string) *testAgent {
		return newTestAgent(t, func(c *Config) {
			c.Name, c.Site, c.Label, c.Hubs = name, site, t.Name(), []Hub{{"a", "r", a}, {"b", "r", b}}
		})
	}
	first, second := startAgent("x", "a"), startAgent("y", "b")
	waitFor(t, "the stream to a", first.attachedTo("a"))
	waitFor(t, "the stream to b", second.attachedTo("b"))
	waitFor(t, "a census of both", func() bool { return first.Status().FleetSize.Attached == 2 && second.Status().FleetSize.Attached == 2 })
	waitFor(t, "an even part", first.hasQuota(1./10))
	second.stop()
	waitFor(t, "its share of the other's part", first.hasQuota(1./9))
	endA()
	waitFor(t, "the stream to b", first.attachedTo("b"))
}
