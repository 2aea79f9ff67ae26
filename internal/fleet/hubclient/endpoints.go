// The choice of source and time for requests for endpoint lists: Client implements source.Selector. While the full mesh
// runs, Client delegates to it.

package hubclient

import (
	"context"
	"net"
	"sync"
	"time"

	"martenbeam/internal/fleet/source"
)

const (
	hubAttachGrace = time.Second             // time from the agent's start for which the agent waits for a hub before it uses the list service
	relayTimeout   = 2500 * time.Millisecond // time without a message after which a hub that relays lists counts as failed
)

// Next waits until the agent may request the endpoint list, and returns the source: the hub if lists are relayed, or
// the list service once the startup pacer admits this agent. A hub that accepts the agent during the wait takes
// precedence. failures is the number of consecutive failed attempts; every second attempt goes to the list service.
// Next returns false once ctx has ended.
func (c *Client) Next(ctx context.Context, failures int) (source.Source, bool) {
	if mesh := c.mesh.Load(); mesh != nil {
		return mesh.Next(ctx, failures)
	}
	if !c.cfg.RelayedLists || failures%2 == 1 {
		return source.Source{}, c.pacer.AwaitTurn(ctx, c.startingCount)
	}
	c.mu.Lock()
	attached := c.attached
	c.mu.Unlock()
	select { // a process that has just started waits for a hub to accept it
	case <-attached:
	case <-ctx.Done():
	case <-time.After(time.Until(c.startedAt.Add(hubAttachGrace))):
	}
	turnCtx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() {
		select {
		case <-attached:
			cancel()
		case <-turnCtx.Done():
		}
	})
	if c.pacer.AwaitTurn(turnCtx, c.startingCount) {
		return source.Source{}, true
	}
	if addr := c.hubAddr(); addr != "" || ctx.Err() != nil {
		return source.Source{Addr: addr, SilenceTimeout: relayTimeout, Relayed: true}, ctx.Err() == nil
	}
	return source.Source{}, c.pacer.AwaitTurn(ctx, c.startingCount) // the new attachment was lost again
}

// startingCount returns the number of agents that may request lists from the list service at the same time, at least 1.
// This number is the number of starting agents. If lists are relayed, it is at least the average number of agents per
// hub: an agent with relayed lists uses the service when it has lost its hub, and the hub's other agents do so too.
func (c *Client) startingCount() int {
	size, fresh := c.fleetSize()
	if !fresh {
		c.mu.Lock()
		size = c.status.FleetSize
		c.mu.Unlock()
	}
	n := max(1, int(size.Starting))
	if c.cfg.RelayedLists {
		n = max(n, int(size.Attached)/len(c.hubs))
	}
	return n
}

// fleetSizeReceived reports whether this agent has ever received a fleet size with at least one attached agent.
func (c *Client) fleetSizeReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.FleetSize.Attached > 0
}

// RecordAttempt records the outcome of a request for the endpoint list: the time until the first message, whether the
// request failed, and the version of the list. Requests to the list service adjust the pacer's rate.
func (c *Client) RecordAttempt(src source.Source, waited time.Duration, failed bool, version int64) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordAttempt(src, waited, failed, version)
	} else if !src.Relayed {
		c.pacer.RecordAttempt(waited, failed, version)
	}
}

// Dial opens a connection to a hub or to another agent with Config.Dial.
func (c *Client) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.dial(ctx, network, addr)
}

// RecordLiveness records that a source responds. Only the full mesh, whose members relay lists, uses the record.
func (c *Client) RecordLiveness(src source.Source) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordLiveness(src)
	}
}

// RecordUpdate records a list update: the change from version from to version to, and the complete list. It marks the
// agent as serving.
func (c *Client) RecordUpdate(src source.Source, from, to int64, change, fullList []byte) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordUpdate(src, from, to, change, fullList)
	}
	c.Ready()
}

// Ready marks this agent as serving. The hub receives the mark with the agent's next state; a running full mesh
// receives it immediately. Ready logs only the first call.
func (c *Client) Ready() {
	if !c.serving.Swap(true) {
		c.cfg.Log.Info("start", "step", "serving", "hub", c.Status().Hub, "took", time.Since(c.startedAt))
	}
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.Ready()
	}
}

// Lagging reports whether other agents have published a higher version of the endpoint list than version.
func (c *Client) Lagging(version int64) bool {
	if mesh := c.mesh.Load(); mesh != nil {
		return mesh.Lagging(version)
	}
	return c.pacer.LatestVersion() > version
}
