package hubclient

import (
	"context"
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/latency"
)

const (
	thin         = 0.1 // of an even part, for one that starts
	summaryEvery = 10 * time.Second
)

// act keeps ages, and does what follows from what is known, until ctx ends.
func (s *Spoke) act(ctx context.Context) {
	tick := time.NewTicker(gossip.TickEvery)
	defer tick.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			s.summarize()
		case <-s.turn:
		case <-tick.C:
		}
		s.facts.Tick()
		s.reckon()
		if s.flat.Load() == nil { // it measures itself
			s.measure()
		}
		s.heed(ctx)
	}
}

// census is who there is, as hubs tell it: of several, what leaves this agent the least.
func (s *Spoke) census() (c hub.Census, fresh bool) {
	for _, f := range s.facts.Now(gossip.Census) {
		x, err := hub.ParseCensus(f.Body)
		if err != nil || f.Subject != hub.FleetCensus {
			continue
		}
		if !fresh {
			c = x
		}
		c.Attached, c.Starting, c.Gone, fresh = max(c.Attached, x.Attached), max(c.Starting, x.Starting), min(c.Gone, x.Gone), true
	}
	return c, fresh
}

// reckon reckons this agent's part of the in-flight limit. Without a fresh word of who is dead it is an even one. Where the
// flat fleet runs the lower of both rules holds: those that follow the hubs use the parts of others than those who don't.
func (s *Spoke) reckon() {
	c, fresh := s.census()
	most := s.cfg.Most
	part := thin / float64(most)
	if s.sure.Load() || time.Since(s.born) >= s.cfg.Bounds[gossip.Census] {
		users := most
		if fresh {
			users = max(1, most-int(c.Gone), int(c.Attached))
		}
		part = 1 / float64(users)
	}
	s.mu.Lock()
	if s.flatPart > 0 {
		part = min(part, s.flatPart)
	}
	same := part == s.known.Part
	s.known.Part = part
	if fresh {
		s.known.Census = c
	}
	s.mu.Unlock()
	if same {
		return
	}
	gossip.Trace{W: s.cfg.Trace}.Line(map[string]any{"part": part})
	if s.told.Part != nil {
		s.told.Part(part)
	}
}

// measure tells the agent how far the zones are, where that has changed.
func (s *Spoke) measure() {
	row, known := s.row()
	trips, losses := make([]time.Duration, len(s.zones)), make([]float64, len(s.zones))
	for i, zone := range s.zones {
		trips[i], losses[i] = row[zone].Trip, row[zone].Loss
	}
	s.mu.Lock()
	same := slices.Equal(trips, s.trips) && slices.Equal(losses, s.losses)
	s.trips, s.losses, s.known.Row = trips, losses, known
	s.mu.Unlock()
	if !same && s.told.Distances != nil {
		s.told.Distances(trips, losses)
	}
}

// row is how far the zones are from this agent's, as told last.
func (s *Spoke) row() (row map[string]latency.Estimate, known bool) {
	var age time.Duration
	for _, f := range s.facts.Now(gossip.Distance) {
		if f.Subject != s.cfg.Site || known && f.Age >= age {
			continue
		}
		if r, err := latency.ReadRow(f.Body); err == nil {
			row, known, age = r, true, f.Age
		}
	}
	return row, known
}

func (s *Spoke) summarize() {
	st, k := s.facts.Stats(), s.Known()
	args := []any{"hub", k.Hub, "flat", k.Flat, "part", k.Part, "attached", k.Census.Attached, "gone", k.Census.Gone, "facts", st.Held,
		"malformed", st.Malformed, "stops", st.Stops}
	for kind, x := range st.Kinds {
		if x.Used > 0 || x.Refused > 0 {
			args = append(args, kind, x.String())
		}
	}
	s.cfg.Log.Info("fleet", args...)
}
