package balancer

// Unit tests of the demand estimate, and of peers and quota.

import (
	"math"
	"slices"
	"testing"
	"time"
)

const interval = 400 * time.Millisecond

func TestDemandIsExtrapolatedAfterAStart(t *testing.T) {
	fresh, longRunning := newDemandEstimate(interval), newDemandEstimate(interval)
	now := time.Hour
	longRunning.start(now)
	for ; now < time.Hour+100*interval; now += interval / 20 {
		longRunning.add(now, 1)
	}
	fresh.start(now)
	for range 20 {
		longRunning.add(now, 1)
		fresh.add(now, 1)
		now += interval / 20
	}
	if got, want := fresh.steady(now), longRunning.steady(now); math.Abs(got/want-1) > 0.1 {
		t.Errorf("estimate of %v after one interval, %v after many, want a difference of up to a tenth", got, want)
	}
	if fresh.value(now) > longRunning.value(now)/3 {
		t.Errorf("the sum without extrapolation is %v after one interval, %v after many, want up to a third", fresh.value(now),
			longRunning.value(now))
	}
}

func TestQuotaFollowsDemand(t *testing.T) {
	now := time.Hour
	for name, c := range map[string]struct {
		own, assigned float64
		reports       map[int]float64 // of agents 1 to 3
		want          float64
	}{
		"no reports":        {100, 0, nil, 0.25},
		"even demand":       {100, 0, map[int]float64{1: 100, 2: 100, 3: 100}, 0.25},
		"idle peers":        {100, 0, map[int]float64{1: 0, 2: 0, 3: 0}, (0.25 + 0.75*4) / 4},
		"idle agent":        {0, 0, map[int]float64{1: 100, 2: 100, 3: 100}, 0.25 / 4},
		"one report":        {100, 0, map[int]float64{1: 300}, (0.25 + 0.75*100/400*2) / 4},
		"no demand":         {0, 0, map[int]float64{1: 0, 2: 0, 3: 0}, 0.25},
		"assigned half":     {100, 0.5, nil, 0.5},
		"assigned 1 in 100": {100, 0.01, map[int]float64{1: 100}, 0.01},
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

func TestQuotaOfExpiredPeersIsReleased(t *testing.T) {
	table, now := newPeerTable(3, 0, interval), time.Hour
	table.receive(1, 100, false, now)
	table.receive(2, 100, false, now)
	if got := table.quota(100, 0, now); math.Abs(got-1.0/3) > 1e-12 {
		t.Errorf("quota %v with two active peers, want a third", got)
	}
	now += time.Duration(peerExpiry * float64(interval))
	if got := table.quota(100, 0, now); got != 1 {
		t.Errorf("quota %v after both peers stopped, want 1", got)
	}
	large := newPeerTable(100, 0, interval) // receives reports from a sample of peers: an expired one is no sign of a stop
	large.receive(1, 100, false, time.Hour)
	if got := large.quota(100, 0, now); got != 0.01 {
		t.Errorf("quota %v in a large fleet, want an even share", got)
	}
}

func TestDemandOfADrainedPeerIsRedistributed(t *testing.T) {
	table, now := newPeerTable(4, 0, interval), time.Hour
	for from := 1; from < 4; from++ {
		table.receive(from, 90, false, now)
	}
	if share, changed := table.receive(1, 90, true, now); !changed || share != 30 {
		t.Fatalf("share %v of a drained peer's demand, want a third of 90", share)
	}
	if share, changed := table.receive(1, 90, true, now); changed {
		t.Errorf("a second report of the drain changes the demand by %v, want no change", share)
	}
	if got := table.snapshot(now); !slices.Equal(got, []float64{-1, 0, 120, 120}) {
		t.Errorf("the peers' demand during the drain is %v, want -1, 0, 120, 120", got)
	}
	if share, changed := table.receive(1, 5, false, now); !changed || share != -30 {
		t.Errorf("share %v when the clients return, want −30", share)
	}
	if got := table.snapshot(now); !slices.Equal(got, []float64{-1, 5, 90, 90}) {
		t.Errorf("the peers' demand after the drain is %v, want -1, 5, 90, 90", got)
	}
}

func TestPeersAreRestored(t *testing.T) {
	table, now := newPeerTable(4, 1, interval), time.Hour
	demands := []float64{10, 20, -1, 30}
	table.restore(demands, now)
	if got := table.snapshot(now); !slices.Equal(got, []float64{10, -1, -1, 30}) {
		t.Errorf("restored %v from %v, want 10, -1, -1, 30", got, demands)
	}
	for from, want := range map[int]bool{-1: false, 0: true, 1: false, 3: true, 4: false} {
		if table.has(from) != want {
			t.Errorf("agent %d counts as a peer: %v, want the opposite", from, !want)
		}
	}
}
