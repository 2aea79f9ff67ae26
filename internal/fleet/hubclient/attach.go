package hubclient

import (
	"context"
	"errors"
	"time"
)

// The first tries of agents that start at once come to their hubs within this time.
const startWithin = 300 * time.Millisecond

// attach has a stream to a hub, to another when that one fails, and to the agent's own when it is back, until ctx ends.
func (s *Spoke) attach(ctx context.Context) {
	wait := time.Duration(s.choose.random.Int64N(int64(startWithin)))
	for pause(ctx, wait) {
		at := s.choose.at
		x, err := s.open(ctx, s.hubs[at])
		var busy *busyError
		switch {
		case err == nil:
			wait = s.stay(ctx, x, at)
		case errors.As(err, &busy):
			wait = s.choose.refused(busy.after, time.Now())
		default:
			wait = s.choose.failed(time.Now())
		}
		if err != nil {
			s.cfg.Log.Debug("a hub does not take this agent", "zone", s.hubs[at].Zone, "error", err, "next", s.hubs[s.choose.at].Zone, "wait", wait)
		}
	}
}

// pause waits, and reports false if ctx ends.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stay keeps a stream, and changes it for one to the agent's own hub as soon as there is one, until it ends. It returns how
// long to wait then.
func (s *Spoke) stay(ctx context.Context, x *stream, at int) time.Duration {
	for {
		began := time.Now()
		s.has(x)
		s.cfg.Log.Info("attached", "hub", x.name, "zone", x.hub.Zone)
		home := s.whileAt(ctx, x, at)
		if home != nil {
			x.end(errHome)
			<-x.done
			x.conn.Close()
			x, at = home, 0
			continue
		}
		<-x.done
		if ctx.Err() != nil {
			x.bye()
			return 0
		}
		x.conn.Close()
		s.has(nil)
		wait := s.choose.lost(at, time.Since(began), time.Now())
		s.cfg.Log.Warn("the hub is lost", "hub", x.name, "zone", x.hub.Zone, "why", context.Cause(x.ctx), "next", s.hubs[s.choose.at].Zone, "wait", wait)
		return wait
	}
}

// whileAt waits until a stream ends, or, where it is not to the agent's own hub, until there is one to that.
func (s *Spoke) whileAt(ctx context.Context, x *stream, at int) (home *stream) {
	for wait := s.choose.home(); ; {
		var look <-chan time.Time
		if at != 0 {
			look = time.After(wait)
		}
		select {
		case <-x.ctx.Done():
			return nil
		case <-look:
		}
		home, err := s.open(ctx, s.hubs[0])
		if err == nil {
			return home
		}
		wait = s.choose.home()
		var busy *busyError
		if errors.As(err, &busy) {
			wait = max(wait, busy.after)
		}
	}
}

// has sets the stream that this agent has; nil: none.
func (s *Spoke) has(x *stream) {
	s.mu.Lock()
	was := s.stream
	s.stream = x
	switch {
	case x == nil:
		s.lost, s.attached = time.Now(), make(chan struct{})
	case was == nil:
		close(s.attached)
	}
	s.mu.Unlock()
	s.nudge()
}

// hubless is for how long there has been no stream.
func (s *Spoke) hubless() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil {
		return 0
	}
	return time.Since(s.lost)
}
