package lab

// The state of a run, second by second.

import (
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
)

// View is the state of a run after one of its seconds.
type View struct {
	At         time.Duration
	Last       check.Window // the latest second of which most requests have ended
	LastAt     int
	Agents     int
	Backends   int
	Violations int
	Faults     []string
	Zones      []ZoneView
}

// ZoneView is the state of one zone.
type ZoneView struct {
	Name             string
	Agents, Backends int
	Requests         int // requests in service or queued at its backends
}

// scheduleViews schedules the view of each second, from the n-th on. Lab.mu is held.
func (l *Lab) scheduleViews(n int) {
	l.scheduleAt(time.Duration(n+1)*time.Second, func(now time.Duration) {
		v := View{At: now, Faults: append([]string(nil), l.activeFaults...)}
		_, v.Violations = l.check.Violations()
		for _, name := range l.Scenario.Fleet.Zones {
			v.Zones = append(v.Zones, ZoneView{Name: name})
		}
		for _, a := range l.agents {
			if a.up {
				v.Agents++
				v.Zones[l.zone(endpointOf(netfault.Agent, a.number))].Agents++
			}
		}
		for _, h := range l.hosts {
			if h.machine.State == model.Up && !h.ended {
				v.Backends++
				z := &v.Zones[h.machine.Zone]
				z.Backends++
				z.Requests += h.machine.Load().Inflight
			}
		}
		if n < len(l.tally.Windows) {
			l.tally.Windows[n].Agents, l.tally.Windows[n].Backends, l.tally.Windows[n].Used = v.Agents, v.Backends, l.usedCapacity(now)
		}
		const lagSeconds = 3 // seconds after which most requests have ended
		if v.LastAt = n - lagSeconds; v.LastAt >= 0 && v.LastAt < len(l.tally.Windows) {
			l.tally.CompleteWindows(max(0, v.LastAt-int(l.maxDeadline()/time.Second)))
			v.Last = l.tally.Snapshot(v.LastAt)
		}
		if l.OnSecond != nil {
			onSecond := l.OnSecond
			go onSecond(l, v)
		}
		l.scheduleViews(n + 1)
	})
}
