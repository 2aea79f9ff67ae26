// Test of the quota by the rule of fleets with hubs.

package hubclient

import (
	"testing"

	"martenbeam/internal/fleet/hub"
)

func TestHubQuotaIsDividedAmongAgentsNotConfirmedDead(t *testing.T) {
	for name, test := range map[string]struct {
		size             hub.FleetSize
		fresh, confirmed bool
		want             float64
	}{
		"starting":                      {hub.FleetSize{Attached: 8, Dead: 2}, true, false, startupQuota / 10},
		"no fleet size":                 {hub.FleetSize{}, false, true, 1. / 10},
		"none confirmed dead":           {hub.FleetSize{Attached: 3}, true, true, 1. / 10},
		"two confirmed dead":            {hub.FleetSize{Attached: 3, Dead: 2}, true, true, 1. / 8},
		"more attached than not dead":   {hub.FleetSize{Attached: 9, Dead: 2}, true, true, 1. / 9},
		"more dead than maximum agents": {hub.FleetSize{Dead: 12}, true, true, 1},
		"expired fleet size":            {hub.FleetSize{Attached: 3, Dead: 2}, false, true, 1. / 10},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hubQuota(10, test.size, test.fresh, test.confirmed); got != test.want {
				t.Errorf("quota %v, want %v", got, test.want)
			}
		})
	}
}
