// This file contains the registry of agents: the agents attached to this hub, the agents attached to other
// hubs, and the disconnected agents.

package hub

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

const (
	maxRegistryEntries   = 4096             // entries in each map of the registry
	remoteMaxAge         = 30 * time.Second // of a remote attachment: an agent's move to another hub takes less time
	initialCheckInterval = time.Second      // between two checks whether a disconnected agent is dead
	maxCheckInterval     = 10 * time.Second // the same, after several checks that did not find it dead
	// maxReportDelay is the longest time after an agent attaches to this hub within which an outdated report can arrive. A
	// report is outdated if another hub wrote it while the agent was still attached to that hub.
	maxReportDelay = hubCallTimeout + 2*reportInterval
)

// registry records for each agent, by name, whether the agent is attached to this hub, attached to another hub according
// to that hub's report, or disconnected. An agent is disconnected if its stream to this hub has ended and no other hub
// has reported the same or a later process of the agent since. Processes of one name are distinguished by their
// incarnation; the process with the higher incarnation replaces the other. The methods of registry may be called from
// any goroutine.
type registry struct {
	mu           sync.Mutex
	attached     map[string]*attachment
	disconnected map[string]*disconnectedAgent
	remote       map[string]remoteAttachment
	lastSerial   uint64 // of attachments to this hub
}

// remoteAttachment is an agent's attachment to another hub, as that hub reported it.
type remoteAttachment struct {
	incarnation uint64
	reportedAt  time.Time
}

// supersedes reports whether the agent of attachment a has moved to the other hub: the report is of a later process, or
// of the same process and arrived at least maxReportDelay after the agent attached to this hub. An earlier report of the
// same process may be outdated.
func (r remoteAttachment) supersedes(a *attachment) bool {
	return r.incarnation > a.incarnation || r.incarnation == a.incarnation && r.reportedAt.Sub(a.attachedAt) >= maxReportDelay
}

// disconnectedAgent is an agent whose stream to this hub has ended and that no other hub has reported since. Other agents
// may use its quota only after it is confirmed dead. The registry's mutex guards all fields except name, incarnation and
// addr, which never change.
type disconnectedAgent struct {
	name            string
	incarnation     uint64
	addr            netip.AddrPort
	disconnectedAt  time.Time
	confirmedDeadAt time.Time // the latest time at which its process was confirmed dead; zero: never
	nextCheckAt     time.Time
	checkInterval   time.Duration
	lastStatus      frame.State
}

func newRegistry() *registry {
	return &registry{
		attached:     map[string]*attachment{},
		disconnected: map[string]*disconnectedAgent{},
		remote:       map[string]remoteAttachment{},
	}
}

// attach registers an attachment and sets its serial. It returns the attachment of the same name that it replaces, if
// any, which the caller closes. ok is false if a later process of the name is attached to any hub, or if the registry is
// full.
func (r *registry) attach(a *attachment, now time.Time) (replaced *attachment, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced = r.attached[a.name]
	if replaced == nil && len(r.attached) >= maxRegistryEntries || replaced != nil && replaced.incarnation > a.incarnation {
		return nil, false
	}
	if remote, known := r.remote[a.name]; known && remote.incarnation > a.incarnation && now.Sub(remote.reportedAt) < remoteMaxAge {
		return nil, false
	}
	r.lastSerial++
	a.serial = r.lastSerial
	r.attached[a.name] = a
	delete(r.disconnected, a.name)
	delete(r.remote, a.name)
	return replaced, true
}

// detach removes an attachment that has ended. Unless the agent has moved to another hub, detach records the agent as
// disconnected. If left is true, the agent has sent Leave, and detach also records it as confirmed dead. An agent without
// a valid address cannot be checked and is not recorded, so its quota stays unused.
func (r *registry) detach(a *attachment, left bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attached[a.name] != a {
		return // another attachment or a remote one has replaced a, or the registry was cleared
	}
	delete(r.attached, a.name)
	if remote, known := r.remote[a.name]; known && remote.supersedes(a) && now.Sub(remote.reportedAt) < remoteMaxAge {
		return
	}
	delete(r.remote, a.name)
	if len(r.disconnected) >= maxRegistryEntries || !a.addr.IsValid() {
		return // the agent is never confirmed dead, so no other agent uses its quota
	}
	agent := &disconnectedAgent{
		name: a.name, incarnation: a.incarnation, addr: a.addr, disconnectedAt: now,
		nextCheckAt: now, checkInterval: initialCheckInterval, lastStatus: a.status(),
	}
	if left {
		agent.confirmedDeadAt = now
	}
	r.disconnected[a.name] = agent
}

