package hubclient

import (
	"context"
	"errors"
	"time"
)

// The first tries of agents that start at once come to their hubs within this time.
const startupJitter = 300 * time.Millisecond

// maintainAttachment has a stream to a hub, to another when that one fails, and to the agent's own when it is back, until ctx ends.
func (c *Client) maintainAttachment(ctx context.Context) {
	wait := time.Duration(c.selector.random.Int64N(int64(startupJitter)))
	for sleep(ctx, wait) {
		index := c.selector.current
		a, err := c.openAttachment(ctx, c.hubs[index])
		var busy *busyError
		switch {
		case err == nil:
			wait = c.stayAttached(ctx, a, index)
		case errors.As(err, &busy):
			wait = c.selector.hubBusy(busy.retryAfter, time.Now())
		default:
			wait = c.selector.attachFailed(time.Now())
		}
		if err != nil {
			c.cfg.Log.Debug("a hub does not take this agent", "zone", c.hubs[index].Zone, "error", err, "next", c.hubs[c.selector.current].Zone, "wait", wait)
		}
	}
}

// sleep waits, and reports false if ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stayAttached keeps a stream, and changes it for one to the agent's own hub as soon as there is one, until it ends. It returns how
// long to wait then.
func (c *Client) stayAttached(ctx context.Context, a *attachment, index int) time.Duration {
	for {
		attachedAt := time.Now()
		c.setAttachment(a)
		c.cfg.Log.Info("attached", "hub", a.hubName, "zone", a.hub.Zone)
		preferred := c.awaitEndOrPreferred(ctx, a, index)
		if preferred != nil {
			a.cancel(errPreferredHubBack)
			<-a.done
			a.conn.Close()
			a, index = preferred, 0
			continue
		}
		<-a.done
		if ctx.Err() != nil {
			a.leave()
			return 0
		}
		a.conn.Close()
		c.setAttachment(nil)
		wait := c.selector.attachmentLost(index, time.Since(attachedAt), time.Now())
		c.cfg.Log.Warn("the hub is lost", "hub", a.hubName, "zone", a.hub.Zone, "why", context.Cause(a.ctx), "next", c.hubs[c.selector.current].Zone, "wait", wait)
		return wait
	}
}

// awaitEndOrPreferred waits until a stream ends, or, where it is not to the agent's own hub, until there is one to that.
func (c *Client) awaitEndOrPreferred(ctx context.Context, a *attachment, index int) (preferred *attachment) {
	for wait := c.selector.nextPreferredCheck(); ; {
		var preferredCheck <-chan time.Time
		if index != 0 {
			preferredCheck = time.After(wait)
		}
		select {
		case <-a.ctx.Done():
			return nil
		case <-preferredCheck:
		}
		preferred, err := c.openAttachment(ctx, c.hubs[0])
		if err == nil {
			return preferred
		}
		wait = c.selector.nextPreferredCheck()
		var busy *busyError
		if errors.As(err, &busy) {
			wait = max(wait, busy.retryAfter)
		}
	}
}

// setAttachment sets the stream that this agent has; nil: none.
func (c *Client) setAttachment(a *attachment) {
	c.mu.Lock()
	previous := c.attachment
	c.attachment = a
	switch {
	case a == nil:
		c.disconnectedAt, c.attached = time.Now(), make(chan struct{})
	case previous == nil:
		close(c.attached)
	}
	c.mu.Unlock()
	c.wake()
}

// disconnectedFor is for how long there has been no stream.
func (c *Client) disconnectedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attachment != nil {
		return 0
	}
	return time.Since(c.disconnectedAt)
}
