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

// schedule puts the scenario's faults on the agenda. The lock is held.
func (l *Lab) schedule() {
	for i := range l.Scenario.Faults {
		f := &l.Scenario.Faults[i]
		var play func(now time.Duration)
		play = func(now time.Duration) {
			l.begin(i, f, now)
			if again := l.Scenario.RepeatInterval.Duration(); again > 0 {
				l.at(now+again, play)
			}
		}
		l.at(f.At.Duration(), play)
	}
}

// until puts a fault's end on the agenda; one without a span lasts to the end. The lock is held.
func (l *Lab) until(f *scenario.Fault, now time.Duration, end func(now time.Duration)) {
	if f.Duration > 0 {
		l.at(now+f.Duration.Duration(), end)
	}
}

// pick is the part of a set that a fault falls on: of n parties, by the fault's own draws.
func (l *Lab) pick(fault int, set scenario.Set, n int, zone func(int) int) (list []int) {
	for i := range n {
		if set.Contains(i, zone(i)) {
			list = append(list, i)
		}
	}
	if set.Share < 1 {
		most := int(math.Round(set.Share * float64(len(list))))
		if set.Share > 0 {
			most = max(1, most)
		}
		r := l.rng.Stream(fmt.Sprintf("fault/%d/%s", fault, set.Kind))
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(most, len(list))]
		slices.Sort(list)
	}
	return list
}

func (l *Lab) pickAgents(fault int, text string) (list []*agent) {
	set, _ := scenario.ParseSet(text) // checked with the scenario
	for _, n := range l.pick(fault, set, len(l.agents), func(n int) int { return l.zone(party(netfault.Agent, n)) }) {
		list = append(list, l.agents[n])
	}
	return list
}

// pickHubs picks among the hubs.
func (l *Lab) pickHubs(fault int, text string) (list []*hub) {
	set, _ := scenario.ParseSet(text) // checked with the scenario
	for _, n := range l.pick(fault, set, len(l.hubs), func(n int) int { return l.zone(party(netfault.Hub, n)) }) {
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
		if !h.down && h.m.State == model.Up {
			use = append(use, h)
		}
	}
	for _, n := range l.pick(fault, set, len(use), func(n int) int { return use[n].m.Zone }) {
		list = append(list, use[n])
	}
	return list
}

// begin lets a fault begin. The lock is held.
func (l *Lab) begin(i int, f *scenario.Fault, now time.Duration) {
	label := f.Kind
	if f.Targets != "" {
		label += " " + f.Targets
	}
	if f.Duration > 0 || f.Kind == scenario.Link || f.Kind == scenario.FailingBackends || f.Kind == scenario.NoisyNeighbour {
		l.faults = append(l.faults, label)
		l.until(f, now, func(time.Duration) {
			if n := slices.Index(l.faults, label); n >= 0 {
				l.faults = slices.Delete(l.faults, n, n+1)
			}
		})
	}
	l.watchShut(f, now)
	switch f.Kind {
	case scenario.Link:
		l.linkFault(i, f, now)
	case scenario.ZoneCut, scenario.ZoneReceiveCut:
		l.border(f, now)
	case scenario.ZoneLost:
		l.zoneLost(f, now)
	case scenario.Kill, scenario.Terminate, scenario.Pause:
		l.processes(i, f, now)
	case scenario.Reload:
		l.reload(i, f, now)
	case scenario.WallClock, scenario.SyscallFailure:
		l.inject(i, f, now)
	case scenario.IdleClients:
		l.crowd(i, f, now)
	case scenario.Replace, scenario.Drain:
		l.inSteps(f, now, l.pickHosts(i, f.Targets), func(h *host, now time.Duration) { l.drain(h, now, f.Kind == scenario.Replace) })
	case scenario.FailingBackends:
		l.trouble(l.pickHosts(i, f.Targets), f, now, f.Size, 0)
	case scenario.SlowBackends:
		l.trouble(l.pickHosts(i, f.Targets), f, now, 0, f.Size)
	case scenario.NoisyNeighbour:
		l.neighbour(i, f, now)
	case scenario.PowerLoss:
		l.power(i, f, now)
	case scenario.Policy:
		l.givePolicy(i, f, now)
	case scenario.Settings:
		l.giveSettings(i, f, now)
	case scenario.DiscoverySilent:
		l.disc.silent, l.disc.upset = true, time.Hour
		l.until(f, now, func(now time.Duration) {
			l.disc.silent, l.disc.upset = false, now
			l.disc.stir()
		})
	case scenario.DiscoveryDown:
		l.disc.away, l.disc.upset = true, time.Hour
		l.until(f, now, func(now time.Duration) { l.disc.away, l.disc.upset = false, now })
	case scenario.DiscoveryRewind:
		l.disc.rewind(now)
	}
}

