package hub

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	maxNames             = 4096             // of each list below
	remoteMaxAge         = 30 * time.Second // that an agent is at another hub: a move is over by then
	initialCheckInterval = time.Second      // between two looks at whether a lost agent's process is dead
	maxCheckInterval     = 10 * time.Second // the same, where nothing came of many
	// For so long after an agent has come another hub may still tell that it has it, from before it came.
	maxReportDelay = reportTimeout + 2*reportInterval
)

// registry is which agents are where, by name: attached here, heard of at another hub, or lost. A name is in one of the first
// two and lost at no time. Processes of one name are told apart by their incarnation: a later one replaces an earlier.
type registry struct {
	mu           sync.Mutex
	attached     map[string]*attachment
	disconnected map[string]*disconnectedAgent
	remote       map[string]remoteAttachment
	lastSerial   uint64 // counts who was attached here
}

// remoteAttachment is that another hub has an agent.
type remoteAttachment struct {
	incarnation uint64
	reportedAt  time.Time
}

// supersedes reports whether a notice says that who is attached here has gone there: that its process is there and not merely was, or
// a later one.
func (r remoteAttachment) supersedes(a *attachment) bool {
	return r.incarnation > a.incarnation || r.incarnation == a.incarnation && r.reportedAt.Sub(a.attachedAt) >= maxReportDelay
}

// disconnectedAgent is an agent whose stream ended here, and of which no hub has told since.
type disconnectedAgent struct {
	name            string
	incarnation     uint64
	addr            netip.AddrPort
	disconnectedAt  time.Time
	confirmedDeadAt time.Time // when its process was dead for certain, as last found out; zero: never
	nextCheckAt     time.Time // look
	checkInterval   time.Duration
	lastStatus      attachmentStatus
}

func newRegistry() *registry {
	return &registry{attached: map[string]*attachment{}, disconnected: map[string]*disconnectedAgent{}, remote: map[string]remoteAttachment{}}
}

// attach takes a stream in, unless a later process of the name is known, and returns the one that it replaces.
func (r *registry) attach(a *attachment, now time.Time) (replaced *attachment, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced = r.attached[a.name]
	if replaced == nil && len(r.attached) >= maxNames || replaced != nil && replaced.incarnation > a.incarnation {
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

// detach takes that a stream is over. Who is not heard of at another hub is lost; a goodbye is as good as a look.
func (r *registry) detach(a *attachment, left bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attached[a.name] != a {
		return // replaced
	}
	delete(r.attached, a.name)
	if remote, known := r.remote[a.name]; known && remote.supersedes(a) && now.Sub(remote.reportedAt) < remoteMaxAge {
		return
	}
	delete(r.remote, a.name)
	if len(r.disconnected) >= maxNames || !a.addr.IsValid() {
		return // it keeps its part
	}
	agent := &disconnectedAgent{name: a.name, incarnation: a.incarnation, addr: a.addr, disconnectedAt: now, nextCheckAt: now, checkInterval: initialCheckInterval, lastStatus: a.status()}
	if left {
		agent.confirmedDeadAt = now
	}
	r.disconnected[a.name] = agent
}

// applyRemote takes that another hub has a process of a name. It returns the stream here that the other's replaces, or the later
// incarnation here, before which the other has to go; 0: none.
func (r *registry) applyRemote(name string, incarnation uint64, now time.Time) (replaced *attachment, newer uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attached[name]
	if a != nil && a.incarnation > incarnation {
		return nil, a.incarnation
	}
	if remote, known := r.remote[name]; !known && len(r.remote) >= maxNames || known && remote.incarnation > incarnation && now.Sub(remote.reportedAt) < remoteMaxAge {
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

// expireRemote drops the notices that are old.
func (r *registry) expireRemote(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.remote, func(_ string, remote remoteAttachment) bool { return now.Sub(remote.reportedAt) >= remoteMaxAge })
}

// isPresent reports whether an agent is here, or was heard of at another hub no longer ago than this.
func (r *registry) isPresent(name string, maxAge time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	remote, known := r.remote[name]
	return r.attached[name] != nil || known && now.Sub(remote.reportedAt) <= maxAge
}

// attachments are those who are here.
func (r *registry) attachments() []*attachment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.attached))
}

// nextChecks are up to so many of the lost at whom it is time to look.
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

// recordCheck takes what a look at a lost one came to that began at a time.
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

// confirmedDead are the lost that were dead for certain no longer ago than this, by name, each with when.
func (r *registry) confirmedDead(maxAge time.Duration, now time.Time) (list []disconnectedAgent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.disconnected {
		if !agent.confirmedDeadAt.IsZero() && now.Sub(agent.confirmedDeadAt) <= maxAge {
			list = append(list, *agent)
		}
	}
	slices.SortFunc(list, func(a, b disconnectedAgent) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// clear forgets everything, and returns the streams that were here.
func (r *registry) clear() (list []*attachment) {
	list = r.attachments()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.attached)
	clear(r.disconnected)
	clear(r.remote)
	return list
}

// unconfirmed are the lost that were not found dead.
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
