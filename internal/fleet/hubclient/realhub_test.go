// Test of agents with real hubs in one process.

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

// startRealHub runs a hub.Server in a fleet. It returns the hub's address and a function that ends the hub.
func startRealHub(t *testing.T, name string, seeds ...string) (addr string, stop func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	server := hub.New(hub.Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: 10, Log: log})
	node, err := fleet.New(fleet.Config{Name: name, Site: name, Listen: "127.0.0.1:0", Seeds: seeds, Label: t.Name(),
		MaxMembers: 10, ListRate: 50, Hub: true, HTTPHandler: server, Log: log},
		[]string{"a", "b"}, fleet.Callbacks{})
	if err != nil {
		t.Fatal(err)
	}
	return node.Addr(), runTask(t, func(ctx context.Context) error {
		var tasks sync.WaitGroup
		defer tasks.Wait()
		tasks.Go(func() { server.Run(ctx, node) })
		_ = node.Run(ctx) // the error may be a timeout of the node's departure on a busy machine
		return nil
	})
}

// Two agents are attached to two real hubs. When one agent leaves, the other agent receives a share of the quota that
// becomes free. When the hub of the remaining agent ends, the agent attaches to the other hub.
func TestAgentsMoveBetweenRealHubs(t *testing.T) {
	t.Parallel()
	a, stopA := startRealHub(t, "a")
	b, _ := startRealHub(t, "b", a)
	startAgent := func(name, site string) *testAgent {
		return newTestAgent(t, func(c *Config) {
			c.Name, c.Site, c.Label, c.Hubs = name, site, t.Name(), []Hub{{"a", "r", a}, {"b", "r", b}}
		})
	}
	first, second := startAgent("x", "a"), startAgent("y", "b")
	waitFor(t, "attachment to a", first.attachedTo("a"))
	waitFor(t, "attachment to b", second.attachedTo("b"))
	waitFor(t, "a fleet size of both agents", func() bool {
		return first.Status().FleetSize.Attached == 2 && second.Status().FleetSize.Attached == 2
	})
	waitFor(t, "an even quota", first.hasQuota(1./10))
	second.stop()
	waitFor(t, "a share of the quota of the agent that left", first.hasQuota(1./9))
	stopA()
	waitFor(t, "attachment to b", first.attachedTo("b"))
}
