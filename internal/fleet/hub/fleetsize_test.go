// This file tests which fleet size is published to agents, and when their quotas are confirmed.

package hub

import (
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// The agents of several hubs are counted together. A dead agent counts once though two hubs lost it, as does one that
// said Leave, and one that is back counts as dead no more. The steps stand in one function because each starts from
// the fleet that the one before left.
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
	// The process of c is dead, and both hubs have lost its stream.
	forgetRemote(hubs[1])
	forgetRemote(hubs[2])
	firstProcess.Close()
	c1.close()
	c2.close()
	waitFor(t, "dead agent in the fleet size", func() bool {
		return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1}
	})
	// An agent that leaves for good is dead at once.
	if err := writeFrame(d.conn, &frame.Frame{Leave: true}); err != nil {
		t.Fatal(err)
	}
	secondProcess.Close()
	waitFor(t, "second dead agent in the fleet size", func() bool { return a.fleetSize() == FleetSize{2, 1, 2} })
	for _, hub := range hubs[1:] {
		names := hub.registry.confirmedDead(3*time.Second, time.Now())
		if len(names) == 0 || len(names) > 2 {
			t.Errorf("%s holds %d names as dead", hub.cfg.Name, len(names))
		}
	}
	// c is back at another hub: soon nobody counts it as dead, and until then its quota is not confirmed.
	back := attachAgent(t, hubs[0], frame.Hello{Name: "c", Incarnation: 2, Addr: listenAsProcess(t).Addr().String()}, servingState)
	waitFor(t, "fleet size with c back", func() bool {
		return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1}
	})
	if back.isQuotaConfirmed() {
		t.Error("its quota is confirmed while others may still use it")
	}
	waitFor(t, "confirmed quota of c", back.isQuotaConfirmed)
	waitFor(t, "end of the checks of c", func() bool { return len(hubs[1].registry.confirmedDead(time.Hour, time.Now())) == 0 })
}

// forgetRemote makes a hub forget which agents are attached to other hubs.
func forgetRemote(hub *testHub) {
	hub.registry.mu.Lock()
	defer hub.registry.mu.Unlock()
	clear(hub.registry.remote)
}

// A fleet size is never younger than the oldest report that it rests on.
func TestFleetSizeIsAsOldAsItsOldestEntry(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 2, 10)
	a := attachAgent(t, hubs[0], frame.Hello{Name: "a", Site: "a", Incarnation: 1}, servingState)
	waitFor(t, "hub that counts the dead", func() bool { return hubs[0].uptime(time.Now()) > hubs[0].deadMaxAge() })
	const old = 1500 * time.Millisecond
	at := time.Now().Add(-old)
	hubs[0].fleet.Gossip().PublishAged(gossip.DeadProcesses, "aged", []byte{0x81, 0x61, 'z'}, old)
	waitFor(t, "fleet size with the dead agent", func() bool {
		for _, f := range a.gossip.Entries(gossip.FleetSize) {
			if c, err := ParseFleetSize(f.Body); err == nil && c.Dead == 1 {
				if time.Since(at) > f.Age {
					t.Errorf("the fleet size is %v old, and rests on a report of %v ago", f.Age, time.Since(at))
				}
				return true
			}
		}
		return false
	})
}

// A hub that has just started counts nobody as dead and confirms no quota, whatever others publish.
func TestNewHubCountsNoDeadAndConfirmsNoQuota(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	a := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState)
	waitFor(t, "fleet size", func() bool { return a.fleetSize().Attached == 1 })
	for hub.uptime(time.Now()) < 2*time.Second {
		hub.fleet.Gossip().Publish(gossip.DeadProcesses, "x", []byte{0x81, 0x61, 'z'})
		if c := a.fleetSize(); c.Dead != 0 || a.isQuotaConfirmed() {
			if hub.uptime(time.Now()) < 3*time.Second {
				t.Fatalf("%+v, quota confirmed: %v", c, a.isQuotaConfirmed())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "confirmed quota", a.isQuotaConfirmed)
	// As after a suspension: the hub starts anew, and its streams end.
	hub.resetAfterSuspend(time.Now())
	waitFor(t, "end of the stream", a.closed)
	if b := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState); b.isQuotaConfirmed() {
		t.Error("the quota is confirmed at once")
	}
}
