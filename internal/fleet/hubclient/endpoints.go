// Where and when the agent asks for endpoint lists: Client implements source.Selector. While the full mesh runs, the
// mesh decides.

package hubclient

import (
	"context"
	"net"
	"sync"
	"time"

	"martenbeam/internal/fleet/source"
)

const (
	hubAttachGrace = time.Second             // after the start, for a hub to accept this agent before it asks the list service
	relayTimeout   = 2500 * time.Millisecond // without a message from a hub that relays lists, after which it counts as dead
)

// Next waits until the agent may ask for the endpoint list, and returns where: the hub, if lists are relayed, or the
// list service when the startup pacer admits this agent. A hub that accepts the agent during that wait takes
// precedence. failures counts the consecutive attempts that failed: every second one goes to the list service. It
// returns false once ctx has ended.
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
	select { // a process that has just started gives its hub time to accept it
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
	return source.Source{}, c.pacer.AwaitTurn(ctx, c.startingCount) // the hub was lost again
}

// startingCount returns how many agents may ask the list service at the same time: those that are starting, and,
// where lists are relayed, all agents of a hub, since an agent that asks the service has lost its hub together with
// the others.
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

// fleetSizeReceived reports whether any hub has ever sent a fleet size.
func (c *Client) fleetSizeReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.FleetSize.Attached > 0
}

// RecordAttempt records the outcome of an attempt: after what wait the first message came, or that it failed, and the
// list's version. Attempts at the list service adjust the pacer's rate.
func (c *Client) RecordAttempt(src source.Source, waited time.Duration, failed bool, version int64) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordAttempt(src, waited, failed, version)
	} else if !src.Relayed {
		c.pacer.RecordAttempt(waited, failed, version)
	}
}

// Dial opens a connection to a hub or to another agent, by Config.Dial.
func (c *Client) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.dial(ctx, network, addr)
}

// RecordLiveness records that a source is alive. Only the full mesh, whose members relay lists, uses it.
func (c *Client) RecordLiveness(src source.Source) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordLiveness(src)
	}
}

// RecordUpdate records a list update: the change from version from to version to, and the complete list. It marks the
// agent as serving.
func (c *Client) RecordUpdate(src source.Source, from, to int64, change, whole []byte) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordUpdate(src, from, to, change, whole)
	}
	c.Ready()
}

// Ready marks this agent as serving. Hubs learn it with the next state, the full mesh at once. Only the first call is
// logged.
func (c *Client) Ready() {
	if !c.serving.Swap(true) {
		c.cfg.Log.Info("start", "step", "serving", "hub", c.Status().Hub, "took", time.Since(c.startedAt))
	}
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.Ready()
	}
}

// Lagging reports whether others have published a higher version of the endpoint list than this one.
func (c *Client) Lagging(version int64) bool {
	if mesh := c.mesh.Load(); mesh != nil {
		return mesh.Lagging(version)
	}
	return c.pacer.LatestVersion() > version
}
