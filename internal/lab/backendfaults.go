package lab

// Faults of backends.

import (
	"syscall"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// loseZone makes the backends of a zone unresponsive, and restarts them when the fault ends. Lab.mu is held.
func (l *Lab) loseZone(f *scenario.Fault, now time.Duration) {
	set, _ := scenario.ParseSet(f.Targets)
	var lost []*host
	for _, h := range l.hosts {
		if set.Contains(h.number, h.machine.Zone) && !h.ended {
			lost = append(lost, h)
			l.completeJobs(h, h.machine.Stop(now, model.Silent))
			l.discovery.publish(now, h, "gone", l.Scenario.Discovery.SilentDelaySeconds)
		}
	}
	l.updateGates()
	l.scheduleEnd(f, now, func(now time.Duration) {
		for _, h := range lost {
			h.machine.Restart(now)
			l.discardMessages(h)
			l.running.Go(func() { h.reset(nil) })
			l.discovery.publish(now, h, "ready", l.Scenario.Discovery.AddDelaySeconds)
		}
		l.updateGates()
		l.retryPartitioned(now)
	})
}

// failZonePower kills the hubs and the agents of a zone and makes its backends unresponsive, all at once. When the fault ends,
// it restarts all of them without their previous state. Lab.mu is held.
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

// drainHost drains a backend and then ends it. With replace, it also starts a new backend in the same cell. Lab.mu is held.
func (l *Lab) drainHost(h *host, now time.Duration, replace bool) {
	if h.ended || h.machine.State != model.Up {
		return
	}
	const drainTime = 5 * time.Second // longer than discovery takes to publish the drain
	l.completeJobs(h, h.machine.Drain(now))
	l.discovery.publish(now, h, "draining", l.Scenario.Discovery.LeaveDelaySeconds)
	l.scheduleAt(now+drainTime, func(now time.Duration) {
		l.completeJobs(h, h.machine.Stop(now, model.Removed))
		l.endHost(h)
		l.discovery.publish(now, h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
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
	l.discovery.publish(now, next, "ready", l.Scenario.Discovery.AddDelaySeconds)
}

// setBackendFault makes backends fail a share of requests immediately, or removes a share of their capacity. Lab.mu is held.
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

// runNoisyNeighbour removes a share of the capacity of backends and restores it, repeatedly and at random times for each
// backend. Lab.mu is held.
func (l *Lab) runNoisyNeighbour(i int, f *scenario.Fault, now time.Duration) {
	end := l.Scenario.Duration.Duration()
	if f.Duration > 0 {
		end = now + f.Duration.Duration()
	}
	for _, h := range l.pickHosts(i, f.Targets) {
		r := l.rng.Stream("neighbour/" + h.machine.ID)
		active := false
		var toggle func(now time.Duration)
		toggle = func(now time.Duration) {
			if active = !active && now < end; active {
				l.completeJobs(h, h.machine.SetFault(now, 0, f.Size))
			} else {
				l.completeJobs(h, h.machine.SetFault(now, 0, 0))
			}
			if now < end {
				delay := time.Duration((0.5 + r.Float64()) * float64(max(f.OnTime.Duration(), 100*time.Millisecond)))
				l.scheduleAt(min(end, now+delay), toggle)
			}
		}
		l.scheduleAt(now+time.Duration(r.Float64()*float64(f.OnTime.Duration())), toggle)
	}
}

// endHost ends a backend: it resets open connections and refuses new ones. Lab.mu is held.
func (l *Lab) endHost(h *host) {
	h.ended = true
	l.running.Go(func() { h.close(true) })
}
