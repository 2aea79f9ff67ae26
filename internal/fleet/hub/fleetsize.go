// This file computes the fleet size, from which the agents compute their quotas.

package hub

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// FleetSize counts the agents of one hub, in the entries that hubs publish to each other, or the agents of the fleet, in
// the entries that a hub publishes to its agents.
type FleetSize struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // the attached agents that do not serve yet
	Dead     uint32 `cbor:"3,keyasint"` // agents that are confirmed dead and whose quota others may use; 0 in the size of one hub
}

// FleetSubject is the subject of the entry with the size of the fleet. The entry with a hub's own size has the hub's name
// as its subject.
const FleetSubject = "fleet"

const maxPlausibleAgents = 1 << 20 // a body with a larger count is malformed

// MarshalBody encodes the size as the body of a gossip.FleetSize entry.
func (s FleetSize) MarshalBody() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: the size contains only numbers
	}
	return body
}

// ParseFleetSize decodes the body of a gossip.FleetSize entry. It returns an error if the body is malformed or its
// counts contradict each other.
func ParseFleetSize(body []byte) (size FleetSize, err error) {
	if err = cbor.Unmarshal(body, &size); err != nil {
		return size, fmt.Errorf("decode fleet size: %w", err)
	}
	if size.Attached > maxPlausibleAgents || size.Dead > maxPlausibleAgents || size.Starting > size.Attached {
		return FleetSize{}, fmt.Errorf("implausible fleet size: %d attached, %d starting, %d dead",
			size.Attached, size.Starting, size.Dead)
	}
	return size, nil
}

// localSize counts the agents attached to this hub.
func (s *Server) localSize() (size FleetSize) {
	for _, a := range s.registry.attachments() {
		size.Attached++
		if !a.status().Serving {
			size.Starting++
		}
	}
	return size
}

// fleetSize computes the size of the fleet, and records the reports of other hubs in s.evidence. age is the age of the
// oldest entry used.
//
// The quotas in use must never add up to more than the limit, even if agents are running on the other side of a
// partition. Dead is therefore at most MaxAgents less the number of agents that may be running: the agents attached to
// any hub, the agents that are members themselves, and as many as may be attached to the hubs without a recent report.
func (s *Server) fleetSize(now time.Time) (size FleetSize, age time.Duration) {
	size = s.localSize()
	ageByHub := map[string]time.Duration{}
	for _, entry := range s.fleet.Gossip().Entries(gossip.FleetSize) {
		remote, err := ParseFleetSize(entry.Body)
		if err != nil || entry.Subject != entry.Observer || entry.Observer == s.cfg.Name {
			continue
		}
		s.evidence.recordAttached(entry.Observer, remote.Attached)
		if entry.Age <= s.maxSourceAge(gossip.FleetSize) {
			size.Attached, size.Starting, age = size.Attached+remote.Attached, size.Starting+remote.Starting, max(age, entry.Age)
			ageByHub[entry.Observer] = entry.Age
		}
	}
	meshAgents := s.fleet.MeshAgents()
	dead, deadAge := s.countDead(meshAgents, now)
	unreachable := s.evidence.unreachableAgents(append(s.fleet.Hubs(), s.fleet.MissingHubs()...), ageByHub, now)
	size.Dead = uint32(max(0, min(dead, s.cfg.MaxAgents-int(size.Attached)-len(meshAgents)-unreachable)))
	if size.Dead > 0 {
		age = max(age, deadAge)
	}
	return size, age
}

// maxSourceAge returns the maximum age of an entry that a published aggregate includes: two thirds of the age bound of
// the entry's kind, so that the aggregate can be used for some time before it reaches the bound.
func (s *Server) maxSourceAge(kind gossip.Kind) time.Duration { return s.cfg.AgeBounds[kind] * 2 / 3 }

// deadMaxAge returns how long a report that a process is dead is valid.
func (s *Server) deadMaxAge() time.Duration { return s.cfg.AgeBounds[gossip.DeadProcesses] }

// countDead counts the names that a hub or a member reports as dead, except the names of hubs, of agents that are members
// themselves, and of agents attached to a hub. Each name counts once, with its latest report; reports older than
// maxSourceAge do not count. oldest is the age of the oldest report that counts. countDead also records all reports in
// s.evidence. A hub that started or resumed within deadMaxAge counts none.
func (s *Server) countDead(meshAgents map[string]bool, now time.Time) (n int, oldest time.Duration) {
	hubs := map[string]bool{}
	for _, hub := range append(s.fleet.Hubs(), s.fleet.MissingHubs()...) {
		hubs[hub.Name] = true
	}
	ages, seenAt := map[string]time.Duration{}, map[string]time.Time{}
	for _, entry := range s.fleet.Gossip().Entries(gossip.DeadProcesses) {
		var names []string
		if cbor.Unmarshal(entry.Body, &names) != nil {
			continue
		}
		for _, name := range names {
			if at := now.Add(-entry.Age); at.After(seenAt[name]) {
				seenAt[name] = at
			}
			if entry.Age > s.maxSourceAge(gossip.DeadProcesses) || hubs[name] || meshAgents[name] ||
				s.registry.isPresent(name, s.deadMaxAge(), now) {
				continue
			}
			if age, known := ages[name]; !known || entry.Age < age {
				ages[name] = entry.Age
			}
		}
	}
	if !s.evidence.recordDead(seenAt, now) {
		return 0, 0
	}
	for _, age := range ages {
		oldest = max(oldest, age)
	}
	return len(ages), oldest
}
