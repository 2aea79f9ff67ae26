package hubclient

import (
	"context"
	"net"
	"time"

	"martenbeam/internal/fleet/source"
)

const (
	hubAttachGrace = time.Second             // until a hub can have taken this agent: who has none asks for itself
	relayTimeout   = 2500 * time.Millisecond // of a hub that passes the list on, after which it counts as dead
)

// Next waits until the list may be asked for, and says where: of the hub first, where lists are relayed, and of the service
// in this agent's turn. Where there is no hub, one that takes the agent meanwhile goes before the turn. fails counts
// openings that came to nothing. It reports false once ctx ends.
func (c *Client) Next(ctx context.Context, failures int) (source.Source, bool) {
	if mesh := c.mesh.Load(); mesh != nil {
		return mesh.Next(ctx, failures)
	}
	if !c.cfg.Relayed || failures%2 == 1 {
		return source.Source{}, c.pacer.AwaitTurn(ctx, c.startingCount)
	}
	c.mu.Lock()
	attached := c.attached
	c.mu.Unlock()
	select { // a process that starts gives its hub a moment
	case <-attached:
	case <-ctx.Done():
	case <-time.After(time.Until(c.startedAt.Add(hubAttachGrace))):
	}
	turnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-attached:
			cancel()
		case <-turnCtx.Done():
		}
	}()
	if c.pacer.AwaitTurn(turnCtx, c.startingCount) {
		return source.Source{}, true
	}
	if addr := c.hubAddr(); addr != "" || ctx.Err() != nil {
		return source.Source{Addr: addr, SilenceTimeout: relayTimeout, Relayed: true}, ctx.Err() == nil
	}
	return source.Source{}, c.pacer.AwaitTurn(ctx, c.startingCount) // it is lost already
}

// startingCount counts who may ask the service at once: who is seen to start, and, where lists are relayed, all of a hub, since
// one that comes to the service has lost it with the rest.
func (c *Client) startingCount() int {
	size, fresh := c.fleetSize()
	if !fresh {
		c.mu.Lock()
		size = c.status.FleetSize
		c.mu.Unlock()
	}
	n := max(1, int(size.Starting))
	if c.cfg.Relayed {
		n = max(n, int(size.Attached)/len(c.hubs))
	}
	return n
}

// fleetSizeReceived reports whether any hub has ever told who there is.
func (c *Client) fleetSizeReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.FleetSize.Attached > 0
}

// RecordAttempt takes how an opening went: after how long the first word came, or that none did, and from which version on.
func (c *Client) RecordAttempt(src source.Source, waited time.Duration, failed bool, version int64) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordAttempt(src, waited, failed, version)
	} else if !src.Relayed {
		c.pacer.RecordAttempt(waited, failed, version)
	}
}

// Dial opens a connection to a hub, or to another agent.
func (c *Client) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.dial(ctx, network, addr)
}

// RecordLiveness takes a sign of life of a source: the flat fleet passes on what it hears.
func (c *Client) RecordLiveness(src source.Source) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordLiveness(src)
	}
}

// RecordUpdate takes a message of a source.
func (c *Client) RecordUpdate(src source.Source, from, to int64, change, whole []byte) {
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.RecordUpdate(src, from, to, change, whole)
	}
	c.Ready()
}

// Ready tells that this process has a list, and serves.
func (c *Client) Ready() {
	if !c.serving.Swap(true) {
		c.cfg.Log.Info("start", "step", "serving", "hub", c.Status().Hub, "took", time.Since(c.startedAt))
	}
	if mesh := c.mesh.Load(); mesh != nil {
		mesh.Ready()
	}
}

// Lagging reports whether others have told of a later version of the list than the one known here.
func (c *Client) Lagging(version int64) bool {
	if mesh := c.mesh.Load(); mesh != nil {
		return mesh.Lagging(version)
	}
	return c.pacer.LatestVersion() > version
}
