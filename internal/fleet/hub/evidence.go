package hub

import (
	"time"
)

// quotaConfirmed reports whether nobody uses an agent's part but itself: who counts it as dead would have told by now. Every hub has
// told something since it came, this one included, and of nobody's words that may still be used any named it.
func (s *Server) quotaConfirmed(a *attachment) bool {
	now := time.Now()
	if now.Sub(a.attachedAt) < minConfirmDelay || s.uptime(now) <= s.deadMaxAge() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, reported := s.reportedDead[a.name]
	return s.allReportedAt.After(a.attachedAt) && !reported
}

const minConfirmDelay = time.Second

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
