// This file records the reports about other hubs and dead processes. From these records the hub computes how many quotas
// of dead agents other agents may use, and whether an agent is the only user of its own quota.

package hub

import (
	"maps"
	"sync"
	"time"

	"martenbeam/internal/fleet/member"
)

// minConfirmDelay is the minimum time from an agent's attachment to the confirmation of its quota.
const minConfirmDelay = time.Second

// evidence records the reports about other hubs and dead processes. Its methods may be called from any goroutine.
type evidence struct {
	maxAge    time.Duration // of a report that a process is dead: other agents may use the process's quota until then
	maxAgents int           // Config.MaxAgents

	mu            sync.Mutex
	resumedAt     time.Time            // the process has run without a suspension since then
	reportedDead  map[string]time.Time // by name: the latest time at which any hub or member found the process dead
	attachedByHub map[string]uint32    // by hub name: the number of agents in the hub's last report, of any age
	hubsDeadAt    map[string]time.Time // by address of a missing hub: since when every check has confirmed the hub dead
	// allReportedAt is the time of the oldest of the hubs' last reports. It is zero if a hub has no recent report, unless
	// the hub has been dead for longer than maxAge.
	allReportedAt time.Time
}

func newEvidence(maxAge time.Duration, maxAgents int, now time.Time) *evidence {
	return &evidence{maxAge: maxAge, maxAgents: maxAgents, resumedAt: now, reportedDead: map[string]time.Time{},
		attachedByHub: map[string]uint32{}, hubsDeadAt: map[string]time.Time{}}
}

// reset clears the reports received before a suspension of the process, and restarts the uptime.
func (e *evidence) reset(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumedAt = now
	clear(e.reportedDead)
	clear(e.attachedByHub)
	clear(e.hubsDeadAt)
}

// recordAttached records how many agents another hub reported as attached to it.
func (e *evidence) recordAttached(hub string, attached uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attachedByHub[hub] = attached
}

// recordDead records when processes were found dead, by name, and drops reports older than maxAge. It reports whether
// the hub may count dead agents. The hub may not count any within maxAge of its start or of a suspension, because it may
// have missed reports that these agents are running.
func (e *evidence) recordDead(seenAt map[string]time.Time, now time.Time) (countable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.reportedDead, func(_ string, at time.Time) bool { return now.Sub(at) > e.maxAge })
	for name, at := range seenAt {
		if at.After(e.reportedDead[name]) {
			e.reportedDead[name] = at
		}
	}
	return now.Sub(e.resumedAt) > e.maxAge
}

// recordDeadHubs records the result of one round of checks: the addresses of the missing hubs that were dead at
// checkedAt. A hub whose address is not in dead no longer counts as dead.
func (e *evidence) recordDeadHubs(dead map[string]bool, checkedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr := range e.hubsDeadAt {
		if !dead[addr] {
			delete(e.hubsDeadAt, addr)
		}
	}
	for addr := range dead {
		if _, known := e.hubsDeadAt[addr]; !known {
			e.hubsDeadAt[addr] = checkedAt
		}
	}
}

// unreachableAgents returns an upper bound of the number of agents attached to hubs without a recent report. Each of
// these hubs counts with the number that it last reported, with maxAgents if it has never reported, and with none if it
// is confirmed dead. ages has the ages of the recent reports, by hub name. unreachableAgents also updates allReportedAt.
func (e *evidence) unreachableAgents(hubs []member.Member, ages map[string]time.Duration, now time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allReportedAt = now
	for _, hub := range hubs {
		if age, fresh := ages[hub.Name]; fresh {
			if at := now.Add(-age); at.Before(e.allReportedAt) {
				e.allReportedAt = at
			}
			continue
		}
		deadAt, dead := e.hubsDeadAt[hub.Addr.String()]
		if !dead || now.Sub(deadAt) <= e.maxAge { // the hub's earlier reports may still be in use
			e.allReportedAt = time.Time{}
		}
		switch attached, known := e.attachedByHub[hub.Name]; {
		case dead:
		case known:
			n += int(attached)
		default:
			n += e.maxAgents
		}
	}
	return n
}

// uptime returns how long the process has run without a suspension.
func (e *evidence) uptime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.resumedAt)
}

// quotaConfirmed reports whether an agent that attached at attachedAt is the only user of its quota. It returns true
// only if the agent attached at least minConfirmDelay ago, every hub has reported since the agent attached, this hub has
// run for longer than a report of a dead process is valid, and no valid report names the agent. Hubs count dead agents from
// published reports; by then this hub has received any report that names the agent.
func (e *evidence) quotaConfirmed(name string, attachedAt, now time.Time) bool {
	if now.Sub(attachedAt) < minConfirmDelay || e.uptime(now) <= e.maxAge {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, dead := e.reportedDead[name]
	return e.allReportedAt.After(attachedAt) && !dead
}
