// This file detects which disconnected agents are dead, and publishes their names to the other hubs.

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
	maxChecks          = 256 // agents that one round checks, all concurrently
	maxDeadNames       = 64  // in one gossip entry
	maxDeadBytes       = 600 // of names in one gossip entry, so that the entry fits into a datagram between members
)

// detectFailures checks the disconnected agents and the missing hubs once a second until ctx ends. A process
// is confirmed dead only if its machine refuses connections: a process that does not respond may be running on the other
// side of a partition.
func (s *Server) detectFailures(ctx context.Context) {
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

// checkDisconnected checks the disconnected agents that are due and all missing hubs, and records which are dead.
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

// publishDead publishes the names of the dead agents, in as many entries as necessary. The age of an entry is the age of
// the oldest check in it. published is the number of entries that contained names in the last round: publishDead empties
// the entries that are no longer needed, and returns the new number.
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

// publishDeadNames publishes names as the i-th entry, with the given age.
func (s *Server) publishDeadNames(i int, names []string, age time.Duration) {
	body, err := cbor.Marshal(names)
	if err != nil {
		panic(err) // strings always encode
	}
	s.fleet.Gossip().PublishAged(gossip.DeadProcesses, "agents "+strconv.Itoa(i), body, age)
}
