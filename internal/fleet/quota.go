package fleet

// This file computes the quota: this process's fraction of the fleet's in-flight limit.

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	// startupQuota is the fraction of an even quota that a process uses after its start, until its quota is confirmed. If
	// the predecessor was published as dead, other processes may use this quota, up to the age bound of the published
	// entry. The quota is confirmed when the process has run for this age bound. It is confirmed earlier, minPeerPeriod
	// after the first other member joined, if no received entry publishes this process as dead: an existing entry would
	// have arrived within minPeerPeriod.
	startupQuota  = 0.1
	minPeerPeriod = 500 * time.Millisecond
)

// recomputeQuota computes this process's quota of the in-flight limit and passes it to Callbacks.Quota if it has changed.
// The limit is divided evenly among MaxMembers processes, less the processes that are published as dead, or among the agents
// in the list of members if they are more. A process that does not respond keeps its quota until it is published as dead,
// because it may still run behind a network partition. The sum of the quotas therefore does not exceed the limit.
func (f *Fleet) recomputeQuota() {
	view := f.members.View()
	dead, publishedAsDead := f.publishedDead(view)
	now := time.Now()
	f.mu.Lock()
	if f.firstPeerJoinedAt.IsZero() && f.members.PeerJoins() > 0 {
		f.firstPeerJoinedAt = now
	}
	quotaConfirmed := now.Sub(f.startedAt) >= f.cfg.AgeBounds[gossip.DeadProcesses] ||
		!f.firstPeerJoinedAt.IsZero() && now.Sub(f.firstPeerJoinedAt) >= minPeerPeriod && !publishedAsDead
	quota := startupQuota / float64(f.cfg.MaxMembers)
	if quotaConfirmed {
		quota = 1 / float64(max(1, view.AgentCount(), f.cfg.MaxMembers-len(dead)))
	}
	unchanged := quota == f.quota
	f.quota = quota
	f.mu.Unlock()
	if unchanged {
		return
	}
	f.trace(map[string]any{"part": quota})
	if f.callbacks.Quota != nil {
		f.callbacks.Quota(quota)
	}
}

// publishedDead returns the names of the processes that are published as dead and whose quota others may use. It leaves out
// current members and failed hubs. self reports whether this process is published as dead, because its predecessor died.
func (f *Fleet) publishedDead(view *member.View) (dead map[string]bool, self bool) {
	dead = map[string]bool{}
	for _, entry := range f.store.Entries(gossip.DeadProcesses) {
		var names []string
		if cbor.Unmarshal(entry.Body, &names) != nil {
			continue
		}
		for _, name := range names {
			if name == f.cfg.Name {
				self = true
			} else if _, isMember := view.ByName(name); !isMember && !f.members.IsFailedHub(name) {
				dead[name] = true
			}
		}
	}
	return dead, self
}
