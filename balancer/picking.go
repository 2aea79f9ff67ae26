package balancer

// Which backend a request goes to: idle ones first, the nearest and fastest among them, never the one
// that just failed it.

import (
	"cmp"
	"math"
)

const (
	meetAgain   = 4.0   // longest aims within which an agent means to meet a backend again
	narrowed    = 0.9   // of that many backends once one turned a new connection away ...
	widened     = 1.003 // ... and after each answer
	widthLeast  = 3     // idle backends at least among which a choice is made
	widthFree   = 30.0  // and at most ...
	widthPart   = 0.1   // ... and this part of all: connections must not grow in step with a fleet
	crossBias   = 0.1   // chance of an idle backend in another zone, if crossing is priced ...
	spillAt     = 0.3   // ... and answers from the own zone take no longer; from so much longer on it has the same
	nearAfter   = 4.0   // longest aims since the limit was cut from which on distance counts
	warmMost    = 1.1   // parts of the limit that warm backends hold while others are cold
	strikesBias = 0.1   // chance of an idle backend that has not healed yet
)

// pick chooses a backend: one where this balancer has nothing in flight, at
// random; else the one with the fewest in flight; never the one that just failed
// unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(r *request) *backend {
	notes, calm := b.notesOn(), b.now-b.cutAt > b.s.RampTime
	var idle, few, last *backend
	total, least, mild := 0.0, math.Inf(1), math.Inf(1)
	wide, closed := b.width(), b.closed(r)
	// Cold ones take up their part of the limit slowly: little of what they leave is for the warm ones, or these turn slow.
	crowded := !b.thin() && b.warm < b.capacity && float64(b.warmOut) >= max(1, warmMost*b.perBack*b.share*b.warm)
	for _, t := range b.backends {
		if wide <= 0 {
			break
		}
		if closed != nil && closed[max(t.Zone, 0)] || crowded && !t.cold {
			continue
		}
		if t.State != Up || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 || b.now < t.fullTill ||
			float64(len(t.out)) >= max(1, backCap*b.perBack*b.share) || !b.coldRoom(t, r) {
			continue
		}
		if !b.healthy(t, r) {
			if m := t.strikes*b.rng.Float64() + float64(len(t.out)); m < mild {
				last, mild = t, m
			}
			continue
		}
		load := float64(len(t.out))
		if !t.seen {
			load = max(load, float64(b.inFlight)/float64(b.up)) // a new one counts at the mean: no rush
		}
		slow := b.slowness(t) * *b.fit(t, r.class)
		near, far := b.near(t), b.farther(b.zone(t))
		if load < 1 && float64(far) < farAim*float64(b.classes[r.class].Aim) {
			// Departure: an even choice among idle backends would load slow ones as much as fast
			// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
			w := 1 / (slow * slow * slow)
			// Departure: spread over all, a key is new to most backends it meets. Among idle ones the few
			// nearest to it, the same at every agent, serve it for less work.
			w *= near
			if d := t.distance(r.key); b.s.WarmKeys && r.key != 0 {
				w *= near / (d * d) // or the nearest to a key of all zones would outdo it
			}
			if notes {
				w *= slow * slow // all know the same: the cube would send all to the same few
			}
			if t.strikes > 0 && notes {
				w *= strikesBias // all agents together must not try it at once
			}
			if calm { // where it is crowded a cold one's budget keeps it to its part
				w *= b.sure(t)
			}
			wide--
			if total += w; b.rng.Float64()*total < w {
				idle = t
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		score := (load+1)*slow/b.warmth(t)*(1+0.01*b.rng.Float64()) + float64(far)/b.expected(r)
		if score < least {
			few, least = t, score
		}
	}
	return cmp.Or(idle, few, last) // all are ejected: a first attempt still goes out
}

// choose picks a backend for a request. Departure: a backend that was called back goes before idle
// ones until it has answered: spread thin, an agent would pass by a cold one for longer than operators
// wait. Its cold budget holds all the same.
func (b *Balancer) choose(r *request) *backend {
	if len(b.calls.returned) > 0 {
		for _, t := range b.backends {
			at, back := b.calls.returned[t.ID]
			if back && b.now-at < backTries && !t.seen && t.State == Up && t != r.failed && len(t.out) == 0 &&
				b.now >= t.fullTill && b.mayRepeat(r, t) && b.healthy(t, r) && b.coldRoom(t, r) {
				return t
			}
		}
	}
	return b.pick(r)
}

// near is how readily an idle backend is chosen for where it is. The dearer the way the less, until answers from the
// own zone take longer: then the others take over in step with that. Where crossing has no price all are near, and where
// the limit was cut of late a backend that has met a key counts for more, wherever it is.
func (b *Balancer) near(t *backend) float64 {
	price, least := b.price(t.Zone), cmp.Or(b.s.CrossZonePrice, b.s.CrossRegionPrice)
	if price == 0 || float64(b.now-b.cutAt) <= nearAfter*float64(b.period) {
		return 1
	}
	bias := crossBias * least / price
	if b.farther(b.zone(t)) > 0 {
		bias *= farBias
	}
	return bias + (1-bias)*b.spill(b.zone(t))
}

// spill is 0 as long as answers from the own zone take no longer than from another one, and 1 from spillAt on.
func (b *Balancer) spill(z *zone) float64 {
	if b.s.Zone < 0 || b.s.Zone >= len(b.zones) || b.zones[b.s.Zone].pace == 0 || z.pace == 0 {
		return 0
	}
	return min(max((b.zones[b.s.Zone].pace/z.pace-1)/spillAt, 0), 1)
}

// width is how many idle backends a choice is made among: the first of this agent's own order
// that may be used. Departure: an agent with little traffic, spread over all, would hear of each
// backend once a day and open a connection for nearly every attempt. It keeps to so many that it
// meets each again within a few aims. Acts where no notes tell of the others.
func (b *Balancer) width() int {
	if b.gap == 0 || b.notesOn() { // notes tell of all
		return len(b.backends)
	}
	most := widthFree + widthPart*float64(len(b.backends))
	return max(widthLeast, int(min(b.narrow*meetAgain*float64(b.period)/b.gap, most)))
}

// slowness is how much longer this backend takes than the mean, by its answers or
// by the wait of its oldest attempt if that is worse (a stall shows before any answer).
func (b *Balancer) slowness(t *backend) float64 {
	if len(t.out) > 0 {
		return max(t.slow, float64(b.now-t.out[0].sent)/t.out[0].cost/2)
	}
	return t.slow
}
