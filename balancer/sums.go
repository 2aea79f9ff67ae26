package balancer

import "math"

// What there is to use, summed up anew in each step. Nothing is decided here.

// sums are what there is to use. Most backends of a large fleet are warm, up and in use from one step to the next: these are
// settled, and counted by zone as they settle; only the others are looked at in each step.
type sums struct {
	up        int        // backends that the list says are up
	capacity  float64    // their number, each counted by its warmth; ejected ones and those that are down are left out
	warm      float64    // of it, what is warm already
	warmOut   int        // attempts in flight there
	stuck     int        // attempts in flight at backends that are not counted in capacity
	unsettled []*backend // in the order in which they came to be
}

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measure() {
	b.up, b.capacity, b.stuck, b.warm, b.warmOut = 0, 0, 0, 0, 0
	b.allOpen = true
	for _, z := range b.zones {
		part := b.part(z)
		z.up = z.settled
		b.allOpen = b.allOpen && part == 1
		b.up += z.settled
		b.count(z.settled, z.settledOut, 1, part, true)
	}
	waiting := b.unsettled[:0]
	for _, t := range b.unsettled {
		warmth, z := b.warmth(t), b.zone(t)
		used := t.State == Up && !t.down && b.now >= t.ejected
		if t.State == Up {
			b.up++
			z.up++
		}
		part := 0.0
		if used {
			part = b.part(z)
		}
		if b.count(1, len(t.out), warmth, part, !t.cold); !used || t.cold {
			waiting = append(waiting, t)
		} else {
			t.settled = true
			z.settled++
			z.settledOut += len(t.out)
		}
	}
	clear(b.unsettled[len(waiting):])
	b.unsettled = waiting
	b.remember()
}

// count adds so many backends of a warmth, with attempts out, whose zone has a part of its usual traffic.
func (b *Balancer) count(n, out int, warmth, part float64, warm bool) {
	if part == 0 {
		b.stuck += out
		return
	}
	b.capacity += float64(n) * warmth * part
	if warm {
		b.warm += float64(n) * part
		b.warmOut += out
	}
}

// unsettle has a backend looked at in each step again: before its state, or its zone, changes.
func (b *Balancer) unsettle(t *backend) {
	if !t.settled {
		return
	}
	t.settled = false
	z := b.zone(t)
	z.settled--
	z.settledOut -= len(t.out)
	b.unsettled = append(b.unsettled, t)
}

// book takes that an attempt is out at a backend, or is no more.
func (b *Balancer) book(a *attempt, out bool) {
	t, n := a.b, 1
	if a.at = out; out {
		t.out = append(t.out, a)
	} else {
		t.out = without(t.out, a)
		n = -1
	}
	b.inFlight += n
	if t.settled {
		b.zone(t).settledOut += n
	}
}

// value is what a unit of work spent on a class now adds to the operator's goal.
func (b *Balancer) value(class int) float64 {
	total, worst, low := 0.0, -1, math.Inf(1)
	for i := range b.classes {
		c := &b.classes[i]
		total += c.arrived * c.Worth * b.unit(c)
		if share := (c.answered + 1) / (c.arrived + 1); share < low {
			worst, low = i, share
		}
	}
	c := &b.classes[class]
	v := (b.s.GoalWhole + b.s.GoalWindow) * c.Worth * b.unit(c) / c.latency / max(total, 1e-9)
	if class == worst {
		v += b.s.GoalClass / (max(c.arrived, 1) * c.latency)
	}
	return v
}
