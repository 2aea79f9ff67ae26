package balancer

// Whether a zone as a whole is left, and how it is used again. A zone that is lost or cut off says nothing: learned
// backend by backend, each takes an attempt for as long as its client waits, and these fill the limit while the
// other zones stand idle.

import (
	"math"
	"slices"
	"time"
)

const (
	zoneMute  = 0.9  // share of attempts that a lost zone leaves without an answer of any kind
	zoneUsual = 0.05 // and that one in order does, at least; else what the other zones do by now
	// Log odds at which a zone is left (Wald): one spell in a thousand is taken for a loss that is none, one loss in a
	// hundred is missed at first. Three silent backends at once, or two that stay silent, come to that; one never does.
	zoneSure   = 6.9
	zoneHits   = 2    // probes in a row that must be answered before it is used again
	zoneRest   = 0.5  // longest aims for which it is left at least, doubled like the rest
	zoneEach   = 50.0 // agents that may probe once in the longest aim; more of them probe as much together
	zoneRamp   = 2.0  // longest aims from then until it has its full part
	zoneFirst  = 0.1  // its part at the start
	zoneReport = 2.4  // what a peer's report counts for: three that saw it themselves come to zoneSure
	zoneFresh  = 2.0  // longest aims for which it does: it is told anew each longest aim
	zoneMost   = 4.0  // doublings of the ramp and the probes' wait, at the most, for a zone that fails again and again
)

// mute takes an attempt that is out for long, or that found no connection in all its time, as evidence against its
// backend's zone if nothing at all has come from there since it was sent: a zone that is slow answers. One
// backend's counts once, and half a second time: it is none against the others.
func (b *Balancer) mute(a *attempt, res Result) {
	z := b.zone(a.b)
	if a.mute || z.left || z.heardAt >= a.sent || res != ConnectFailed && float64(b.now-a.sent) < overdueCost*a.cost {
		return // with queues everywhere a long wait tells nothing
	}
	a.mute = true
	p := b.usual(z)
	z.silentShare += smooth / 2 * (1 - z.silentShare)
	if z.odds == 0 {
		z.spell++
		z.began = a.sent
	}
	if a.b.spell != z.spell {
		a.b.spell, a.b.mutes = z.spell, 0
	}
	z.odds += math.Log(zoneMute/p) * [...]float64{1, 0.5, 0}[min(a.b.mutes, 2)]
	a.b.mutes++
	b.judge(z, true)
}

// judge leaves a zone that is lost by this agent's own evidence and by what others told since the last answer from
// there. One who answers often enough to know for itself is told nothing new: its answers came after the reports.
func (b *Balancer) judge(z *zone, saw bool) {
	fresh := time.Duration(zoneFresh * float64(b.period))
	z.reports = slices.DeleteFunc(z.reports, func(w lossReport) bool { return b.now-w.at >= fresh })
	if !z.left && z.odds+zoneReport*float64(len(z.reports)) >= zoneSure && b.elsewhere(z) {
		z.seen = saw
		b.leaveZone(z)
	}
}

// onLossReport takes which zones a peer found lost by itself. Who holds this agent's own zone for lost stands beyond a cut, and
// what it says of zones says nothing about what can be reached from here.
func (b *Balancer) onLossReport(from int, lost uint16) {
	if lost == 0 || b.s.Zone < lostZones && lost>>max(b.s.Zone, 0)&1 != 0 {
		return
	}
	for i, z := range b.zones[:min(len(b.zones), lostZones)] {
		if lost>>i&1 == 0 || z.left || b.now-z.heardAt < time.Duration(b.classes[0].latency) {
			continue
		}
		if z.odds == 0 { // another zone has to have answered of late
			z.began = b.now - b.period
		}
		z.reports = slices.DeleteFunc(z.reports, func(w lossReport) bool { return w.from == from })
		z.reports = append(z.reports, lossReport{from, b.now})
		b.judge(z, false)
	}
}

// heard takes any answer as evidence for its backend's zone.
func (b *Balancer) heard(t *backend) {
	z := b.zone(t)
	z.silentShare -= smooth / 2 * z.silentShare
	z.heardAt, z.reports = b.now, nil
	if z.left { // a canary's answer, or one that a cut held up
		b.answered(z, true)
	}
	if z.odds > 0 {
		z.odds = max(0, z.odds+math.Log((1-zoneMute)/(1-b.usual(z))))
	}
}

