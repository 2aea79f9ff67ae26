package hub

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/startup"
)

const (
	tellEvery    = time.Second
	stoppedAfter = time.Second // between two ticks: the process was stopped
	summaryEvery = 10 * time.Second
)

// sumUp tells agents and other hubs what is known, each second, and agents at once what has changed.
func (s *Server) sumUp(ctx context.Context) {
	tick := time.NewTicker(gossip.TickEvery)
	defer tick.Stop()
	ticked, told, logged := time.Now(), time.Time{}, time.Now()
	var late []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(ticked) > stoppedAfter {
			s.wake(now)
		}
		ticked = now
		s.door.Tick()
		due := now.Sub(told) >= tellEvery
		if due {
			told = now
			s.tellHubs()
			s.roll.forget(now)
			late = s.late(now)
		}
		words := s.known(now)
		if s.news(words) || due {
			s.tell(words, s.rows(), now)
		}
		if now.Sub(logged) >= summaryEvery {
			logged = now
			s.summarize(now, late)
		}
	}
}

// wake forgets all that was known before a stop, as a hub that starts anew: its agents have gone elsewhere, and what lies
// in their streams is old.
func (s *Server) wake(now time.Time) {
	for _, x := range s.roll.clear() {
		x.end()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awake = now
	clear(s.named)
	clear(s.words)
	clear(s.refuse)
}

// tellHubs tells the other hubs what this one's agents come to.
func (s *Server) tellHubs() {
	facts := s.fleet.Facts()
	facts.Tell(gossip.Census, s.cfg.Name, s.own().MarshalBody())
	for _, w := range startup.Sum(s.door.Now(gossip.Service)) {
		facts.TellAged(gossip.Service, "agents "+w.Subject, w.Body, w.Age)
	}
}

// own is the census of the agents here.
func (s *Server) own() (c Census) {
	for _, x := range s.roll.streams() {
		c.Attached++
		if !x.standing().Serving {
			c.Starting++
		}
	}
	return c
}

// known is what all agents are told alike.
func (s *Server) known(now time.Time) []gossip.Fact {
	words := startup.Sum(s.fleet.Facts().Now(gossip.Service))
	c, age := s.census(now)
	words = append(words, gossip.Fact{Kind: gossip.Census, Subject: FleetCensus, Age: age, Body: c.MarshalBody()})
	if k := s.cfg.Settings; k != nil {
		if st := k.State(); st.Version > 0 {
			words = append(words, gossip.Fact{Kind: k.Fact, Subject: k.Subject, Body: st.Body()})
		}
	}
	if k := s.cfg.Policy; k != nil {
		if age, ok := s.cfg.PolicyAge(); ok && age <= s.cfg.Bounds[gossip.Residency] {
			words = append(words, gossip.Fact{Kind: k.Fact, Subject: k.Subject, Age: age, Body: k.State().Body()})
		}
	}
	return words
}

// rows are what is known of round trips from each site that agents are of.
func (s *Server) rows() map[string]gossip.Fact {
	m := s.fleet.Matrix()
	rows := map[string]gossip.Fact{}
	for _, x := range s.roll.streams() {
		if _, done := rows[x.site]; done || x.site == "" {
			continue
		}
		if body, age := m.Row(x.site, s.fresh(gossip.Distance)); body != nil {
			rows[x.site] = gossip.Fact{Kind: gossip.Distance, Subject: x.site, Age: age, Body: body}
		}
	}
	return rows
}

// census is that of the fleet, as old as the oldest word that it rests on.
//
// A name counts as dead if a hub or a member says so, and neither is it here nor known elsewhere. Nobody may use more than is
// free if all that is not heard of lives: agents of hubs beyond a cut, as many as these last had. So names that were given up
// for others free nothing.
func (s *Server) census(now time.Time) (c Census, age time.Duration) {
	c = s.own()
	heard := map[string]time.Duration{}
	for _, f := range s.fleet.Facts().Now(gossip.Census) {
		o, err := ParseCensus(f.Body)
		if err != nil || f.Subject != f.Observer || f.Observer == s.cfg.Name {
			continue
		}
		s.mu.Lock()
		s.words[f.Observer] = o.Attached
		s.mu.Unlock()
		if f.Age <= s.fresh(gossip.Census) {
			c.Attached, c.Starting, age = c.Attached+o.Attached, c.Starting+o.Starting, max(age, f.Age)
			heard[f.Observer] = f.Age
		}
	}
	flat := s.fleet.Flat()
	gone, oldest := s.dead(flat, now)
	c.Gone = uint32(max(0, min(gone, s.cfg.Most-int(c.Attached)-len(flat)-s.unheard(heard, now))))
	if c.Gone > 0 {
		age = max(age, oldest)
	}
	return c, age
}

// fresh is how old a word may be that a sum is made of: what is told has to hold for a while.
func (s *Server) fresh(k gossip.Kind) time.Duration { return s.cfg.Bounds[k] * 2 / 3 }

// dead counts the names that are dead for certain, and says how old the oldest word is. A hub that has just begun, or was
// stopped, has not heard of everyone who lives: it says none.
func (s *Server) dead(flat map[string]bool, now time.Time) (n int, oldest time.Duration) {
	hubs := map[string]bool{}
	for _, m := range append(s.fleet.Hubs(), s.fleet.Missing()...) {
		hubs[m.Name] = true
	}
	names, seen := map[string]time.Duration{}, map[string]time.Time{}
	for _, f := range s.fleet.Facts().Now(gossip.Gone) {
		var list []string
		if cbor.Unmarshal(f.Body, &list) != nil {
			continue
		}
		for _, name := range list {
			if at := now.Add(-f.Age); at.After(seen[name]) {
				seen[name] = at
			}
			if f.Age > s.fresh(gossip.Gone) || hubs[name] || flat[name] || s.roll.present(name, s.gone(), now) {
				continue
			}
			if age, known := names[name]; !known || f.Age < age {
				names[name] = f.Age
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.named, func(_ string, at time.Time) bool { return now.Sub(at) > s.gone() })
	for name, at := range seen {
		if at.After(s.named[name]) {
			s.named[name] = at
		}
	}
	if now.Sub(s.awake) <= s.gone() {
		return 0, 0
	}
	for _, age := range names {
		oldest = max(oldest, age)
	}
	return len(names), oldest
}

// unheard is how many agents the other hubs may have that were not heard of late: as many as they last told; those that were
// never heard, any number. A hub whose own process is dead has none. On the way it finds out since when all have told.
func (s *Server) unheard(heard map[string]time.Duration, now time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = now
	for _, m := range append(s.fleet.Hubs(), s.fleet.Missing()...) {
		if age, fresh := heard[m.Name]; fresh {
			if at := now.Add(-age); at.Before(s.told) {
				s.told = at
			}
			continue
		}
		since, dead := s.refuse[m.Addr.String()]
		if !dead || now.Sub(since) <= s.gone() { // what it told may still be used
			s.told = time.Time{}
		}
		switch last, met := s.words[m.Name]; {
		case dead:
		case met:
			n += int(last)
		default:
			n += s.cfg.Most
		}
	}
	return n
}
