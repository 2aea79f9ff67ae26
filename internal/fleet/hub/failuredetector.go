// This file finds out which disconnected agents are dead, and publishes their names to the other hubs.

package hub

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	checkRoundInterval = time.Second
	checkTimeout       = 600 * time.Millisecond
	maxChecks          = 256 // in one round, all at once
	maxDeadNames       = 64  // in one entry
	maxDeadBytes       = 600 // of names in one entry, so that a datagram between members holds it
)

// failureDetector checks the disconnected agents and the missing hubs once a second until ctx ends. Only a machine that
// refuses connections proves that a process is dead: one that does not answer may be alive beyond a partition.
func (s *Server) failureDetector(ctx context.Context) {
	tick := time.NewTicker(checkRoundInterval)
	defer tick.Stop()
	for published := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.checkDisconnected(ctx)
		published = s.publishDead(published)
	}
}

// checkDisconnected calls the disconnected agents that are due, and all missing hubs, and records which are dead.
func (s *Server) checkDisconnected(ctx context.Context) {
	startedAt := time.Now()
	var calls sync.WaitGroup
	for _, agent := range s.registry.nextChecks(maxChecks, startedAt) {
		calls.Go(func() {
			dead := s.fleet.ConfirmDead(ctx, member.Member{Addr: agent.addr}, checkTimeout)
			s.registry.recordCheck(agent, dead, startedAt)
		})
	}
	var mu sync.Mutex
	deadHubs := map[string]bool{}
	for _, hub := range s.fleet.MissingHubs() {
		calls.Go(func() {
			if s.fleet.ConfirmDead(ctx, hub, checkTimeout) {
				mu.Lock()
				defer mu.Unlock()
				deadHubs[hub.Addr.String()] = true
			}
		})
	}
	calls.Wait()
	s.evidence.recordDeadHubs(deadHubs, startedAt)
}

// publishDead publishes the names of the dead in as many entries as they need, each as old as the oldest check in it,
// and empties the rest of the entries that the last round published. It returns how many entries hold names.
func (s *Server) publishDead(published int) (n int) {
	now := time.Now()
	for dead := s.registry.confirmedDead(s.maxSourceAge(gossip.DeadProcesses), now); len(dead) > 0; n++ {
		names, size, oldestAt := []string{}, 0, now
		for len(dead) > 0 && len(names) < maxDeadNames && size+len(dead[0].name) <= maxDeadBytes {
			if dead[0].confirmedDeadAt.Before(oldestAt) {
				oldestAt = dead[0].confirmedDeadAt
			}
			names, size, dead = append(names, dead[0].name), size+2+len(dead[0].name), dead[1:]
		}
		s.publishDeadNames(n, names, now.Sub(oldestAt))
	}
	for i := n; i < published; i++ {
		s.publishDeadNames(i, []string{}, 0)
	}
	return n
}

// publishDeadNames publishes the i-th entry of names.
func (s *Server) publishDeadNames(i int, names []string, age time.Duration) {
	body, err := cbor.Marshal(names)
	if err != nil {
		panic(err) // strings always encode
	}
	s.fleet.Gossip().PublishAged(gossip.DeadProcesses, "agents "+strconv.Itoa(i), body, age)
}
