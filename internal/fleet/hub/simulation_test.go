// This file simulates hubs and agents in virtual time, with real servers and gossip stores, over connections that can be
// partitioned.

package hub

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
)

// simulation is a set of hubs and agents, driven by one goroutine in a synctest bubble.
type simulation struct {
	t             *testing.T
	maxAgents     int
	rand          *rand.Rand
	tasks         sync.WaitGroup
	mu            sync.Mutex
	hubs          []*simHub
	agents        []*simAgent // the latest process of each name; nil before the first
	processes     []*simAgent // all processes, in the order of their start
	incarnations  uint64      // the latest incarnation assigned to an agent's process
	partitioned   bool        // hubs and agents with odd numbers cannot reach those with even numbers
	partitionedAt time.Time
}

// startSimulation starts four hubs and ten agents. Ten is also the maximum number of agents in the fleet.
func startSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	const maxAgents = 10
	s := &simulation{t: t, maxAgents: maxAgents, rand: rand.New(rand.NewPCG(seed, 1)), agents: make([]*simAgent, maxAgents)}
	for n := range 4 {
		s.hubs = append(s.hubs, &simHub{sim: s, n: n})
	}
	for _, hub := range s.hubs {
		hub.start()
	}
	for n := range maxAgents {
		s.spawn(n)
	}
	return s
}

// stop ends all agents and hubs, and waits for them.
func (s *simulation) stop() {
	for _, agent := range s.agents {
		if agent != nil {
			agent.kill(false)
		}
	}
	for _, hub := range s.hubs {
		hub.stop()
	}
	s.tasks.Wait()
}

// isPartitioned reports whether a partition separates the hubs or agents with the numbers a and b.
func (s *simulation) isPartitioned(a, b int) bool { return s.partitioned && a%2 != b%2 }

// gossip passes gossip messages between the hubs, and drops a quarter of them at random.
func (s *simulation) gossip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, from := range s.hubs {
		if from.server == nil {
			continue
		}
		from.gossip.Tick()
		for _, to := range s.hubs {
			if from != to && to.server != nil && !s.isPartitioned(from.n, to.n) && s.rand.IntN(4) > 0 {
				if data := from.gossip.NextMessage(1000, len(s.hubs)); data != nil {
					_ = to.gossip.Merge(data)
				}
			}
		}
	}
}

// spawn starts a new process of the n-th agent.
func (s *simulation) spawn(n int) {
	s.incarnations++
	store := gossip.New(fmt.Sprint("agent", n), s.incarnations, gossip.DefaultAgeBounds, nil)
	a := &simAgent{sim: s, n: n, incarnation: s.incarnations, startedAt: time.Now(), gossip: store}
	s.mu.Lock()
	s.agents[n] = a
	s.processes = append(s.processes, a)
	s.mu.Unlock()
}

// quotaSum returns the sum of the quotas of all running processes, including processes that share a name.
func (s *simulation) quotaSum() (sum float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.processes {
		if !a.dead {
			sum += a.quota()
		}
	}
	return sum
}

// run runs the simulation for d of virtual time. Agents without a hub attach to random hubs at random times. run fails the
// test if the quotas add up to more than 1.1 times the limit.
func (s *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.gossip()
		for _, a := range s.agents {
			s.mu.Lock()
			unattached := a != nil && !a.dead && a.hub == nil
			s.mu.Unlock()
			if unattached && s.rand.IntN(10) == 0 {
				a.attach(s.hubs[s.rand.IntN(len(s.hubs))])
			}
		}
		if sum := s.quotaSum(); sum > 1.1+1e-9 {
			s.t.Fatalf("the quotas add up to %v of the limit, want at most 1.1", sum)
		}
	}
}

// step triggers a random event.
func (s *simulation) step() {
	n := s.rand.IntN(len(s.agents))
	agent := s.agents[n]
	switch choice := s.rand.IntN(10); {
	case agent == nil || agent.dead:
		s.spawn(n)
	case choice < 3:
		agent.kill(false)
	case choice == 3:
		agent.kill(true)
	case choice == 4: // immediate restart
		agent.kill(false)
		s.spawn(n)
	case choice < 7:
		agent.attach(s.hubs[s.rand.IntN(len(s.hubs))])
	case choice == 7:
		s.mu.Lock()
		s.partitioned, s.partitionedAt = !s.partitioned, time.Now()
		s.mu.Unlock()
	case choice == 8: // seven of ten agents die simultaneously
		for i, other := range s.agents {
			if other != nil && !other.dead && i%10 < 7 {
				other.kill(false)
			}
		}
	default:
		if hub := s.hubs[s.rand.IntN(len(s.hubs))]; hub.server != nil {
			hub.stop()
			s.run(time.Duration(s.rand.IntN(4000)) * time.Millisecond)
			hub.start()
		}
	}
}