// inSteps does something to each of a list, in equal parts over the fault's span. The lock is held.
func (l *Lab) inSteps(f *scenario.Fault, now time.Duration, list []*host, do func(h *host, now time.Duration)) {
	for k, h := range list {
		l.at(now+stepOf(f, k, len(list)), func(now time.Duration) { do(h, now) })
	}
}

// stepOf is when in its span a fault falls on the k-th of n.
func stepOf(f *scenario.Fault, k, n int) time.Duration {
	if f.Steps <= 1 {
		return 0
	}
	return f.Duration.Duration() / time.Duration(f.Steps) * time.Duration(k*f.Steps/n)
}

// rules puts rules on the network, and takes them off after the fault's span. The lock is held.
func (l *Lab) rules(f *scenario.Fault, now time.Duration, rules ...netfault.Rule) {
	var numbers []int
	for _, r := range rules {
		numbers = append(numbers, l.net.Add(r))
	}
	l.gates()
	l.changed = append(l.changed, now)
	end := now + f.Duration.Duration()
	if f.Duration == 0 {
		end = time.Hour
	}
	for _, a := range l.agents {
		me, it := party(netfault.Client, a.n), party(netfault.Agent, a.n)
		for _, d := range []netfault.Fault{l.net.Fault(me, it, netfault.TCP), l.net.Fault(it, me, netfault.TCP)} {
			if d != (netfault.Fault{}) {
				l.check.Excuse(a.n, now, end)
				break
			}
		}
		disc := party(netfault.Discovery, a.n)
		if l.net.Unreachable(it, disc) {
			l.disc.upset = end
		}
	}
	for _, h := range l.hubs {
		if l.net.Unreachable(party(netfault.Hub, h.n), party(netfault.Discovery, len(l.agents)+h.n)) {
			l.disc.upset = end
		}
	}
	l.until(f, now, func(now time.Duration) {
		for _, n := range numbers {
			l.net.Remove(n)
		}
		l.gates()
		l.changed = append(l.changed, now)
		l.unpark(now)
		l.disc.stir()
	})
}

