// The fallback to the full mesh while no hub accepts the agent.

package hubclient

import (
	"context"
	"sync"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
)

const (
	meshFallbackDelay = 5 * time.Second // time without an attachment after which the agent joins the full mesh
	meshRetryInterval = time.Second     // wait after a failed attempt to join the full mesh
)

// serveAddress serves the fleet address until ctx ends: with the full mesh once the agent has been without a hub for
// meshFallbackDelay, otherwise with addressListener.
func (c *Client) serveAddress(ctx context.Context) {
	if !c.listener.awaitAddress(ctx) {
		return
	}
	defer c.listener.ln.Close()
	for ctx.Err() == nil {
		c.runWhile(ctx, func() bool { return c.cfg.NewMesh == nil || c.disconnectedFor() < meshFallbackDelay }, c.listener.accept)
		if ctx.Err() == nil && !c.fallBackToMesh(ctx) {
			retryCtx, cancel := context.WithTimeout(ctx, meshRetryInterval)
			c.listener.accept(retryCtx)
			cancel()
		}
	}
}

// runWhile calls run with a context that ends with ctx, or within gossip.TickInterval after condition becomes false.
func (c *Client) runWhile(ctx context.Context, condition func() bool, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() {
		tick := time.NewTicker(gossip.TickInterval)
		defer tick.Stop()
		for condition() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		cancel()
	})
	run(ctx)
}

// fallBackToMesh joins the full mesh and leaves it when a hub has accepted this agent or ctx ends. The mesh's quota
// remains an upper bound of the agent's quota until the agent has left the mesh. fallBackToMesh returns false if the
// agent can't join the mesh.
func (c *Client) fallBackToMesh(ctx context.Context) bool {
	listener, err := c.listener.duplicate()
	if err != nil {
		c.cfg.Log.Error("full mesh fallback failed", "error", err)
		return false
	}
	mesh, err := c.cfg.NewMesh(listener, c.startedAt, fleet.Callbacks{Quota: c.setMeshQuota, Latencies: c.callbacks.Latencies})
	if err != nil {
		listener.Close()
		c.cfg.Log.Error("full mesh fallback failed", "error", err)
		return false
	}
	c.cfg.Log.Warn("full mesh fallback started")
	c.mesh.Store(mesh)
	if c.serving.Load() {
		mesh.Ready()
	}
	c.runWhile(ctx, func() bool { return c.disconnectedFor() > 0 }, func(ctx context.Context) {
		if err := mesh.Run(ctx); err != nil {
			c.cfg.Log.Error("full mesh stopped", "error", err)
		}
		<-ctx.Done()
	})
	c.mesh.Store(nil)
	c.setMeshQuota(0)
	c.resetReportedLatencies()
	c.cfg.Log.Info("full mesh fallback ended")
	return true
}

// setMeshQuota records this agent's quota by the full mesh's rule; 0 means that this quota no longer applies.
func (c *Client) setMeshQuota(quota float64) {
	c.mu.Lock()
	c.meshQuota = quota
	c.mu.Unlock()
	c.requestRecompute()
}

// resetReportedLatencies makes updateLatency report all latencies again, since the mesh may have reported different
// latencies while the mesh ran.
func (c *Client) resetReportedLatencies() {
	c.mu.Lock()
	c.rtts = nil
	c.mu.Unlock()
}