// elsewhere reports whether another zone has answered since this one fell silent. Where none has, the silence is
// this agent's own, or its link's, and nothing is left.
func (b *Balancer) elsewhere(z *zone) bool {
	for _, o := range b.zones {
		if o != z && !o.left && o.heardAt > z.began && o.odds < zoneSure/2 {
			return true
		}
	}
	return false
}

func (b *Balancer) leaveZone(z *zone) {
	z.left, z.hits, z.back = true, 0, 0
	z.rounds = min(z.rounds*math.Exp2(-float64(b.now-z.since)/float64(b.s.RampTime+1))+1, zoneMost)
	z.since = b.now
	b.actions = append(b.actions, ZoneTurn{Zone: z.number, Left: true, Told: !z.seen})
	b.measure()
	b.probeZone(z)
	if z.seen && b.s.Peers {
		b.spread()
	}
}

// probeZone asks one backend of a zone that was left, or lets one request go there where probes are not allowed,
// and sees to the next.
func (b *Balancer) probeZone(z *zone) {
	wait := float64(b.period) * math.Exp2(z.rounds-1) / 2 * max(1, float64(b.s.Balancers)/zoneEach)
	z.token = b.alarm(time.Duration(wait * (0.75 + 0.5*b.rng.Float64())))
	n, pick := 0, (*backend)(nil)
	for _, t := range b.backends {
		if t.State == Up && b.zone(t) == z {
			if n++; b.rng.IntN(n) == 0 {
				pick = t
			}
		}
	}
	switch {
	case pick == nil:
	case b.s.MayProbe:
		b.actions = append(b.actions, Probe{Backend: pick.ID})
	default:
		z.canary = true
	}
}

// onProbe takes a probe's answer. Enough of them, and the zone is used again, by a part that grows.
func (b *Balancer) onProbe(e ProbeResult) {
	t := b.byID[e.Backend]
	if t == nil || !b.zone(t).left {
		return
	}
	b.answered(b.zone(t), e.Result == OK || e.Result == Full || e.Result == Errored)
}

func (b *Balancer) answered(z *zone, ok bool) {
	if z.hits++; !ok {
		z.hits = 0
	}
	// Late answers count, too, but a zone that stalls and goes on must not be left and used again by turns.
	rest := time.Duration(zoneRest * float64(b.period) * math.Exp2(z.rounds-1))
	if z.hits < zoneHits || b.now-z.since < rest {
		return
	}
	b.actions = append(b.actions, ZoneTurn{Zone: z.number})
	z.left, z.odds, z.back, z.heardAt, z.reports = false, 0, b.now, b.now, nil
	for _, t := range b.backends { // what its silence taught of each is void
		if b.zone(t) == z && t.struckAt >= z.began {
			t.strikes, t.ejected, t.row, t.fails = 0, 0, 0, 0
		}
		if b.zone(t) == z {
			t.silent = 0
		}
	}
	b.measure()
}

// part is the share of its usual traffic that a zone may have now.
func (b *Balancer) part(z *zone) float64 {
	switch {
	case z.left:
		return 0
	case z.back == 0:
		return 1
	}
	part := zoneFirst + float64(b.now-z.back)/(zoneRamp*float64(b.period)*math.Exp2(z.rounds-1))
	if part >= 1 {
		z.back = 0
	}
	return min(part, 1)
}

// closed says which zones a request may not go to now. Where every zone is left, none is.
func (b *Balancer) closed(r *request) []bool {
	aside := b.aside(r)
	if b.allOpen {
		return aside
	}
	closed, open := make([]bool, len(b.zones)), false
	for i, z := range b.zones {
		part := b.part(z)
		if closed[i] = part < 1 && b.rng.Float64() >= part; closed[i] && z.canary && r.risky == 0 && b.cheapest(r.class) {
			closed[i] = false
		}
		open = open || !z.left && z.up > 0 && b.permits(r, i)
		closed[i] = closed[i] || aside != nil && aside[i]
	}
	if !open {
		return nil
	}
	return closed
}