// linkFault puts one rule on links. The lock is held.
func (l *Lab) linkFault(i int, f *scenario.Fault, now time.Duration) {
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
		for _, k := range l.pick(i, set, n, func(k int) int { return l.zone(party(role, k)) }) {
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
	l.rules(f, now, rules...)
	if f.Reset {
		for _, h := range l.hosts {
			h.reset(func(agent int) bool {
				return l.net.Fault(party(netfault.Agent, agent), h.party(), netfault.TCP).Reset || l.net.Fault(h.party(), party(netfault.Agent, agent), netfault.TCP).Reset
			})
		}
	}
}

// gates opens and shuts listeners as the network stands. The lock is held; shutting waits for nobody.
func (l *Lab) gates() {
	type job struct {
		g    *gate
		shut bool
	}
	var jobs []job
	for _, a := range l.agents {
		me := party(netfault.Agent, a.n)
		for _, h := range l.hosts {
			if !h.down && h.gates != nil {
				jobs = append(jobs, job{h.gates[a.n], h.m.State == model.Silent || l.net.Unreachable(me, h.party())})
			}
		}
		jobs = append(jobs, job{l.disc.gates[a.n], l.net.Unreachable(me, party(netfault.Discovery, a.n))})
	}
	for _, h := range l.hubs {
		if n := len(l.agents) + h.n; n < len(l.disc.gates) {
			jobs = append(jobs, job{l.disc.gates[n], l.net.Unreachable(party(netfault.Hub, h.n), party(netfault.Discovery, n))})
		}
	}
	l.running.Go(func() {
		l.gateLock.Lock()
		defer l.gateLock.Unlock()
		for _, j := range jobs {
			j.g.setShut(j.shut)
		}
	})
}

// border cuts a zone off from everyone beyond it; a deaf one still is heard. Its agents' discovery lies
// beyond. The lock is held.
func (l *Lab) border(f *scenario.Fault, now time.Duration) {
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
	l.rules(f, now, rules...)
}

// zoneLost has a zone's machines fall silent, and come back cold. The lock is held.
func (l *Lab) zoneLost(f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	var lost []*host
	for _, h := range l.hosts {
		if set.Contains(h.n, h.m.Zone) && !h.down {
			lost = append(lost, h)
			l.ended(h, h.m.Stop(now, model.Silent))
			l.disc.learn(now, h, "gone", l.Scenario.Discovery.SilentDelaySeconds)
		}
	}
	l.gates()
	l.until(f, now, func(now time.Duration) {
		for _, h := range lost {
			h.m.Restart(now)
			l.drop(h)
			l.running.Go(func() { h.reset(nil) })
			l.disc.learn(now, h, "ready", l.Scenario.Discovery.AddDelaySeconds)
		}
		l.gates()
		l.unpark(now)
	})
}

// power takes a zone's hub, agents and machines at once, and brings them back together, cold and knowing nothing. The lock is
// held.
func (l *Lab) power(i int, f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	l.zoneLost(f, now)
	down := *f
	down.Kind, down.RestartDelay, down.Restart = scenario.Kill, f.Duration, "empty"
	var list []*process
	for _, h := range l.hubs {
		if set.Contains(h.n, l.zone(party(netfault.Hub, h.n))) {
			list = append(list, &h.process)
		}
	}
	for _, a := range l.agents {
		if set.Contains(a.n, l.zone(party(netfault.Agent, a.n))) {
			list = append(list, &a.process)
		}
	}
	for _, p := range list {
		if p.cmd != nil && !p.expected {
			p.role.down(now)
			l.finish(p, &down, now, syscall.SIGKILL)
		}
	}
}

// drop forgets what was on the way to or from a machine that has lost everything. The lock is held.
func (l *Lab) drop(h *host) {
	l.parked = slices.DeleteFunc(l.parked, func(p parked) bool { return p.from == h.party() || p.to == h.party() })
}

// drain has a backend finish its work and end; another may come in its place. The lock is held.
func (l *Lab) drain(h *host, now time.Duration, replace bool) {
	if h.down || h.m.State != model.Up {
		return
	}
	const drainFor = 5 * time.Second // longer than it takes until everyone is told
	l.ended(h, h.m.Drain(now))
	l.disc.learn(now, h, "draining", l.Scenario.Discovery.LeaveDelaySeconds)
	l.at(now+drainFor, func(now time.Duration) {
		l.ended(h, h.m.Stop(now, model.Removed))
		l.refuse(h)
		l.disc.learn(now, h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
	})
	if !replace {
		return
	}
	next := l.addHost(h.m.Zone, now)
	next.m.Cell = h.m.Cell
	l.scaleHost(next)
	next.m.Restart(now)
	if err := next.open(); err != nil {
		l.fail(err)
		return
	}
	l.disc.learn(now, next, "ready", l.Scenario.Discovery.AddDelaySeconds)
}

// trouble has backends fail a share of requests at once, or gives a share of them to another program. The
// lock is held.
func (l *Lab) trouble(list []*host, f *scenario.Fault, now time.Duration, bad, taken float64) {
	for _, h := range list {
		l.ended(h, h.m.SetFault(now, bad, taken))
	}
	l.until(f, now, func(now time.Duration) {
		for _, h := range list {
			l.ended(h, h.m.SetFault(now, 0, 0))
		}
	})
}

// neighbour gives a share of backends to another program, on and off, each in its own time. The lock is held.
func (l *Lab) neighbour(i int, f *scenario.Fault, now time.Duration) {
	end := l.Scenario.Duration.Duration()
	if f.Duration > 0 {
		end = now + f.Duration.Duration()
	}
	for _, h := range l.pickHosts(i, f.Targets) {
		r := l.rng.Stream("neighbour/" + h.m.ID)
		on := false
		var turn func(now time.Duration)
		turn = func(now time.Duration) {
			if on = !on && now < end; on {
				l.ended(h, h.m.SetFault(now, 0, f.Size))
			} else {
				l.ended(h, h.m.SetFault(now, 0, 0))
			}
			if now < end {
				span := time.Duration((0.5 + r.Float64()) * float64(max(f.OnTime.Duration(), 100*time.Millisecond)))
				l.at(min(end, now+span), turn)
			}
		}
		l.at(now+time.Duration(r.Float64()*float64(f.OnTime.Duration())), turn)
	}
}

// processes kills, ends or stops agents or hubs. The lock is held.
func (l *Lab) processes(i int, f *scenario.Fault, now time.Duration) {
	list := l.pickProcesses(i, f.Targets)
	for k, p := range list {
		l.at(now+stepOf(f, k, len(list)), func(now time.Duration) {
			if p.cmd == nil || p.expected {
				return
			}
			switch f.Kind {
			case scenario.Pause:
				l.stop(p, f, now)
			case scenario.Kill:
				p.role.down(now)
				l.finish(p, f, now, syscall.SIGKILL)
			case scenario.Terminate:
				l.finish(p, f, now, syscall.SIGTERM)
			}
		})
	}
}

// stop stops a process for a while. Its kernel still takes connections. The lock is held.
func (l *Lab) stop(p *process, f *scenario.Fault, now time.Duration) {
	cmd := p.cmd
	p.role.excuse(now, now+f.Duration.Duration()+pauseSlack)
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		l.fail(err)
		return
	}
	p.up = false
	l.until(f, now, func(now time.Duration) {
		if p.cmd != cmd {
			return
		}
		_ = cmd.Process.Signal(syscall.SIGCONT) // also one that was told to end meanwhile; ended already if it fails
		p.up = !p.expected
	})
}

// pauseSlack is the time in which a process that goes on answers what has come meanwhile.
const pauseSlack = 200 * time.Millisecond

// killAfter is how long the platform waits after SIGTERM at least, past the longest deadline, of which so much counts at most.
const killAfter, longestCounted = 700 * time.Millisecond, 3 * time.Second

// finish ends a process, and starts it anew if wanted. The lock is held.
func (l *Lab) finish(p *process, f *scenario.Fault, now time.Duration, sig syscall.Signal) {
	cmd, ended := p.cmd, p.ended
	p.expected, p.up = true, false
	if err := cmd.Process.Signal(sig); err != nil {
		l.fail(err)
		return
	}
	if sig == syscall.SIGTERM {
		l.at(now+min(l.longest(), longestCounted)+killAfter, func(time.Duration) {
			_ = cmd.Process.Kill() // ended already if it fails
		})
		l.signalOn(cmd, now, f.ExtraSignals)
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
		l.at(l.now()+f.RestartDelay.Duration(), func(now time.Duration) { p.restart(now, f.Restart == "kept") })
	})
}
