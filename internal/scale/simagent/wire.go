package simagent

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/member"
)

// TrafficKind is what bytes between agents are about.
type TrafficKind int

const (
	Membership TrafficKind = iota // the membership, its packets and its streams
	Gossip
	Latencies // round trips; the rows that tell of them are facts
	Lists
	Policies
	HubStream // states and facts, between an agent and its hub
	SettingsDocuments
	numTrafficKinds
)

// Parts are all of them.
var TrafficKinds = []TrafficKind{Membership, Gossip, Latencies, Lists, Policies, HubStream, SettingsDocuments}

func (p TrafficKind) String() string {
	return [...]string{"members", "facts", "distances", "list", "policy", "hub stream", "settings"}[p]
}

// Count is bytes of payload, and messages: datagrams, and writes or reads of a stream.
type Count struct{ Bytes, Messages int64 }

// Traffic is what has passed an agent's sockets, by part.
type Traffic struct {
	In, Out        [numTrafficKinds]Count
	FromRealAgents Count // of the datagrams that came, those of agents that are not hollow
}

// Network is what lies between agents. Its faults hold for all of them.
type Network struct {
	zones  sync.Map // by address; the list service has none
	faults atomic.Pointer[faults]
}

type faults struct {
	isolated map[string]bool // zones that reach nobody outside, and whom nobody reaches
	lossRate float64
}

// resend is how much later a stream's write arrives that was lost once.
const retransmitDelay = 200 * time.Millisecond

// NewNetwork is a network without faults.
func NewNetwork() *Network { return &Network{} }

// SetZone says in which zone an address is.
func (n *Network) SetZone(addr, zone string) {
	if addrPort, err := netip.ParseAddrPort(addr); err == nil {
		n.zones.Store(addrPort, zone)
	}
}

// Isolate cuts zones off from all others and from the list service. None: every cut is healed.
func (n *Network) Isolate(zones ...string) {
	next := &faults{isolated: map[string]bool{}}
	if current := n.faults.Load(); current != nil {
		next.lossRate = current.lossRate
	}
	for _, zone := range zones {
		next.isolated[zone] = true
	}
	n.faults.Store(next)
}

// SetLoss has a share of all datagrams lost, and as many of the streams' writes come late.
func (n *Network) SetLoss(share float64) {
	next := &faults{lossRate: share}
	if current := n.faults.Load(); current != nil {
		next.isolated = current.isolated
	}
	n.faults.Store(next)
}

func (n *Network) zoneOf(at netip.AddrPort) string {
	zone, _ := n.zones.Load(at)
	name, _ := zone.(string)
	return name
}

func (n *Network) partitioned(a, b string) bool {
	f := n.faults.Load()
	return f != nil && a != b && (f.isolated[a] || f.isolated[b])
}

func (n *Network) drops() bool {
	f := n.faults.Load()
	return f != nil && f.lossRate > 0 && rand.Float64() < f.lossRate
}

// wire is one agent's.
type wire struct {
	net  *Network
	zone string

	in, out        [numTrafficKinds]counter
	fromRealAgents counter

	dead   atomic.Bool // killed, or stopped
	paused atomic.Bool
	mu     sync.Mutex
	gate   chan struct{} // open while paused
}

type counter struct{ bytes, messages atomic.Int64 }

func (c *counter) add(n int) {
	c.bytes.Add(int64(n))
	c.messages.Add(1)
}

func (c *counter) snapshot() Count { return Count{c.bytes.Load(), c.messages.Load()} }

var _ member.Wire = (*wire)(nil)

func (w *wire) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused.Load() {
		w.gate = make(chan struct{})
		w.paused.Store(true)
	}
}

func (w *wire) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused.Swap(false) {
		close(w.gate)
	}
}

func (w *wire) kill() { w.dead.Store(true) }

