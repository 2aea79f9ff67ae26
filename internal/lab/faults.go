package lab

import (
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// scheduleFaults puts the scenario's faults on the agenda. The lock is held.
func (l *Lab) scheduleFaults() {
	for i := range l.Scenario.Faults {
		f := &l.Scenario.Faults[i]
		var play func(now time.Duration)
		play = func(now time.Duration) {
			l.beginFault(i, f, now)
			if again := l.Scenario.RepeatInterval.Duration(); again > 0 {
				l.scheduleAt(now+again, play)
			}
		}
		l.scheduleAt(f.At.Duration(), play)
	}
}

// scheduleEnd puts a fault's end on the agenda; one without a span lasts to the end. The lock is held.
func (l *Lab) scheduleEnd(f *scenario.Fault, now time.Duration, end func(now time.Duration)) {
	if f.Duration > 0 {
		l.scheduleAt(now+f.Duration.Duration(), end)
	}
}

// pickFrom is the part of a set that a fault falls on: of n parties, by the fault's own draws.
func (l *Lab) pickFrom(fault int, set scenario.Set, n int, zone func(int) int) (list []int) {
	for i := range n {
		if set.Contains(i, zone(i)) {
			list = append(list, i)
		}
	}
	if set.Share < 1 {
		count := int(math.Round(set.Share * float64(len(list))))
		if set.Share > 0 {
			count = max(1, count)
		}
		r := l.rng.Stream(fmt.Sprintf("fault/%d/%s", fault, set.Kind))
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(count, len(list))]
		slices.Sort(list)
	}
	return list
}

func (l *Lab) pickAgents(fault int, text string) (list []*agent) {
	set, _ := scenario.ParseSet(text) // checked with the scenario
	for _, n := range l.pickFrom(fault, set, len(l.agents), func(n int) int { return l.zone(endpointOf(netfault.Agent, n)) }) {
		list = append(list, l.agents[n])
	}
	return list
}

// pickHubs picks among the hubs.
func (l *Lab) pickHubs(fault int, text string) (list []*hub) {
	set, _ := scenario.ParseSet(text) // checked with the scenario
	for _, n := range l.pickFrom(fault, set, len(l.hubs), func(n int) int { return l.zone(endpointOf(netfault.Hub, n)) }) {
		list = append(list, l.hubs[n])
	}
	return list
}

// pickProcesses picks agents or hubs.
func (l *Lab) pickProcesses(fault int, text string) (list []*process) {
	if set, _ := scenario.ParseSet(text); set.Kind == "hubs" {
		for _, h := range l.pickHubs(fault, text) {
			list = append(list, &h.process)
		}
		return list
	}
	for _, a := range l.pickAgents(fault, text) {
		list = append(list, &a.process)
	}
	return list
}

// pickHosts picks among the backends that are in use.
func (l *Lab) pickHosts(fault int, text string) (list []*host) {
	set, _ := scenario.ParseSet(text)
	var use []*host
	for _, h := range l.hosts {
		if !h.ended && h.machine.State == model.Up {
			use = append(use, h)
		}
	}
	for _, n := range l.pickFrom(fault, set, len(use), func(n int) int { return use[n].machine.Zone }) {
		list = append(list, use[n])
	}
	return list
}