// applyRemote records another hub's report that a process is attached to that hub. It returns the attachment to this hub
// that the report replaces, if any, which the caller closes. If the process attached to this hub has a higher
// incarnation, newer is that incarnation, so that the other hub closes its attachment; otherwise newer is 0. applyRemote
// ignores the report if a later process was reported within remoteMaxAge, or if the registry is full.
func (r *registry) applyRemote(name string, incarnation uint64, now time.Time) (replaced *attachment, newer uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attached[name]
	if a != nil && a.incarnation > incarnation {
		return nil, a.incarnation
	}
	remote, known := r.remote[name]
	if !known && len(r.remote) >= maxRegistryEntries {
		return nil, 0
	}
	if known && remote.incarnation > incarnation && now.Sub(remote.reportedAt) < remoteMaxAge {
		return nil, 0
	}
	r.remote[name] = remoteAttachment{incarnation, now}
	if agent := r.disconnected[name]; agent != nil && agent.incarnation <= incarnation {
		delete(r.disconnected, name)
	}
	if a != nil && a.incarnation < incarnation {
		delete(r.attached, name)
		return a, 0
	}
	return nil, 0
}

// expireRemote drops the remote attachments that are older than remoteMaxAge.
func (r *registry) expireRemote(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.remote, func(_ string, remote remoteAttachment) bool { return now.Sub(remote.reportedAt) >= remoteMaxAge })
}

// isPresent reports whether an agent is attached to this hub, or was reported by another hub within maxAge.
func (r *registry) isPresent(name string, maxAge time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	remote, known := r.remote[name]
	return r.attached[name] != nil || known && now.Sub(remote.reportedAt) <= maxAge
}

// attachments returns the attachments to this hub, in no particular order.
func (r *registry) attachments() []*attachment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.attached))
}

// nextChecks returns up to limit disconnected agents that are due for a check.
func (r *registry) nextChecks(limit int, now time.Time) (list []*disconnectedAgent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.disconnected {
		if len(list) < limit && !now.Before(agent.nextCheckAt) {
			list = append(list, agent)
		}
	}
	return list
}

// recordCheck records whether a disconnected agent was dead at the time at, when the check began. A check that does not
// find the agent dead doubles the interval to the next check, up to maxCheckInterval.
func (r *registry) recordCheck(agent *disconnectedAgent, dead bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dead {
		agent.confirmedDeadAt, agent.checkInterval = at, initialCheckInterval
	} else {
		agent.checkInterval = min(2*agent.checkInterval, maxCheckInterval)
	}
	agent.nextCheckAt = at.Add(agent.checkInterval)
}

// confirmedDead returns copies of the disconnected agents that were confirmed dead within maxAge, sorted by name.
func (r *registry) confirmedDead(maxAge time.Duration, now time.Time) (list []disconnectedAgent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.disconnected {
		if !agent.confirmedDeadAt.IsZero() && now.Sub(agent.confirmedDeadAt) <= maxAge {
			list = append(list, *agent)
		}
	}
	slices.SortFunc(list, func(a, b disconnectedAgent) int { return cmp.Compare(a.name, b.name) })
	return list
}

// clear empties the registry and returns the removed attachments, which the caller closes.
func (r *registry) clear() (list []*attachment) {
	list = r.attachments()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.attached)
	clear(r.disconnected)
	clear(r.remote)
	return list
}

// unconfirmed returns copies of the disconnected agents that were never confirmed dead.
func (r *registry) unconfirmed() (list []disconnectedAgent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.disconnected {
		if agent.confirmedDeadAt.IsZero() {
			list = append(list, *agent)
		}
	}
	return list
}
