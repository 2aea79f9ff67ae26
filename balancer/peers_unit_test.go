package balancer

// Tests of the demand estimate, and of peers and quota, alone.

import (
	"math"
	"slices"
	"testing"
	"time"
)

const interval = 400 * time.Millisecond

func TestDemandIsExtrapolatedAfterAStart(t *testing.T) {
	fresh, old := newDemandEstimate(interval), newDemandEstimate(interval)
	now := time.Hour
	old.start(now)
	for ; now < time.Hour+100*interval; now += interval / 20 {
		old.add(now, 1)
	}
	fresh.start(now)
	for range 20 {
		old.add(now, 1)
		fresh.add(now, 1)
		now += interval / 20
	}
	if got, want := fresh.steady(now), old.steady(now); math.Abs(got/want-1) > 0.1 {
		t.Errorf("%v after one interval, %v after many", got, want)
	}
	if fresh.value(now) > old.value(now)/3 {
		t.Errorf("the plain sum is %v after one interval, %v after many", fresh.value(now), old.value(now))
	}
}

func TestQuotaFollowsDemand(t *testing.T) {
	now := time.Hour
	for name, c := range map[string]struct {
		own, assigned float64
		reports       map[int]float64 // of agents 1 to 3
		want          float64
	}{
		"nothing heard":     {100, 0, nil, 0.25},
		"even":              {100, 0, map[int]float64{1: 100, 2: 100, 3: 100}, 0.25},
		"quiet peers":       {100, 0, map[int]float64{1: 0, 2: 0, 3: 0}, (0.25 + 0.75*4) / 4},
		"quiet itself":      {0, 0, map[int]float64{1: 100, 2: 100, 3: 100}, 0.25 / 4},
		"one known":         {100, 0, map[int]float64{1: 300}, (0.25 + 0.75*100/400*2) / 4},
		"nothing asked":     {0, 0, map[int]float64{1: 0, 2: 0, 3: 0}, 0.25},
		"assigned":          {100, 0.5, nil, 0.5},
		"assigned a little": {100, 0.01, map[int]float64{1: 100}, 0.01},
	} {
		table := newPeerTable(4, 0, interval)
		for from, demand := range c.reports {
			table.receive(from, demand, false, now)
		}
		if got := table.quota(c.own, c.assigned, now); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: quota %v, want %v", name, got, c.want)
		}
	}
}

func TestSilentPeersLeaveTheirQuota(t *testing.T) {
	table, now := newPeerTable(3, 0, interval), time.Hour
	table.receive(1, 100, false, now)
	table.receive(2, 100, false, now)
	if got := table.quota(100, 0, now); math.Abs(got-1.0/3) > 1e-12 {
		t.Errorf("quota %v beside two peers", got)
	}
	now += time.Duration(peerExpiry * float64(interval))
	if got := table.quota(100, 0, now); got != 1 {
		t.Errorf("quota %v after both stopped, want all", got)
	}
	large := newPeerTable(100, 0, interval) // hears from a sample only: silence means nothing
	large.receive(1, 100, false, time.Hour)
	if got := large.quota(100, 0, now); got != 0.01 {
		t.Errorf("quota %v in a large fleet, want an even share", got)
	}
}

func TestDrainedPeerHandsItsDemandOver(t *testing.T) {
	table, now := newPeerTable(4, 0, interval), time.Hour
	for from := 1; from < 4; from++ {
		table.receive(from, 90, false, now)
	}
	if share, changed := table.receive(1, 90, true, now); !changed || share != 30 {
		t.Fatalf("a drained peer hands over %v, want a third of 90", share)
	}
	if share, changed := table.receive(1, 90, true, now); changed {
		t.Errorf("told again it hands over %v", share)
	}
	if got := table.snapshot(now); !slices.Equal(got, []float64{-1, 0, 120, 120}) {
		t.Errorf("the peers' demand is %v", got)
	}
	if share, changed := table.receive(1, 5, false, now); !changed || share != -30 {
		t.Errorf("a peer that is back takes %v", share)
	}
	if got := table.snapshot(now); !slices.Equal(got, []float64{-1, 5, 90, 90}) {
		t.Errorf("the peers' demand is %v", got)
	}
}

func TestPeersAreRestored(t *testing.T) {
	table, now := newPeerTable(4, 1, interval), time.Hour
	demands := []float64{10, 20, -1, 30}
	table.restore(demands, now)
	if got := table.snapshot(now); !slices.Equal(got, []float64{10, -1, -1, 30}) {
		t.Errorf("restored %v from %v", got, demands)
	}
	for from, want := range map[int]bool{-1: false, 0: true, 1: false, 3: true, 4: false} {
		if table.has(from) != want {
			t.Errorf("agent %d counts as a peer: %v", from, !want)
		}
	}
}