// beginFault lets a fault begin. The lock is held.
func (l *Lab) beginFault(index int, fault *scenario.Fault, now time.Duration) {
	label := fault.Kind
	if fault.Targets != "" {
		label += " " + fault.Targets
	}
	if fault.Duration > 0 || fault.Kind == scenario.Link || fault.Kind == scenario.FailingBackends || fault.Kind == scenario.NoisyNeighbour {
		l.activeFaults = append(l.activeFaults, label)
		l.scheduleEnd(fault, now, func(time.Duration) {
			if n := slices.Index(l.activeFaults, label); n >= 0 {
				l.activeFaults = slices.Delete(l.activeFaults, n, n+1)
			}
		})
	}
	l.watchOpenings(fault, now)
	switch fault.Kind {
	case scenario.Link:
		l.applyLinkFault(index, fault, now)
	case scenario.ZoneCut, scenario.ZoneReceiveCut:
		l.partitionZone(fault, now)
	case scenario.ZoneLost:
		l.loseZone(fault, now)
	case scenario.Kill, scenario.Terminate, scenario.Pause:
		l.applyProcessFault(index, fault, now)
	case scenario.Reload:
		l.applyReload(index, fault, now)
	case scenario.WallClock, scenario.SyscallFailure:
		l.applyInjection(index, fault, now)
	case scenario.IdleClients:
		l.openIdleClients(index, fault, now)
	case scenario.Replace, scenario.Drain:
		l.applyInSteps(fault, now, l.pickHosts(index, fault.Targets), func(h *host, now time.Duration) { l.drainHost(h, now, fault.Kind == scenario.Replace) })
	case scenario.FailingBackends:
		l.setBackendFault(l.pickHosts(index, fault.Targets), fault, now, fault.Size, 0)
	case scenario.SlowBackends:
		l.setBackendFault(l.pickHosts(index, fault.Targets), fault, now, 0, fault.Size)
	case scenario.NoisyNeighbour:
		l.runNoisyNeighbour(index, fault, now)
	case scenario.PowerLoss:
		l.failZonePower(index, fault, now)
	case scenario.Policy:
		l.applyPolicyFault(index, fault, now)
	case scenario.Settings:
		l.applySettingsFault(index, fault, now)
	case scenario.DiscoverySilent:
		l.discovery.silent, l.discovery.disruptedUntil = true, time.Hour
		l.scheduleEnd(fault, now, func(now time.Duration) {
			l.discovery.silent, l.discovery.disruptedUntil = false, now
			l.discovery.wakeWatches()
		})
	case scenario.DiscoveryDown:
		l.discovery.unavailable, l.discovery.disruptedUntil = true, time.Hour
		l.scheduleEnd(fault, now, func(now time.Duration) { l.discovery.unavailable, l.discovery.disruptedUntil = false, now })
	case scenario.DiscoveryRewind:
		l.discovery.rewind(now)
	}
}

// applyInSteps does something to each of a list, in equal parts over the fault's span. The lock is held.
func (l *Lab) applyInSteps(f *scenario.Fault, now time.Duration, list []*host, do func(h *host, now time.Duration)) {
	for k, h := range list {
		l.scheduleAt(now+stepDelay(f, k, len(list)), func(now time.Duration) { do(h, now) })
	}
}

// stepDelay is when in its span a fault falls on the k-th of n.
func stepDelay(f *scenario.Fault, k, n int) time.Duration {
	if f.Steps <= 1 {
		return 0
	}
	return f.Duration.Duration() / time.Duration(f.Steps) * time.Duration(k*f.Steps/n)
}

// addNetworkRules puts rules on the network, and takes them off after the fault's span. The lock is held.
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
		me, it := endpointOf(netfault.Client, a.number), endpointOf(netfault.Agent, a.number)
		for _, d := range []netfault.Fault{l.network.Fault(me, it, netfault.TCP), l.network.Fault(it, me, netfault.TCP)} {
			if d != (netfault.Fault{}) {
				l.check.Excuse(a.number, now, end)
				break
			}
		}
		disc := endpointOf(netfault.Discovery, a.number)
		if l.network.Unreachable(it, disc) {
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
		l.discovery.wakeWatches()
	})
}

