package balancer

// What is known of each zone. Nothing is decided here.

import "time"

// zone is what is known of a zone as a whole.
type zone struct {
	number      int
	up          int           // its backends that the list says are up
	settled     int           // of these, those that are counted here from step to step ...
	settledOut  int           // ... and the attempts in flight there
	odds        float64       // log odds that it is lost; 0: nothing speaks for that
	spell       int           // counts times at which something began to
	began       time.Duration // when the attempt was sent that did
	silentShare float64       // running share of attempts without an answer of any kind
	heardAt     time.Duration // latest answer
	left        bool
	since       time.Duration // left then, the last time
	rounds      float64       // times left, fading
	token       int64         // of the timer of the next probe
	hits        int           // probes answered in a row
	canary      bool          // one request may go there
	back        time.Duration // used again since; 0: it has its full part
	seen        bool          // left for what this agent saw itself, not by what it was told
	reports     []lossReport  // what others told of its loss, a peer once
	trip        time.Duration // round trip from this agent's zone, as steering takes it; 0: not known
	tight       time.Duration // until then requests that may go elsewhere keep out of it
	pace        float64       // running mean of what its answers take, as a multiple of the expected
}

// lossReport is a peer's report that a zone is lost, and when it came.
type lossReport struct {
	from int
	at   time.Duration
}

// zone is the zone of a backend. Those that the settings don't know share one.
func (b *Balancer) zone(t *backend) *zone {
	for len(b.zones) <= max(t.Zone, 0) {
		b.zones = append(b.zones, &zone{number: len(b.zones)})
	}
	return b.zones[max(t.Zone, 0)]
}

// zoneOf is the left zone whose next probe a timer is for.
func (b *Balancer) zoneOf(token int64) *zone {
	for _, z := range b.zones {
		if z.left && z.token == token {
			return z
		}
	}
	return nil
}

// seenLost names the zones that this agent left of late for what it saw itself, a bit each: what peers report is not passed on,
// and that a zone was lost a while ago says nothing of now, least of all to those who were cut off meanwhile.
func (b *Balancer) seenLost() (lost uint16) {
	for i, z := range b.zones[:min(len(b.zones), lostZones)] {
		if z.left && z.seen && b.now-z.since < b.period {
			lost |= 1 << i
		}
	}
	return lost
}

// usual is the share of attempts that the other zones leave without an answer of any kind: what a zone is held against.
func (b *Balancer) usual(z *zone) float64 {
	worst := zoneUsual
	for _, o := range b.zones {
		if o != z && !o.left {
			worst = max(worst, min(o.silentShare, zoneMute/2))
		}
	}
	return worst
}

// cheapest reports whether no class is worth less.
func (b *Balancer) cheapest(class int) bool {
	for i := range b.classes {
		if b.classes[i].Worth < b.classes[class].Worth {
			return false
		}
	}
	return true
}

// price is what sending to a zone costs.
func (b *Balancer) price(zone int) float64 {
	switch regions := b.s.Regions; {
	case zone == b.s.Zone:
		return 0
	case zone >= 0 && zone < len(regions) && b.s.Zone >= 0 && b.s.Zone < len(regions) && regions[zone] != regions[b.s.Zone]:
		return max(b.s.CrossZonePrice, b.s.CrossRegionPrice)
	}
	return b.s.CrossZonePrice
}

// farther is how much farther a zone is than the nearest one that is in use; 0: that is not known.
func (b *Balancer) farther(zone *zone) time.Duration {
	least := zone.trip
	for _, z := range b.zones {
		if z.trip > 0 && z.up > 0 && !z.left {
			least = min(least, z.trip)
		}
	}
	return zone.trip - least
}
