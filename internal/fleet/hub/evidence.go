// This file holds what a hub knows of the other hubs and of dead processes. From it follow how many quotas of dead
// agents the others may use, and whether an agent's own quota is free of other users.

package hub

import (
	"maps"
	"sync"
	"time"

	"martenbeam/internal/fleet/member"
)

// minConfirmDelay is how long an agent has been attached before its quota is confirmed.
const minConfirmDelay = time.Second

// evidence is what this hub knows of the other hubs and of dead processes. Its methods may be called from any
// goroutine.
type evidence struct {
	maxAge    time.Duration // of a report that a process is dead: for so long others may use its quota
	maxAgents int           // of the fleet

	mu            sync.Mutex
	resumedAt     time.Time            // the process has run without a suspension since then
	reportedDead  map[string]time.Time // by name: the latest time at which any hub or member saw the process dead
	attachedByHub map[string]uint32    // by hub name: its attached agents as last reported, of whatever age
	hubsDeadAt    map[string]time.Time // by address, of missing hubs that are dead for certain: since when
	allReportedAt time.Time            // every hub has reported something that it saw at this time or later; zero: not every hub
}

func newEvidence(maxAge time.Duration, maxAgents int, now time.Time) *evidence {
	return &evidence{maxAge: maxAge, maxAgents: maxAgents, resumedAt: now, reportedDead: map[string]time.Time{},
		attachedByHub: map[string]uint32{}, hubsDeadAt: map[string]time.Time{}}
}

// reset forgets what was known before a suspension of the process.
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

// recordDead records when processes were seen dead, by name, and drops reports past maxAge. It reports whether the
// dead may be counted: a hub that has started or resumed within maxAge may have missed reports of those that live.
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
// checkedAt. A hub that is not among them any more counts as alive again.
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

// unreachableAgents returns an upper bound of the agents that are attached to hubs without a recent report: as many
// as each last reported, maxAgents for a hub that never did, none for a hub that is dead for certain. ages holds the
// ages of the recent reports, by hub name. It also updates allReportedAt.
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
		if !dead || now.Sub(deadAt) <= e.maxAge { // what it reported before may still be in use
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

// uptime returns for how long the process has run without a suspension.
func (e *evidence) uptime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.resumedAt)
}

// quotaConfirmed reports whether nobody but the agent itself uses the quota of an agent that attached at attachedAt.
// Someone who counted the agent as dead would have published it by now: every hub has reported something since the
// agent attached, this hub has been up for longer than a report of a dead process is used, and no report within that
// time named the agent.
func (e *evidence) quotaConfirmed(name string, attachedAt, now time.Time) bool {
	if now.Sub(attachedAt) < minConfirmDelay || e.uptime(now) <= e.maxAge {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, dead := e.reportedDead[name]
	return e.allReportedAt.After(attachedAt) && !dead
}
