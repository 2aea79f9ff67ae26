// This file implements an agent of the simulation, with the agent's side of the protocol.

package hub

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// simAgent is a process of an agent.
type simAgent struct {
	sim            *simulation
	n              int
	incarnation    uint64
	startedAt      time.Time
	gossip         *gossip.Store
	quotaConfirmed bool
	dead           bool
	streams        []net.Conn
	hub            *simHub
}

// kill ends the process, and first sends Leave on the agent's stream if leave is true. Afterwards the agent's machine refuses
// connections.
func (a *simAgent) kill(leave bool) {
	a.sim.mu.Lock()
	a.dead = true
	conns := a.streams
	a.streams, a.hub = nil, nil
	a.sim.mu.Unlock()
	for _, c := range conns {
		if leave {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_ = writeFrame(c, &frame.Frame{Leave: true})
		}
		c.Close()
	}
}

// attach attaches the agent to a hub if the hub is ready and reachable. It closes the agent's older stream 100 ms later.
func (a *simAgent) attach(hub *simHub) {
	sim := a.sim
	sim.mu.Lock()
	server := hub.server
	if server == nil || !server.ready.Load() || sim.isPartitioned(hub.n, a.n) || a.dead {
		sim.mu.Unlock()
		return
	}
	agentConn, hubConn := net.Pipe()
	previous := a.streams
	a.streams, a.hub = []net.Conn{agentConn}, hub
	sim.mu.Unlock()
	server.streams.Go(func() { server.serveStream(hubConn, bufio.NewReader(hubConn)); hubConn.Close() })
	sim.tasks.Go(func() { a.runStream(agentConn, hub) })
	sim.tasks.Go(func() {
		time.Sleep(100 * time.Millisecond)
		for _, c := range previous {
			c.Close()
		}
	})
}

// runStream runs the agent's side of a stream: it sends servingState every second and stores what the hub publishes.
func (a *simAgent) runStream(conn net.Conn, hub *simHub) {
	defer func() {
		a.sim.mu.Lock()
		if len(a.streams) > 0 && a.streams[0] == conn {
			a.streams, a.hub = nil, nil
		}
		a.sim.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	if _, err := reader.Discard(len(switchingProtocols)); err != nil {
		return
	}
	hello := frame.Hello{Name: fmt.Sprint("agent", a.n), Incarnation: a.incarnation, Addr: fmt.Sprintf("0.0.0.0:%d", a.n)}
	if writeFrame(conn, &frame.Frame{Hello: &hello}) != nil {
		return
	}
	a.sim.tasks.Go(func() {
		for !a.unreachable(hub) && writeFrame(conn, &frame.Frame{State: servingState}) == nil {
			time.Sleep(time.Second)
		}
	})
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
		f, err := frame.Read(reader)
		if a.unreachable(hub) { // as in a partition: the hub receives neither data nor a reset
			time.Sleep(2500 * time.Millisecond)
			return
		}
		if err != nil {
			return
		}
		a.sim.mu.Lock()
		a.quotaConfirmed = a.quotaConfirmed || f.QuotaConfirmed
		a.sim.mu.Unlock()
		if len(f.Gossip) > 0 {
			_ = a.gossip.Merge(f.Gossip)
		}
	}
}

// unreachable reports whether the agent is partitioned from a hub.
func (a *simAgent) unreachable(hub *simHub) bool {
	a.sim.mu.Lock()
	defer a.sim.mu.Unlock()
	return a.sim.isPartitioned(hub.n, a.n)
}

// quota returns the agent's quota, which it computes like package hubclient.
func (a *simAgent) quota() float64 {
	a.gossip.Tick()
	if !a.quotaConfirmed && time.Since(a.startedAt) < 3*time.Second {
		return 0.1 / float64(a.sim.maxAgents)
	}
	users, known := a.sim.maxAgents, false
	for _, entry := range a.gossip.Entries(gossip.FleetSize) {
		if size, err := ParseFleetSize(entry.Body); err == nil {
			n := max(1, a.sim.maxAgents-int(size.Dead), int(size.Attached))
			if !known {
				users = n
			}
			users, known = max(users, n), true
		}
	}
	return 1 / float64(users)
}
