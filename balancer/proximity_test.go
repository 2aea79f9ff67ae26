package balancer_test

// Tests of the preference for near zones.

import (
	"testing"
	"time"

	"martenbeam/balancer"
)

// Where crossing zones has a cost, traffic prefers the own zone, and then other zones of the same region, unless the
// preferred zone is slower.
func TestNearZonesArePreferred(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *balancer.Settings)
		slow   map[int]time.Duration
		ok     func(own, near, far float64) bool
	}{
		"no cost": {func(s *balancer.Settings) {}, nil, func(own, near, far float64) bool { return own < 0.4 && far > 0.25 }},
		"cost": {func(s *balancer.Settings) { s.CrossZoneCost = 0.03 }, nil,
			func(own, near, far float64) bool { return own > 0.6 && far > 0.02 }},
		"slow own zone": {func(s *balancer.Settings) { s.CrossZoneCost = 0.03 }, map[int]time.Duration{0: 8 * ms},
			func(own, near, far float64) bool { return own < 0.45 }},
		"regions": {func(s *balancer.Settings) {
			s.CrossZoneCost, s.CrossRegionCost, s.Regions = 0.03, 0.12, []int{0, 0, 1}
		}, nil, func(own, near, far float64) bool { return own > 0.6 && far < near/2 && far > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZoneRig(t, 4, c.change)
			z.extraLatency = c.slow
			z.run(3 * time.Second)
			clear(z.firstAttempts)
			z.run(20 * time.Second)
			sum := float64(z.firstAttempts[0] + z.firstAttempts[1] + z.firstAttempts[2])
			own, near, far := float64(z.firstAttempts[0])/sum, float64(z.firstAttempts[1])/sum, float64(z.firstAttempts[2])/sum
			if !c.ok(own, near, far) {
				t.Errorf("shares of first attempts not in the wanted ranges: own zone %.2f, near %.2f, far %.2f", own, near, far)
			}
		})
	}
}
