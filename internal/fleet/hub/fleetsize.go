package hub

import (
	"fmt"
	"maps"
	"martenbeam/internal/fleet/gossip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FleetSize is how many agents there are: at one hub, as hubs tell each other, or of a fleet, as they tell their agents.
type FleetSize struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // of these
	Dead     uint32 `cbor:"3,keyasint"` // dead for certain; of a fleet alone
}

// FleetSubject is the subject of the census of a fleet; a hub's own has its name.
const FleetSubject = "fleet"

const maxPlausibleAgents = 1 << 20 // what is above makes no sense

// MarshalBody writes a census as a fact's body.
func (s FleetSize) MarshalBody() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return body
}

// ParseFleetSize reads a fact's body.
func ParseFleetSize(body []byte) (size FleetSize, err error) {
	if err = cbor.Unmarshal(body, &size); err != nil {
		return size, err
	}
	if size.Attached > maxPlausibleAgents || size.Dead > maxPlausibleAgents || size.Starting > size.Attached {
		return FleetSize{}, fmt.Errorf("a census of %d, %d and %d", size.Attached, size.Starting, size.Dead)
	}
	return size, nil
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
