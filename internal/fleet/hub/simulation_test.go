// This file simulates hubs and agents in virtual time: real servers and stores, over connections that can be
// partitioned.

package hub

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// simulation is a set of hubs and agents, driven by one goroutine in a synctest bubble.
type simulation struct {
	t             *testing.T
	maxAgents     int
	rand          *rand.Rand
	tasks         sync.WaitGroup
	mu            sync.Mutex
	hubs          []*simHub
	agents        []*simAgent // the latest process of each name; nil: none yet
	started       []*simAgent // all processes, in the order of their start
	incarnations  uint64      // the latest that was given to an agent's process
	partitioned   bool        // hubs and agents with odd numbers are cut off from those with even ones
	partitionedAt time.Time
}

// simHub is the place of a hub, with its present process if it runs. It is the hub.Fleet and the listener of that
// process.
type simHub struct {
	sim         *simulation
	n           int
	server      *Server // nil: none
	gossip      *gossip.Store
	conns       chan net.Conn
	stopServer  func()
	incarnation uint64
}

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

// startSimulation starts four hubs and ten agents, as many as the fleet may have.
func startSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	const maxAgents = 10
	s := &simulation{t: t, maxAgents: maxAgents, rand: rand.New(rand.NewPCG(seed, 1)), agents: make([]*simAgent, maxAgents)}
	for n := range 4 {
		s.hubs = append(s.hubs, &simHub{sim: s, n: n})
	}
	for _, hub := range s.hubs {
		hub.start()
	}
	for n := range maxAgents {
		s.spawn(n)
	}
	return s
}

// stop ends all agents and hubs, and waits for them.
func (s *simulation) stop() {
	for _, agent := range s.agents {
		if agent != nil {
			agent.kill(false)
		}
	}
	for _, hub := range s.hubs {
		hub.stop()
	}
	s.tasks.Wait()
}

// isPartitioned reports whether two places, hubs or agents, cannot reach each other.
func (s *simulation) isPartitioned(a, b int) bool { return s.partitioned && a%2 != b%2 }

// member returns this hub as a member. Ports from 1000 on are hubs, those below are agents.
func (h *simHub) member() member.Member {
	return member.Member{
		Name: fmt.Sprint("hub", h.n),
		Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+h.n)),
		Meta: member.Meta{Incarnation: h.incarnation, Hub: true},
	}
}

// otherHubs returns the other hubs that are seen as members, or those that are not. A partition is seen 3 s late.
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
	defer h.sim.mu.Unlock() // until the connection is queued: stop closes conns after it has cleared server
	target := h.sim.hubs[int(addrPort.Port())-1000]
	if target.server == nil || h.sim.isPartitioned(target.n, h.n) {
		return nil, errPartitioned
	}
	near, far := net.Pipe()
	select {
	case target.conns <- far:
		return near, nil
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
func (h *simHub) Close() error   { return nil }
func (h *simHub) Addr() net.Addr { return &net.TCPAddr{} }

// start starts a process of the hub, which knows nothing.
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

// gossip passes messages between the hubs, as members do. A quarter of them is lost.
func (s *simulation) gossip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, from := range s.hubs {
		if from.server == nil {
			continue
		}
		from.gossip.Tick()
		for _, to := range s.hubs {
			if from != to && to.server != nil && !s.isPartitioned(from.n, to.n) && s.rand.IntN(4) > 0 {
				if data := from.gossip.NextMessage(1000, len(s.hubs)); data != nil {
					_ = to.gossip.Merge(data)
				}
			}
		}
	}
}

// spawn starts a process of the n-th agent.
func (s *simulation) spawn(n int) {
	s.incarnations++
	store := gossip.New(fmt.Sprint("agent", n), s.incarnations, gossip.DefaultAgeBounds, nil)
	a := &simAgent{sim: s, n: n, incarnation: s.incarnations, startedAt: time.Now(), gossip: store}
	s.mu.Lock()
	s.agents[n] = a
	s.started = append(s.started, a)
	s.mu.Unlock()
}

// kill ends a process, with or without Leave. From now on its machine refuses connections.
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

// attach attaches an agent to a hub that it reaches. An older stream is closed shortly after.
func (a *simAgent) attach(hub *simHub) {
	sim := a.sim
	sim.mu.Lock()
	server := hub.server
	if server == nil || !server.ready.Load() || sim.isPartitioned(hub.n, a.n) || a.dead {
		sim.mu.Unlock()
		return
	}
	near, far := net.Pipe()
	previous := a.streams
	a.streams, a.hub = []net.Conn{near}, hub
	sim.mu.Unlock()
	server.streams.Go(func() { server.serveStream(far, bufio.NewReader(far)); far.Close() })
	sim.tasks.Go(func() { a.read(near, hub) })
	sim.tasks.Go(func() {
		time.Sleep(100 * time.Millisecond)
		for _, c := range previous {
			c.Close()
		}
	})
}

// read runs the agent's side of a stream: it sends its state each second and keeps what the hub publishes.
func (a *simAgent) read(conn net.Conn, hub *simHub) {
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
		if a.unreachable(hub) { // as beyond a partition: the hub receives nothing, and no reset
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

// quota returns the agent's quota by the rule of package hubclient.
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

// quotaSum returns the sum of the quotas of all live processes, those with a common name included.
func (s *simulation) quotaSum() (sum float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.started {
		if !a.dead {
			sum += a.quota()
		}
	}
	return sum
}

// run lets time pass. Agents without a hub attach at random. It fails the test if the quotas add up to more than the
// limit.
func (s *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.gossip()
		for _, a := range s.agents {
			s.mu.Lock()
			idle := a != nil && !a.dead && a.hub == nil
			s.mu.Unlock()
			if idle && s.rand.IntN(10) == 0 {
				a.attach(s.hubs[s.rand.IntN(len(s.hubs))])
			}
		}
		if sum := s.quotaSum(); sum > 1.1+1e-9 {
			s.t.Fatalf("the quotas add up to %v", sum)
		}
	}
}

// step makes a random event happen.
func (s *simulation) step() {
	n := s.rand.IntN(len(s.agents))
	agent := s.agents[n]
	switch choice := s.rand.IntN(10); {
	case agent == nil || agent.dead:
		s.spawn(n)
	case choice < 3:
		agent.kill(false)
	case choice == 3:
		agent.kill(true)
	case choice == 4: // restarted at once
		agent.kill(false)
		s.spawn(n)
	case choice < 7:
		agent.attach(s.hubs[s.rand.IntN(len(s.hubs))])
	case choice == 7:
		s.mu.Lock()
		s.partitioned, s.partitionedAt = !s.partitioned, time.Now()
		s.mu.Unlock()
	case choice == 8: // seven of ten die at once
		for i, other := range s.agents {
			if other != nil && !other.dead && i%10 < 7 {
				other.kill(false)
			}
		}
	default:
		if hub := s.hubs[s.rand.IntN(len(s.hubs))]; hub.server != nil {
			hub.stop()
			s.run(time.Duration(s.rand.IntN(4000)) * time.Millisecond)
			hub.start()
		}
	}
}
