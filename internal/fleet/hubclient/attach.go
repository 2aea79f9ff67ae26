// The life cycle of attachments: attaching to a hub, moving to another hub, and returning to the preferred hub.

package hubclient

import (
	"context"
	"errors"
	"time"
)

// startupJitter spreads the first attempts of agents that start at the same time.
const startupJitter = 300 * time.Millisecond

// maintainAttachment keeps this agent attached to a hub until ctx ends: to the preferred hub if that hub accepts the
// agent, otherwise to another hub.
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
			c.cfg.Log.Debug("hub attachment failed", "zone", c.hubs[index].Zone, "error", err,
				"next", c.hubs[c.selector.current].Zone, "wait", wait)
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stayAttached uses an attachment until it ends. If the preferred hub accepts the agent before then, stayAttached
// switches to the attachment to the preferred hub, and closes the old attachment only after the new one is open. index
// is the hub's index in Client.hubs. stayAttached returns the wait before the next attempt to attach.
func (c *Client) stayAttached(ctx context.Context, a *attachment, index int) time.Duration {
	for {
		attachedAt := time.Now()
		c.setAttachment(a)
		c.cfg.Log.Info("attached to hub", "hub", a.hubName, "zone", a.hub.Zone)
		preferred := c.awaitEndOrPreferred(ctx, a, index)
		if preferred != nil {
			a.cancel(errMovedToPreferredHub)
			<-a.done
			a.conn.Close()
			a, index = preferred, preferredHub
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
		c.cfg.Log.Warn("hub connection lost", "hub", a.hubName, "zone", a.hub.Zone, "why", context.Cause(a.ctx),
			"next", c.hubs[c.selector.current].Zone, "wait", wait)
		return wait
	}
}

// awaitEndOrPreferred waits until an attachment ends, and then returns nil. If the attachment is not to the preferred
// hub, awaitEndOrPreferred also tries to attach to the preferred hub, at the intervals of
// hubSelector.nextPreferredCheck and not before a busy hub's retry delay has passed. It returns the new attachment once
// an attempt succeeds.
func (c *Client) awaitEndOrPreferred(ctx context.Context, a *attachment, index int) (preferred *attachment) {
	for wait := c.selector.nextPreferredCheck(); ; {
		var preferredCheck <-chan time.Time
		if index != preferredHub {
			preferredCheck = time.After(wait)
		}
		select {
		case <-a.ctx.Done():
			return nil
		case <-preferredCheck:
		}
		preferred, err := c.openAttachment(ctx, c.hubs[preferredHub])
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

// setAttachment records the current attachment; nil records its loss.
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
	c.requestRecompute()
}

// disconnectedFor returns the time since the last attachment was lost or, if the agent has never been attached, since
// the start of the process. It returns zero while the agent is attached.
func (c *Client) disconnectedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attachment != nil {
		return 0
	}
	return time.Since(c.disconnectedAt)
}
