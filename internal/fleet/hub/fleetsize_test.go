// This file tests which fleet size is published to agents, and when their quotas are confirmed.

package hub

import (
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// The fleet size includes the agents of all hubs. An agent that dies counts as dead once, even if two hubs had a stream
// to it. An agent that sends Leave also counts as dead once. An agent that returns no longer counts as dead. The steps
// share one function because each step starts from the fleet that the previous step leaves.
func TestFleetSizeCountsEachAgentOnce(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 3, 10)
	a := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 1}, servingState)
	b := attachAgent(t, hubs[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{})
	firstProcess, secondProcess := listenAsProcess(t), listenAsProcess(t)
	c1 := attachAgent(t, hubs[1], frame.Hello{Name: "c", Incarnation: 1, Addr: firstProcess.Addr().String()}, servingState)
	waitFor(t, "fleet size of three agents", func() bool {
		return a.fleetSize() == FleetSize{3, 1, 0} && b.fleetSize() == FleetSize{3, 1, 0}
	})
	d := attachAgent(t, hubs[2], frame.Hello{Name: "d", Incarnation: 1, Addr: secondProcess.Addr().String()}, servingState)
	waitFor(t, "confirmed quotas", func() bool { return a.isQuotaConfirmed() && d.isQuotaConfirmed() })
	c2 := attachAgent(t, hubs[2], frame.Hello{Name: "c", Incarnation: 1, Addr: firstProcess.Addr().String()}, servingState)
	waitFor(t, "fleet size of five streams", func() bool { return a.fleetSize().Attached == 5 })
	// The process of c dies, and both hubs lose their stream to c.
	clearRemote(hubs[1])
	clearRemote(hubs[2])
	firstProcess.Close()
	c1.close()
	c2.close()
	waitFor(t, "dead agent in the fleet size", func() bool {
		return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1}
	})
	// An agent that sends Leave counts as dead immediately.
	if err := writeFrame(d.conn, &frame.Frame{Leave: true}); err != nil {
		t.Fatal(err)
	}
	secondProcess.Close()
	waitFor(t, "second dead agent in the fleet size", func() bool { return a.fleetSize() == FleetSize{2, 1, 2} })
	for _, hub := range hubs[1:] {
		dead := hub.registry.confirmedDead(3*time.Second, time.Now())
		if len(dead) == 0 || len(dead) > 2 {
			t.Errorf("%s lists %d agents as dead, want 1 or 2", hub.cfg.Name, len(dead))
		}
	}
	// c returns to another hub: its quota is not confirmed until all hubs have stopped counting c as dead.
	returned := attachAgent(t, hubs[0], frame.Hello{Name: "c", Incarnation: 2, Addr: listenAsProcess(t).Addr().String()}, servingState)
	waitFor(t, "fleet size after the return of c", func() bool {
		return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1}
	})
	if returned.isQuotaConfirmed() {
		t.Error("the quota of c is confirmed while others may still use it, want it unconfirmed")
	}
	waitFor(t, "confirmed quota of c", returned.isQuotaConfirmed)
	waitFor(t, "removal of c from the dead agents of its hub", func() bool { return len(hubs[1].registry.confirmedDead(time.Hour, time.Now())) == 0 })
}

// clearRemote removes the attachments that other hubs have reported from a hub's registry.
func clearRemote(hub *testHub) {
	hub.registry.mu.Lock()
	defer hub.registry.mu.Unlock()
	clear(hub.registry.remote)
}

// The age of a fleet size is at least the age of the oldest report that the size includes.
func TestFleetSizeIsAsOldAsItsOldestEntry(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 2, 10)
	a := attachAgent(t, hubs[0], frame.Hello{Name: "a", Site: "a", Incarnation: 1}, servingState)
	waitFor(t, "hub that counts dead agents", func() bool { return hubs[0].uptime(time.Now()) > hubs[0].deadMaxAge() })
	const reportAge = 1500 * time.Millisecond
	reportedAt := time.Now().Add(-reportAge)
	hubs[0].fleet.Gossip().PublishAged(gossip.DeadProcesses, "aged", []byte{0x81, 0x61, 'z'}, reportAge)
	waitFor(t, "fleet size with the dead agent", func() bool {
		for _, entry := range a.gossip.Entries(gossip.FleetSize) {
			if size, err := ParseFleetSize(entry.Body); err == nil && size.Dead == 1 {
				if time.Since(reportedAt) > entry.Age {
					t.Errorf("the age of the fleet size is %v, want at least the age of its report, %v", entry.Age, time.Since(reportedAt))
				}
				return true
			}
		}
		return false
	})
}

// A hub that has just started counts no agent as dead and confirms no quota, whatever other hubs publish.
func TestNewHubCountsNoDeadAndConfirmsNoQuota(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	a := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState)
	waitFor(t, "fleet size", func() bool { return a.fleetSize().Attached == 1 })
	for hub.uptime(time.Now()) < 2*time.Second {
		hub.fleet.Gossip().Publish(gossip.DeadProcesses, "x", []byte{0x81, 0x61, 'z'})
		if size := a.fleetSize(); size.Dead != 0 || a.isQuotaConfirmed() {
			if hub.uptime(time.Now()) < 3*time.Second {
				t.Fatalf("a new hub published the fleet size %+v, quota confirmed: %v; want no dead agents and no confirmed quota", size, a.isQuotaConfirmed())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "confirmed quota", a.isQuotaConfirmed)
	// After a suspension the hub clears its reports and ends all streams.
	hub.resetAfterSuspend(time.Now())
	waitFor(t, "end of the stream", a.closed)
	if b := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState); b.isQuotaConfirmed() {
		t.Error("the quota is confirmed immediately after a suspension, want it unconfirmed")
	}
}