// applyLinkFault puts one rule on links. The lock is held.
func (l *Lab) applyLinkFault(i int, f *scenario.Fault, now time.Duration) {
	in := func(text string) func(netfault.Endpoint) bool {
		set, _ := scenario.ParseSet(text)
		role, n := set.Role(), len(l.agents)
		switch role {
		case netfault.Backend:
			n = len(l.hosts)
		case netfault.Hub:
			n = len(l.hubs)
		case netfault.Discovery:
			n += len(l.hubs) // each has its own copy
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
	r := netfault.Rule{From: in(f.From), To: in(f.To), Protocols: protocols, Fault: netfault.Fault{Cut: f.Cut, Refuse: f.Refuse, Reset: f.Reset,
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

// updateGates opens and shuts listeners as the network stands. The lock is held; shutting waits for nobody.
func (l *Lab) updateGates() {
	type job struct {
		g    *gate
		shut bool
	}
	var jobs []job
	for _, a := range l.agents {
		me := endpointOf(netfault.Agent, a.number)
		for _, h := range l.hosts {
			if !h.ended && h.gates != nil {
				jobs = append(jobs, job{h.gates[a.number], h.machine.State == model.Silent || l.network.Unreachable(me, h.endpoint())})
			}
		}
		jobs = append(jobs, job{l.discovery.gates[a.number], l.network.Unreachable(me, endpointOf(netfault.Discovery, a.number))})
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
			j.g.setUnreachable(j.shut)
		}
	})
}

// partitionZone cuts a zone off from everyone beyond it; a deaf one still is heard. Its agents' discovery lies
// beyond. The lock is held.
func (l *Lab) partitionZone(f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	inside := func(p netfault.Endpoint) bool {
		return p.Role != netfault.Client && slices.Contains(set.Zones, l.zone(p))
	}
	outside := func(p netfault.Endpoint) bool { return p.Role != netfault.Client && !inside(p) }
	in := netfault.Rule{From: outside, To: inside, Protocols: netfault.TCP | netfault.UDP, Fault: netfault.Fault{Cut: true}}
	rules := []netfault.Rule{in}
	if f.Kind == scenario.ZoneCut {
		rules = append(rules, netfault.Rule{From: inside, To: outside, Protocols: in.Protocols, Fault: in.Fault})
	}
	l.addNetworkRules(f, now, rules...)
}

// loseZone has a zone's machines fall silent, and come back cold. The lock is held.
func (l *Lab) loseZone(f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	var lost []*host
	for _, h := range l.hosts {
		if set.Contains(h.number, h.machine.Zone) && !h.ended {
			lost = append(lost, h)
			l.completeJobs(h, h.machine.Stop(now, model.Silent))
			l.discovery.learn(now, h, "gone", l.Scenario.Discovery.SilentDelaySeconds)
		}
	}
	l.updateGates()
	l.scheduleEnd(f, now, func(now time.Duration) {
		for _, h := range lost {
			h.machine.Restart(now)
			l.discardMessages(h)
			l.running.Go(func() { h.reset(nil) })
			l.discovery.learn(now, h, "ready", l.Scenario.Discovery.AddDelaySeconds)
		}
		l.updateGates()
		l.retryPartitioned(now)
	})
}

// failZonePower takes a zone's hub, agents and machines at once, and brings them back together, cold and knowing nothing. The lock is
// held.
func (l *Lab) failZonePower(i int, f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	l.loseZone(f, now)
	down := *f
	down.Kind, down.RestartDelay, down.Restart = scenario.Kill, f.Duration, "empty"
	var list []*process
	for _, h := range l.hubs {
		if set.Contains(h.number, l.zone(endpointOf(netfault.Hub, h.number))) {
			list = append(list, &h.process)
		}
	}
	for _, a := range l.agents {
		if set.Contains(a.number, l.zone(endpointOf(netfault.Agent, a.number))) {
			list = append(list, &a.process)
		}
	}
	for _, p := range list {
		if p.cmd != nil && !p.endExpected {
			p.role.onKilled(now)
			l.endProcess(p, &down, now, syscall.SIGKILL)
		}
	}
}

// discardMessages forgets what was on the way to or from a machine that has lost everything. The lock is held.
func (l *Lab) discardMessages(h *host) {
	l.partitioned = slices.DeleteFunc(l.partitioned, func(p partitionedMessage) bool { return p.from == h.endpoint() || p.to == h.endpoint() })
}

// drainHost has a backend finish its work and end; another may come in its place. The lock is held.
func (l *Lab) drainHost(h *host, now time.Duration, replace bool) {
	if h.ended || h.machine.State != model.Up {
		return
	}
	const drainTime = 5 * time.Second // longer than it takes until everyone is told
	l.completeJobs(h, h.machine.Drain(now))
	l.discovery.learn(now, h, "draining", l.Scenario.Discovery.LeaveDelaySeconds)
	l.scheduleAt(now+drainTime, func(now time.Duration) {
		l.completeJobs(h, h.machine.Stop(now, model.Removed))
		l.endHost(h)
		l.discovery.learn(now, h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
	})
	if !replace {
		return
	}
	next := l.addHost(h.machine.Zone, now)
	next.machine.Cell = h.machine.Cell
	l.scaleHost(next)
	next.machine.Restart(now)
	if err := next.listen(); err != nil {
		l.fail(err)
		return
	}
	l.discovery.learn(now, next, "ready", l.Scenario.Discovery.AddDelaySeconds)
}

// setBackendFault has backends fail a share of requests at once, or gives a share of them to another program. The
// lock is held.
func (l *Lab) setBackendFault(list []*host, f *scenario.Fault, now time.Duration, failureShare, stolenShare float64) {
	for _, h := range list {
		l.completeJobs(h, h.machine.SetFault(now, failureShare, stolenShare))
	}
	l.scheduleEnd(f, now, func(now time.Duration) {
		for _, h := range list {
			l.completeJobs(h, h.machine.SetFault(now, 0, 0))
		}
	})
}

// runNoisyNeighbour gives a share of backends to another program, on and off, each in its own time. The lock is held.
func (l *Lab) runNoisyNeighbour(i int, f *scenario.Fault, now time.Duration) {
	end := l.Scenario.Duration.Duration()
	if f.Duration > 0 {
		end = now + f.Duration.Duration()
	}
	for _, h := range l.pickHosts(i, f.Targets) {
		r := l.rng.Stream("neighbour/" + h.machine.ID)
		on := false
		var turn func(now time.Duration)
		turn = func(now time.Duration) {
			if on = !on && now < end; on {
				l.completeJobs(h, h.machine.SetFault(now, 0, f.Size))
			} else {
				l.completeJobs(h, h.machine.SetFault(now, 0, 0))
			}
			if now < end {
				span := time.Duration((0.5 + r.Float64()) * float64(max(f.OnTime.Duration(), 100*time.Millisecond)))
				l.scheduleAt(min(end, now+span), turn)
			}
		}
		l.scheduleAt(now+time.Duration(r.Float64()*float64(f.OnTime.Duration())), turn)
	}
}

// applyProcessFault kills, ends or stops agents or hubs. The lock is held.
func (l *Lab) applyProcessFault(i int, f *scenario.Fault, now time.Duration) {
	list := l.pickProcesses(i, f.Targets)
	for k, p := range list {
		l.scheduleAt(now+stepDelay(f, k, len(list)), func(now time.Duration) {
			if p.cmd == nil || p.endExpected {
				return
			}
			switch f.Kind {
			case scenario.Pause:
				l.pauseProcess(p, f, now)
			case scenario.Kill:
				p.role.onKilled(now)
				l.endProcess(p, f, now, syscall.SIGKILL)
			case scenario.Terminate:
				l.endProcess(p, f, now, syscall.SIGTERM)
			}
		})
	}
}

// pauseProcess stops a process for a while. Its kernel still takes connections. The lock is held.
func (l *Lab) pauseProcess(p *process, f *scenario.Fault, now time.Duration) {
	cmd := p.cmd
	p.role.onPaused(now, now+f.Duration.Duration()+pauseSlack)
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		l.fail(err)
		return
	}
	p.up = false
	l.scheduleEnd(f, now, func(now time.Duration) {
		if p.cmd != cmd {
			return
		}
		_ = cmd.Process.Signal(syscall.SIGCONT) // also one that was told to end meanwhile; ended already if it fails
		p.up = !p.endExpected
	})
}

// pauseSlack is the time in which a process that goes on answers what has come meanwhile.
const pauseSlack = 200 * time.Millisecond

// killDelay is how long the platform waits after SIGTERM at least, past the longest deadline, of which so much counts at most.
const killDelay, maxCountedDeadline = 700 * time.Millisecond, 3 * time.Second

// endProcess ends a process, and starts it anew if wanted. The lock is held.
func (l *Lab) endProcess(p *process, f *scenario.Fault, now time.Duration, signal syscall.Signal) {
	cmd, ended := p.cmd, p.ended
	p.endExpected, p.up = true, false
	if err := cmd.Process.Signal(signal); err != nil {
		l.fail(err)
		return
	}
	if signal == syscall.SIGTERM {
		l.scheduleAt(now+min(l.maxDeadline(), maxCountedDeadline)+killDelay, func(time.Duration) {
			_ = cmd.Process.Kill() // ended already if it fails
		})
		l.scheduleSignals(cmd, now, f.ExtraSignals)
	}
	l.running.Go(func() {
		select {
		case <-ended:
		case <-l.ctx.Done():
			return
		}
		if f.Restart == "never" {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.scheduleAt(l.now()+f.RestartDelay.Duration(), func(now time.Duration) { p.restart(now, f.Restart == "kept") })
	})
}
