// This file implements a hub of the simulation: its Fleet, its listener and its process.

package hub

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// simHub is a hub of the simulation, with its current process if one is running. It is the Fleet and the listener of that
// process.
type simHub struct {
	sim         *simulation
	n           int
	server      *Server // nil if no process is running
	gossip      *gossip.Store
	conns       chan net.Conn
	stopServer  func()
	incarnation uint64
}

// member returns this hub as a member. Ports from 1000 on belong to hubs, lower ports to agents.
func (h *simHub) member() member.Member {
	return member.Member{
		Name: fmt.Sprint("hub", h.n),
		Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+h.n)),
		Meta: member.Meta{Incarnation: h.incarnation, Hub: true},
	}
}

// otherHubs returns the other hubs that are members in this hub's view if present is true, and otherwise the
// remaining hubs. The membership changes 3 s after a partition begins.
func (h *simHub) otherHubs(present bool) (list []member.Member) {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	for _, other := range h.sim.hubs {
		visible := other.server != nil && (!h.sim.isPartitioned(other.n, h.n) || time.Since(h.sim.partitionedAt) < 3*time.Second)
		if other != h && visible == present {
			list = append(list, other.member())
		}
	}
	return list
}

func (h *simHub) Gossip() *gossip.Store         { return h.gossip }
func (h *simHub) Hubs() []member.Member         { return h.otherHubs(true) }
func (h *simHub) MissingHubs() []member.Member  { return h.otherHubs(false) }
func (h *simHub) MeshAgents() map[string]bool   { return nil }
func (h *simHub) LatencyMatrix() latency.Matrix { return nil }

func (h *simHub) ConfirmDead(_ context.Context, m member.Member, _ time.Duration) bool {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	n := int(m.Addr.Port())
	if n >= 1000 {
		return !h.sim.isPartitioned(n-1000, h.n) && h.sim.hubs[n-1000].server == nil
	}
	return !h.sim.isPartitioned(n, h.n) && (h.sim.agents[n] == nil || h.sim.agents[n].dead)
}

var errPartitioned = errors.New("partitioned")

func (h *simHub) Dial(_ context.Context, _, addr string) (net.Conn, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock() // after the connection is queued, because stop clears server and then closes conns
	target := h.sim.hubs[int(addrPort.Port())-1000]
	if target.server == nil || h.sim.isPartitioned(target.n, h.n) {
		return nil, errPartitioned
	}
	clientConn, serverConn := net.Pipe()
	select {
	case target.conns <- serverConn:
		return clientConn, nil
	default: // the queue is full
		return nil, errPartitioned
	}
}

func (h *simHub) Accept() (net.Conn, error) {
	c, ok := <-h.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (h *simHub) Close() error { return nil }

func (h *simHub) Addr() net.Addr { return &net.TCPAddr{} }

// start starts a process of the hub, which has no state of an earlier process.
func (h *simHub) start() {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	h.incarnation++
	name := fmt.Sprint("hub", h.n)
	ctx, cancel := context.WithCancel(context.Background())
	h.gossip = gossip.New(name, h.incarnation, gossip.DefaultAgeBounds, nil)
	h.conns = make(chan net.Conn, 64)
	log := slog.New(slog.DiscardHandler)
	hubServer := New(Config{Name: name, Incarnation: h.incarnation, MaxAgents: h.sim.maxAgents, AdmitRate: 1000, Log: log})
	server := &http.Server{Handler: hubServer}
	var tasks sync.WaitGroup
	tasks.Go(func() { hubServer.Run(ctx, h) })
	tasks.Go(func() { _ = server.Serve(h) })
	conns := h.conns
	h.stopServer = func() { cancel(); close(conns); server.Close(); tasks.Wait() }
	h.server = hubServer
}

// stop ends the hub's process and waits for it.
func (h *simHub) stop() {
	h.sim.mu.Lock()
	stopServer := h.stopServer
	h.server = nil
	h.sim.mu.Unlock()
	stopServer()
}
