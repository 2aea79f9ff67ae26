package simagent

// Datagrams of a simulated agent, and opening of its streams.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/member"
)

// wire is one agent's access to the network. It counts all traffic, and applies the network's faults and the agent's own
// pause and kill.
type wire struct {
	net  *Network
	zone string

	in, out        [numTrafficKinds]counter
	fromRealAgents counter

	ended   atomic.Bool // the agent was killed or has stopped
	paused  atomic.Bool
	mu      sync.Mutex
	resumed chan struct{} // closed when the latest pause ends
}

var _ member.Wire = (*wire)(nil)

func (w *wire) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused.Load() {
		w.resumed = make(chan struct{})
		w.paused.Store(true)
	}
}

func (w *wire) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused.Swap(false) {
		close(w.resumed)
	}
}

func (w *wire) kill() { w.ended.Store(true) }

// waitWhilePaused blocks until the agent is not paused or done is closed. done may be nil.
func (w *wire) waitWhilePaused(done <-chan struct{}) {
	for w.paused.Load() {
		w.mu.Lock()
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-done:
			return
		}
	}
}

func (w *wire) count(kind TrafficKind, size int, out bool) {
	c := &w.in[kind]
	if out {
		c = &w.out[kind]
	}
	c.add(size)
}

func (w *wire) traffic() (t Traffic) {
	for kind := range numTrafficKinds {
		t.In[kind], t.Out[kind] = w.in[kind].snapshot(), w.out[kind].snapshot()
	}
	t.FromRealAgents = w.fromRealAgents.snapshot()
	return t
}

// Packet implements member.Wire. It counts a datagram and reports whether the datagram passes. Losses and partitions apply
// only to outgoing datagrams, so that each datagram that passes at its sender arrives.
func (w *wire) Packet(data []byte, peer netip.AddrPort, out bool) bool {
	w.waitWhilePaused(nil)
	if w.ended.Load() {
		return false
	}
	if !out && w.net.zoneOf(peer) == "" {
		w.fromRealAgents.add(len(data))
	}
	if data[0] == member.ProbeByte {
		w.count(Latencies, len(data), out)
	} else {
		gossip := gossipBytes(data)
		if rest := len(data) - gossip; rest > 0 {
			w.count(Membership, rest, out)
		}
		if gossip > 0 {
			w.count(Gossip, gossip, out)
		}
	}
	return !out || !w.net.partitioned(w.zone, w.net.zoneOf(peer)) && !w.net.drops()
}

var errKilled = errors.New("the agent was killed")

// faultPollInterval is the interval at which a blocked operation checks whether its fault has ended.
const faultPollInterval = 10 * time.Millisecond

// Dial implements member.Wire. It opens a counted stream as soon as the agent is not paused and no partition separates the
// agent from addr.
func (w *wire) Dial(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	zone := ""
	if addrPort, err := netip.ParseAddrPort(addr); err == nil {
		zone = w.net.zoneOf(addrPort)
	}
	if dialer.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
	}
	w.waitWhilePaused(ctx.Done())
	for w.net.partitioned(w.zone, zone) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(faultPollInterval):
		}
	}
	if w.ended.Load() {
		return nil, errKilled
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.wrap(conn, zone), nil
}

// dialService opens a stream to the list service. The list service has no zone, so an isolated zone cannot reach it.
func (w *wire) dialService(ctx context.Context, _, addr string) (net.Conn, error) {
	return w.Dial(ctx, &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, addr)
}

// Accepted implements member.Wire. It wraps a stream that another agent has opened. Only the side that dialled applies
// partitions, so the accepting side records the agent's zone as the zone of the peer.
func (w *wire) Accepted(conn net.Conn) net.Conn { return w.wrap(conn, w.zone) }

// wrap returns conn as a counted stream to a peer in a zone.
func (w *wire) wrap(conn net.Conn, zone string) net.Conn {
	wrapped := &stream{Conn: conn, wire: w, zone: zone, closed: make(chan struct{})}
	wrapped.kind.Store(-1)
	return wrapped
}
