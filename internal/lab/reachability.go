package lab

// Which agents and hubs could reach each other, and when.

import (
	"slices"
	"time"

	"martenbeam/internal/lab/netfault"
)

// reachable records which processes are up from a time on, and which pairs can reach each other.
type reachable struct {
	at                   time.Duration
	agents, hubs         []bool
	agentToHub, hubToHub []bool // matrices: agent by hub, hub by hub
}

const reachabilityInterval = 20 * time.Millisecond

// watchReachability records the reachability of the fleet every reachabilityInterval from a time on. Lab.mu is held.
func (l *Lab) watchReachability(at time.Duration) {
	if len(l.publishedSettings) == 0 {
		return
	}
	l.scheduleAt(at, func(now time.Duration) {
		r := reachable{at: now}
		open := func(a, b netfault.Endpoint) bool { return !l.network.Unreachable(a, b) }
		for _, h := range l.hubs {
			r.hubs = append(r.hubs, h.up)
			for _, other := range l.hubs {
				r.hubToHub = append(r.hubToHub, open(endpointOf(netfault.Hub, h.number), endpointOf(netfault.Hub, other.number)))
			}
		}
		for _, a := range l.agents {
			r.agents = append(r.agents, a.up)
			for _, h := range l.hubs {
				r.agentToHub = append(r.agentToHub, open(endpointOf(netfault.Member, a.number), endpointOf(netfault.Hub, h.number)))
			}
		}
		if n := len(l.reachability); n == 0 || !l.reachability[n-1].same(&r) {
			l.reachability = append(l.reachability, r)
		}
		l.watchReachability(now + reachabilityInterval)
	})
}

func (r *reachable) same(o *reachable) bool {
	return slices.Equal(r.agents, o.agents) && slices.Equal(r.hubs, o.hubs) && slices.Equal(r.agentToHub, o.agentToHub) && slices.Equal(r.hubToHub, o.hubToHub)
}

// hubsReachableFrom returns the hubs that are up and that data of the origins can reach, directly or through other hubs.
func (r *reachable) hubsReachableFrom(origins []bool) []bool {
	list := make([]bool, len(r.hubs))
	for h := range list {
		list[h] = origins[h] && r.hubs[h]
	}
	for changed := true; changed; {
		changed = false
		for h := range list {
			for other := range list {
				if list[h] && !list[other] && r.hubs[other] && r.hubToHub[h*len(list)+other] {
					list[other], changed = true, true
				}
			}
		}
	}
	return list
}

// agentReaches reports whether an agent is up and can reach at least one of the given hubs.
func (r *reachable) agentReaches(agent int, hubs []bool) bool {
	for h, has := range hubs {
		if has && r.agents[agent] && r.agentToHub[agent*len(hubs)+h] {
			return true
		}
	}
	return false
}
