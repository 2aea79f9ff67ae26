package lab

import (
	"slices"
	"time"

	"martenbeam/internal/lab/scenario"
)

// scheduleFaults schedules the faults of the scenario. Lab.mu is held.
func (l *Lab) scheduleFaults() {
	for i := range l.Scenario.Faults {
		f := &l.Scenario.Faults[i]
		var begin func(now time.Duration)
		begin = func(now time.Duration) {
			l.beginFault(i, f, now)
			if interval := l.Scenario.RepeatInterval.Duration(); interval > 0 {
				l.scheduleAt(now+interval, begin)
			}
		}
		l.scheduleAt(f.At.Duration(), begin)
	}
}

// scheduleEnd schedules the end of a fault. A fault without a duration lasts until the end of the run. Lab.mu is held.
func (l *Lab) scheduleEnd(f *scenario.Fault, now time.Duration, end func(now time.Duration)) {
	if f.Duration > 0 {
		l.scheduleAt(now+f.Duration.Duration(), end)
	}
}

// beginFault starts a fault and schedules its end. Lab.mu is held.
func (l *Lab) beginFault(index int, fault *scenario.Fault, now time.Duration) {
	l.showActive(fault, now)
	l.watchPendingConnections(fault, now)
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
	case scenario.DiscoverySilent, scenario.DiscoveryDown, scenario.DiscoveryRewind:
		l.disruptDiscovery(fault, now)
	}
}

// showActive lists a fault in the view of the run until the fault ends. Lab.mu is held.
func (l *Lab) showActive(fault *scenario.Fault, now time.Duration) {
	lasting := fault.Duration > 0 || fault.Kind == scenario.Link || fault.Kind == scenario.FailingBackends || fault.Kind == scenario.NoisyNeighbour
	if !lasting {
		return
	}
	label := fault.Kind
	if fault.Targets != "" {
		label += " " + fault.Targets
	}
	l.activeFaults = append(l.activeFaults, label)
	l.scheduleEnd(fault, now, func(time.Duration) {
		if n := slices.Index(l.activeFaults, label); n >= 0 {
			l.activeFaults = slices.Delete(l.activeFaults, n, n+1)
		}
	})
}

// disruptDiscovery makes discovery unresponsive or unavailable, or makes it return to an old version. Lab.mu is held.
func (l *Lab) disruptDiscovery(fault *scenario.Fault, now time.Duration) {
	d := l.discovery
	switch fault.Kind {
	case scenario.DiscoverySilent:
		d.unresponsive, d.disruptedUntil = true, time.Hour
		l.scheduleEnd(fault, now, func(now time.Duration) {
			d.unresponsive, d.disruptedUntil = false, now
			d.updateWatches()
		})
	case scenario.DiscoveryDown:
		d.unavailable, d.disruptedUntil = true, time.Hour
		l.scheduleEnd(fault, now, func(now time.Duration) { d.unavailable, d.disruptedUntil = false, now })
	case scenario.DiscoveryRewind:
		d.rewind(now)
	}
}

// applyInSteps calls a function for each backend, in equal groups over the duration of the fault. Lab.mu is held.
func (l *Lab) applyInSteps(f *scenario.Fault, now time.Duration, list []*host, do func(h *host, now time.Duration)) {
	for k, h := range list {
		l.scheduleAt(now+stepDelay(f, k, len(list)), func(now time.Duration) { do(h, now) })
	}
}

// stepDelay returns the time from the start of a fault until it applies to the k-th of n targets.
func stepDelay(f *scenario.Fault, k, n int) time.Duration {
	if f.Steps <= 1 {
		return 0
	}
	return f.Duration.Duration() / time.Duration(f.Steps) * time.Duration(k*f.Steps/n)
}
