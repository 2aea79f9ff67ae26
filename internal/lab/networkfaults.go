package lab

// Faults of the network.

import (
	"slices"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// addNetworkRules adds rules to the network for the duration of a fault. It excuses agents from the rules if a fault affects
// the link to their clients, and records a disruption of discovery if an agent or a hub cannot reach discovery. Lab.mu is held.
func (l *Lab) addNetworkRules(f *scenario.Fault, now time.Duration, rules ...netfault.Rule) {
	var numbers []int
	for _, r := range rules {
		numbers = append(numbers, l.network.Add(r))
	}
	l.updateGates()
	l.networkChanges = append(l.networkChanges, now)
	end := now + f.Duration.Duration()
	if f.Duration == 0 {
		end = time.Hour
	}
	for _, a := range l.agents {
		clientEnd, agentEnd := endpointOf(netfault.Client, a.number), endpointOf(netfault.Agent, a.number)
		for _, d := range []netfault.Fault{l.network.Fault(clientEnd, agentEnd, netfault.TCP), l.network.Fault(agentEnd, clientEnd, netfault.TCP)} {
			if d != (netfault.Fault{}) {
				l.check.Excuse(a.number, now, end)
				break
			}
		}
		discoveryEnd := endpointOf(netfault.Discovery, a.number)
		if l.network.Unreachable(agentEnd, discoveryEnd) {
			l.discovery.disruptedUntil = end
		}
	}
	for _, h := range l.hubs {
		if l.network.Unreachable(endpointOf(netfault.Hub, h.number), endpointOf(netfault.Discovery, len(l.agents)+h.number)) {
			l.discovery.disruptedUntil = end
		}
	}
	l.scheduleEnd(f, now, func(now time.Duration) {
		for _, n := range numbers {
			l.network.Remove(n)
		}
		l.updateGates()
		l.networkChanges = append(l.networkChanges, now)
		l.retryPartitioned(now)
		l.discovery.updateWatches()
	})
}

// applyLinkFault applies a fault to the links between two sets of processes. Lab.mu is held.
func (l *Lab) applyLinkFault(i int, f *scenario.Fault, now time.Duration) {
	inSet := func(text string) func(netfault.Endpoint) bool {
		set, _ := scenario.ParseSet(text)
		role, n := set.Role(), len(l.agents)
		switch role {
		case netfault.Backend:
			n = len(l.hosts)
		case netfault.Hub:
			n = len(l.hubs)
		case netfault.Discovery:
			n += len(l.hubs) // each hub has a separate discovery listener
		}
		picked := map[int]bool{}
		for _, k := range l.pickFrom(i, set, n, func(k int) int { return l.zone(endpointOf(role, k)) }) {
			picked[k] = true
		}
		return func(p netfault.Endpoint) bool {
			return (p.Role == role || role == netfault.Agent && p.Role == netfault.Member) && picked[p.Number]
		}
	}
	protocols := map[string]netfault.Protocol{"": netfault.TCP | netfault.UDP, "tcp": netfault.TCP, "udp": netfault.UDP}[f.Protocol]
	r := netfault.Rule{From: inSet(f.From), To: inSet(f.To), Protocols: protocols, Fault: netfault.Fault{Cut: f.Cut, Refuse: f.Refuse, Reset: f.Reset,
		Delay: f.Delay.Duration(), Jitter: f.Jitter.Duration(), LossRate: f.LossRate, DuplicateRate: f.DuplicateRate, ReorderRate: f.ReorderRate}}
	rules := []netfault.Rule{r}
	if f.Bidirectional {
		rules = append(rules, netfault.Rule{From: r.To, To: r.From, Protocols: r.Protocols, Fault: r.Fault})
	}
	l.addNetworkRules(f, now, rules...)
	if f.Reset {
		for _, h := range l.hosts {
			h.reset(func(agent int) bool {
				return l.network.Fault(endpointOf(netfault.Agent, agent), h.endpoint(), netfault.TCP).Reset || l.network.Fault(h.endpoint(), endpointOf(netfault.Agent, agent), netfault.TCP).Reset
			})
		}
	}
}

// updateGates makes listeners reachable or unreachable according to the current state of the network. A goroutine changes the
// listeners soon after updateGates returns. Lab.mu is held.
func (l *Lab) updateGates() {
	type job struct {
		g           *gate
		unreachable bool
	}
	var jobs []job
	for _, a := range l.agents {
		agentEnd := endpointOf(netfault.Agent, a.number)
		for _, h := range l.hosts {
			if !h.ended && h.gates != nil {
				jobs = append(jobs, job{h.gates[a.number], h.machine.State == model.Silent || l.network.Unreachable(agentEnd, h.endpoint())})
			}
		}
		jobs = append(jobs, job{l.discovery.gates[a.number], l.network.Unreachable(agentEnd, endpointOf(netfault.Discovery, a.number))})
	}
	for _, h := range l.hubs {
		if n := len(l.agents) + h.number; n < len(l.discovery.gates) {
			jobs = append(jobs, job{l.discovery.gates[n], l.network.Unreachable(endpointOf(netfault.Hub, h.number), endpointOf(netfault.Discovery, n))})
		}
	}
	l.running.Go(func() {
		l.gateMu.Lock()
		defer l.gateMu.Unlock()
		for _, j := range jobs {
			j.g.setUnreachable(j.unreachable)
		}
	})
}

// partitionZone partitions a zone from the others, in both directions or only in the incoming direction. Discovery is outside
// every zone. Lab.mu is held.
func (l *Lab) partitionZone(f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	inside := func(p netfault.Endpoint) bool {
		return p.Role != netfault.Client && slices.Contains(set.Zones, l.zone(p))
	}
	outside := func(p netfault.Endpoint) bool { return p.Role != netfault.Client && !inside(p) }
	incoming := netfault.Rule{From: outside, To: inside, Protocols: netfault.TCP | netfault.UDP, Fault: netfault.Fault{Cut: true}}
	rules := []netfault.Rule{incoming}
	if f.Kind == scenario.ZoneCut {
		rules = append(rules, netfault.Rule{From: inside, To: outside, Protocols: incoming.Protocols, Fault: incoming.Fault})
	}
	l.addNetworkRules(f, now, rules...)
}

// discardMessages drops the partitioned messages to and from a backend that has restarted. Lab.mu is held.
func (l *Lab) discardMessages(h *host) {
	l.partitioned = slices.DeleteFunc(l.partitioned, func(p partitionedMessage) bool { return p.from == h.endpoint() || p.to == h.endpoint() })
}
