package hubclient

import (
	"context"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
)

const (
	flatAfter = 5 * time.Second // without a hub
	flatAgain = time.Second     // after it could not be made
)

// keepDoor has the fleet address be answered until ctx ends: by the door, and while there is no hub by the flat fleet.
func (s *Spoke) keepDoor(ctx context.Context) {
	if !s.door.await(ctx) {
		return
	}
	defer s.door.ln.Close()
	for ctx.Err() == nil {
		s.while(ctx, func() bool { return s.cfg.Flat == nil || s.hubless() < flatAfter }, s.door.open)
		if ctx.Err() == nil && !s.goFlat(ctx) {
			s.while(ctx, func() bool { return true }, func(ctx context.Context) {
				within, cancel := context.WithTimeout(ctx, flatAgain)
				defer cancel()
				s.door.open(within)
			})
		}
	}
}

// while does something until ctx ends, or what it is done for does not hold any more.
func (s *Spoke) while(ctx context.Context, holds func() bool, do func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		tick := time.NewTicker(gossip.TickEvery)
		defer tick.Stop()
		for holds() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		cancel()
	}()
	do(ctx)
}

// goFlat runs the flat fleet until a hub has taken this agent. The lower of both parts holds until the others have heard
// its goodbye. It reports whether the fleet could be made.
func (s *Spoke) goFlat(ctx context.Context) bool {
	door, err := s.door.lend()
	if err != nil {
		s.cfg.Log.Error("no flat fleet without hubs", "error", err)
		return false
	}
	f, err := s.cfg.Flat(door, s.born, fleet.Told{Part: s.takeFlatPart, Distances: s.told.Distances})
	if err != nil {
		door.Close()
		s.cfg.Log.Error("no flat fleet without hubs", "error", err)
		return false
	}
	s.cfg.Log.Warn("no hub: the flat fleet runs")
	s.flat.Store(f)
	if s.serving.Load() {
		f.Ready()
	}
	s.while(ctx, func() bool { return s.hubless() > 0 }, func(ctx context.Context) {
		if err := f.Run(ctx); err != nil {
			s.cfg.Log.Error("the flat fleet is left", "error", err)
		}
		<-ctx.Done()
	})
	s.flat.Store(nil)
	s.takeFlatPart(0)
	s.forgetTrips()
	s.cfg.Log.Info("a hub is back: the flat fleet has ended")
	return true
}

// takeFlatPart takes this agent's part by the flat fleet's rule; 0: it does not count any more.
func (s *Spoke) takeFlatPart(part float64) {
	s.mu.Lock()
	s.flatPart = part
	s.mu.Unlock()
	s.nudge()
}

// forgetTrips has the distances be told anew: the flat fleet told others.
func (s *Spoke) forgetTrips() {
	s.mu.Lock()
	s.trips = nil
	s.mu.Unlock()
}
