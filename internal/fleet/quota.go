package fleet

// This file computes the quota: this process's fraction of the fleet's in-flight limit.

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	// startupQuota is the fraction of an even quota that a starting process uses until its quota is confirmed, that is,
	// until no other process can be using it. Others use the quota of a process that is published as dead, up to the age
	// bound of that entry. So the quota is confirmed once the process has run for that long or, if it is not published as
	// dead, once minPeerPeriod has passed since the first other member joined: within that period it would have received
	// such an entry.
	startupQuota  = 0.1
	minPeerPeriod = 500 * time.Millisecond
)

// recomputeQuota computes this process's quota of the in-flight limit and passes it to Callbacks.Quota if it has changed.
// The limit is divided evenly among the processes that the fleet may have, less those that are published as dead. A process
// that merely does not respond keeps its quota, because it may still run behind a network partition. So the quotas of all
// processes never exceed the limit.
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

// publishedDead returns the names of the processes that are published as dead and have a quota: members and hubs are left out.
// self reports whether this process is published as dead, because of its predecessor.
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