// waitWhilePaused waits while the agent is paused.
func (w *wire) waitWhilePaused(done <-chan struct{}) {
	for w.paused.Load() {
		w.mu.Lock()
		gate := w.gate
		w.mu.Unlock()
		select {
		case <-gate:
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

// Packet loses and holds datagrams on the side that sends: what was sent then comes.
func (w *wire) Packet(data []byte, peer netip.AddrPort, out bool) bool {
	w.waitWhilePaused(nil)
	if w.dead.Load() {
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

// First bytes of memberlist's packets.
const (
	compoundMsg, userMsg, hasCRCMsg, hasLabelMsg = 7, 8, 12, 244
)

// gossipBytes is how many bytes of a membership's packet are facts: its users' messages, alone or among others.
func gossipBytes(packet []byte) int {
	if len(packet) > 2 && packet[0] == hasLabelMsg {
		packet = packet[min(len(packet), 2+int(packet[1])):]
	}
	if len(packet) > 5 && packet[0] == hasCRCMsg {
		packet = packet[5:]
	}
	switch {
	case len(packet) > 0 && packet[0] == userMsg:
		return len(packet)
	case len(packet) < 2 || packet[0] != compoundMsg:
		return 0
	}
	n := int(packet[1])
	if len(packet) < 2+2*n {
		return 0
	}
	sizes, rest, gossip := packet[2:2+2*n], packet[2+2*n:], 0
	for i := range n {
		size := int(binary.BigEndian.Uint16(sizes[2*i:]))
		if size == 0 || size > len(rest) {
			return gossip
		}
		if rest[0] == userMsg {
			gossip += size
		}
		rest = rest[size:]
	}
	return gossip
}

var errKilled = errors.New("the agent was killed")

// faultPollInterval is how often who waits for a cut's end looks.
const faultPollInterval = 10 * time.Millisecond

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
	if w.dead.Load() {
		return nil, errKilled
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.wrap(conn, zone), nil
}

// dialService opens a stream to the list service, which is in no zone.
func (w *wire) dialService(ctx context.Context, _, addr string) (net.Conn, error) {
	return w.Dial(ctx, &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, addr)
}

// Accepted takes the other side's stream. A cut holds on the side that dialled.
func (w *wire) Accepted(conn net.Conn) net.Conn { return w.wrap(conn, w.zone) }

func (w *wire) wrap(conn net.Conn, zone string) net.Conn {
	wrapped := &stream{Conn: conn, wire: w, zone: zone, closed: make(chan struct{})}
	wrapped.kind.Store(-1)
	return wrapped
}

// stream counts what passes a connection. Its first bytes tell what it is about.
type stream struct {
	net.Conn
	wire          *wire
	zone          string // the other side's
	kind          atomic.Int32
	closeOnce     sync.Once
	closed        chan struct{}
	readDeadline  atomic.Pointer[time.Time] // deadlines
	writeDeadline atomic.Pointer[time.Time]
}

func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// CloseWrite says that no more is written.
func (s *stream) CloseWrite() error { return s.Conn.(*net.TCPConn).CloseWrite() }

func (s *stream) SetDeadline(t time.Time) error {
	s.readDeadline.Store(&t)
	s.writeDeadline.Store(&t)
	return s.Conn.SetDeadline(t)
}

func (s *stream) SetReadDeadline(t time.Time) error {
	s.readDeadline.Store(&t)
	return s.Conn.SetReadDeadline(t)
}

func (s *stream) SetWriteDeadline(t time.Time) error {
	s.writeDeadline.Store(&t)
	return s.Conn.SetWriteDeadline(t)
}

// waitWhileBlocked waits while a cut or a pause holds what is on its way.
func (s *stream) waitWhileBlocked(deadline *atomic.Pointer[time.Time]) error {
	for s.wire.paused.Load() || s.wire.net.partitioned(s.wire.zone, s.zone) {
		if t := deadline.Load(); t != nil && !t.IsZero() && time.Now().After(*t) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-s.closed:
			return net.ErrClosed
		case <-time.After(faultPollInterval):
		}
	}
	if s.wire.dead.Load() {
		return errKilled
	}
	return nil
}

func (s *stream) record(data []byte, out bool) {
	if len(data) == 0 {
		return
	}
	if s.kind.Load() < 0 {
		kind := Membership
		switch {
		case bytes.HasPrefix(data, []byte("GET /residency")):
			kind = Policies
		case bytes.HasPrefix(data, []byte("GET "+frame.Path+" ")):
			kind = HubStream
		case bytes.HasPrefix(data, []byte("GET /settings/")):
			kind = SettingsDocuments
		case bytes.HasPrefix(data, []byte("GET ")):
			kind = Lists
		}
		s.kind.Store(int32(kind))
	}
	s.wire.count(TrafficKind(s.kind.Load()), len(data), out)
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		if blocked := s.waitWhileBlocked(&s.readDeadline); blocked != nil {
			return 0, blocked
		}
		s.record(p[:n], false)
	}
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	if s.wire.net.drops() {
		select {
		case <-s.closed:
		case <-time.After(retransmitDelay):
		}
	}
	if err := s.waitWhileBlocked(&s.writeDeadline); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	s.record(p[:n], true)
	return n, err
}
