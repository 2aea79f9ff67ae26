// This file computes the fleet size, from which the agents compute their quotas.

package hub

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// FleetSize counts agents: those of one hub, as hubs publish to each other, or those of the fleet, as a hub publishes
// to its agents.
type FleetSize struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // of Attached: those that do not serve yet
	Dead     uint32 `cbor:"3,keyasint"` // agents that are dead for certain and whose quota others may use; 0 for one hub
}

// FleetSubject is the subject of the entry that holds the size of the fleet. A hub's own size has the hub's name as its
// subject.
const FleetSubject = "fleet"

const maxPlausibleAgents = 1 << 20 // a body with a larger count is malformed

// MarshalBody encodes the size as the body of a gossip.FleetSize entry.
func (s FleetSize) MarshalBody() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // it holds only numbers
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

// localSize counts the agents that are attached here.
func (s *Server) localSize() (size FleetSize) {
	for _, a := range s.registry.attachments() {
		size.Attached++
		if !a.status().Serving {
			size.Starting++
		}
	}
	return size
}

// fleetSize computes the size of the fleet. Its age is that of the oldest entry that it rests on.
//
// The quotas in use must never add up to more than the limit, also when agents are alive beyond a partition. So Dead
// is at most what MaxAgents leaves after everyone who may be alive: the agents attached anywhere, the agents that are
// members themselves, and as many as the hubs without a recent report may have.
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

// maxSourceAge returns how old an entry may be that a published sum rests on: two thirds of the age bound of its
// kind, so that the sum can be used for a while before it reaches the bound.
func (s *Server) maxSourceAge(kind gossip.Kind) time.Duration { return s.cfg.AgeBounds[kind] * 2 / 3 }

// deadMaxAge returns for how long a report that a process is dead is used.
func (s *Server) deadMaxAge() time.Duration { return s.cfg.AgeBounds[gossip.DeadProcesses] }

// countDead counts the names that a hub or a member reports as dead, except those of hubs, of agents that are members
// themselves, and of agents known to be attached to a hub. oldest is the age of the oldest report that counts. A hub
// that has just started or resumed counts none.
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
