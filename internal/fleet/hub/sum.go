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
	publishInterval  = time.Second
	suspendThreshold = time.Second // between two ticks: the process was stopped
	summaryInterval  = 10 * time.Second
)

// publishSums tells agents and other hubs what is known, each second, and agents at once what has changed.
func (s *Server) publishSums(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	lastTickAt, publishedAt, summarizedAt := time.Now(), time.Time{}, time.Now()
	var lagging []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(lastTickAt) > suspendThreshold {
			s.resetAfterSuspend(now)
		}
		lastTickAt = now
		s.loadReports.Tick()
		due := now.Sub(publishedAt) >= publishInterval
		if due {
			publishedAt = now
			s.publishToHubs()
			s.registry.expireRemote(now)
			lagging = s.laggingAgents(now)
		}
		entries := s.sharedEntries(now)
		if s.changed(entries) || due {
			s.publish(entries, s.latencyRows(), now)
		}
		if now.Sub(summarizedAt) >= summaryInterval {
			summarizedAt = now
			s.logSummary(now, lagging)
		}
	}
}

// resetAfterSuspend forgets all that was known before a stop, as a hub that starts anew: its agents have gone elsewhere, and what lies
// in their streams is old.
func (s *Server) resetAfterSuspend(now time.Time) {
	for _, a := range s.registry.clear() {
		a.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumedAt = now
	clear(s.reportedDead)
	clear(s.attachedByHub)
	clear(s.hubsDeadAt)
}

// publishToHubs tells the other hubs what this one's agents come to.
func (s *Server) publishToHubs() {
	store := s.fleet.Gossip()
	store.Publish(gossip.FleetSize, s.cfg.Name, s.localSize().MarshalBody())
	for _, sum := range startup.Aggregate(s.loadReports.Entries(gossip.ListServiceLoad)) {
		store.PublishAged(gossip.ListServiceLoad, "agents "+sum.Subject, sum.Body, sum.Age)
	}
}

// localSize is the census of the agents here.
func (s *Server) localSize() (size FleetSize) {
	for _, a := range s.registry.attachments() {
		size.Attached++
		if !a.status().Serving {
			size.Starting++
		}
	}
	return size
}

// sharedEntries is what all agents are told alike.
func (s *Server) sharedEntries(now time.Time) []gossip.Entry {
	entries := startup.Aggregate(s.fleet.Gossip().Entries(gossip.ListServiceLoad))
	size, age := s.fleetSize(now)
	entries = append(entries, gossip.Entry{Kind: gossip.FleetSize, Subject: FleetSubject, Age: age, Body: size.MarshalBody()})
	if kind := s.cfg.Settings; kind != nil {
		if state := kind.Applied(); state.Version > 0 {
			entries = append(entries, gossip.Entry{Kind: kind.GossipKind, Subject: kind.Subject, Body: state.MarshalBody()})
		}
	}
	if kind := s.cfg.Policy; kind != nil {
		if age, ok := s.cfg.PolicyAge(); ok && age <= s.cfg.Bounds[gossip.ResidencyVersion] {
			entries = append(entries, gossip.Entry{Kind: kind.GossipKind, Subject: kind.Subject, Age: age, Body: kind.Applied().MarshalBody()})
		}
	}
	return entries
}

// latencyRows are what is known of round trips from each site that agents are of.
func (s *Server) latencyRows() map[string]gossip.Entry {
	matrix := s.fleet.LatencyMatrix()
	rows := map[string]gossip.Entry{}
	for _, a := range s.registry.attachments() {
		if _, known := rows[a.site]; known || a.site == "" {
			continue
		}
		if body, age := matrix.Row(a.site, s.maxSourceAge(gossip.LatencyRow)); body != nil {
			rows[a.site] = gossip.Entry{Kind: gossip.LatencyRow, Subject: a.site, Age: age, Body: body}
		}
	}
	return rows
}

// fleetSize is that of the fleet, as old as the oldest word that it rests on.
//
// A name counts as dead if a hub or a member says so, and neither is it here nor known elsewhere. Nobody may use more than is
// free if all that is not heard of lives: agents of hubs beyond a cut, as many as these last had. So names that were given up
// for others free nothing.
func (s *Server) fleetSize(now time.Time) (size FleetSize, age time.Duration) {
	size = s.localSize()
	ageByHub := map[string]time.Duration{}
	for _, entry := range s.fleet.Gossip().Entries(gossip.FleetSize) {
		remote, err := ParseFleetSize(entry.Body)
		if err != nil || entry.Subject != entry.Observer || entry.Observer == s.cfg.Name {
			continue
		}
		s.mu.Lock()
		s.attachedByHub[entry.Observer] = remote.Attached
		s.mu.Unlock()
		if entry.Age <= s.maxSourceAge(gossip.FleetSize) {
			size.Attached, size.Starting, age = size.Attached+remote.Attached, size.Starting+remote.Starting, max(age, entry.Age)
			ageByHub[entry.Observer] = entry.Age
		}
	}
	mesh := s.fleet.MeshAgents()
	dead, deadAge := s.countDead(mesh, now)
	size.Dead = uint32(max(0, min(dead, s.cfg.MaxAgents-int(size.Attached)-len(mesh)-s.unreachableAgents(ageByHub, now))))
	if size.Dead > 0 {
		age = max(age, deadAge)
	}
	return size, age
}

// maxSourceAge is how old a word may be that a sum is made of: what is told has to hold for a while.
func (s *Server) maxSourceAge(kind gossip.Kind) time.Duration { return s.cfg.Bounds[kind] * 2 / 3 }

// countDead counts the names that are dead for certain, and says how old the oldest word is. A hub that has just begun, or was
// stopped, has not heard of everyone who lives: it says none.
func (s *Server) countDead(mesh map[string]bool, now time.Time) (n int, oldest time.Duration) {
	hubs := map[string]bool{}
	for _, m := range append(s.fleet.Hubs(), s.fleet.MissingHubs()...) {
		hubs[m.Name] = true
	}
	ages, reportedAt := map[string]time.Duration{}, map[string]time.Time{}
	for _, entry := range s.fleet.Gossip().Entries(gossip.DeadProcesses) {
		var names []string
		if cbor.Unmarshal(entry.Body, &names) != nil {
			continue
		}
		for _, name := range names {
			if at := now.Add(-entry.Age); at.After(reportedAt[name]) {
				reportedAt[name] = at
			}
			if entry.Age > s.maxSourceAge(gossip.DeadProcesses) || hubs[name] || mesh[name] || s.registry.isPresent(name, s.deadMaxAge(), now) {
				continue
			}
			if age, known := ages[name]; !known || entry.Age < age {
				ages[name] = entry.Age
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reportedDead, func(_ string, at time.Time) bool { return now.Sub(at) > s.deadMaxAge() })
	for name, at := range reportedAt {
		if at.After(s.reportedDead[name]) {
			s.reportedDead[name] = at
		}
	}
	if now.Sub(s.resumedAt) <= s.deadMaxAge() {
		return 0, 0
	}
	for _, age := range ages {
		oldest = max(oldest, age)
	}
	return len(ages), oldest
}

// unreachableAgents is how many agents the other hubs may have that were not heard of late: as many as they last told; those that were
// never heard, any number. A hub whose own process is dead has none. On the way it finds out since when all have told.
func (s *Server) unreachableAgents(ageByHub map[string]time.Duration, now time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allReportedAt = now
	for _, hub := range append(s.fleet.Hubs(), s.fleet.MissingHubs()...) {
		if age, fresh := ageByHub[hub.Name]; fresh {
			if at := now.Add(-age); at.Before(s.allReportedAt) {
				s.allReportedAt = at
			}
			continue
		}
		deadAt, dead := s.hubsDeadAt[hub.Addr.String()]
		if !dead || now.Sub(deadAt) <= s.deadMaxAge() { // what it told may still be used
			s.allReportedAt = time.Time{}
		}
		switch attached, known := s.attachedByHub[hub.Name]; {
		case dead:
		case known:
			n += int(attached)
		default:
			n += s.cfg.MaxAgents
		}
	}
	return n
}
