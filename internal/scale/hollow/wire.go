package hollow

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

// Part is what bytes between agents are about.
type Part int

const (
	Members Part = iota // the membership, its packets and its streams
	Facts
	Distances // round trips; the rows that tell of them are facts
	Lists
	Policies
	HubStream // states and facts, between an agent and its hub
	SettingsTexts
	parts
)

// Parts are all of them.
var Parts = []Part{Members, Facts, Distances, Lists, Policies, HubStream, SettingsTexts}

func (p Part) String() string {
	return [...]string{"members", "facts", "distances", "list", "policy", "hub stream", "settings"}[p]
}

// Count is bytes of payload, and messages: datagrams, and writes or reads of a stream.
type Count struct{ Bytes, Messages int64 }

// Traffic is what has passed an agent's sockets, by part.
type Traffic struct {
	In, Out   [parts]Count
	Strangers Count // of the datagrams that came, those of agents that are not hollow
}

// Network is what lies between agents. Its faults hold for all of them.
type Network struct {
	zones  sync.Map // by address; the list service has none
	faults atomic.Pointer[faults]
}

type faults struct {
	cut  map[string]bool // zones that reach nobody outside, and whom nobody reaches
	loss float64
}

// resend is how much later a stream's write arrives that was lost once.
const resend = 200 * time.Millisecond

// NewNetwork is a network without faults.
func NewNetwork() *Network { return &Network{} }

// Place says in which zone an address is.
func (n *Network) Place(addr, zone string) {
	if at, err := netip.ParseAddrPort(addr); err == nil {
		n.zones.Store(at, zone)
	}
}

// Cut cuts zones off from all others and from the list service. None: every cut is healed.
func (n *Network) Cut(zones ...string) {
	f := &faults{cut: map[string]bool{}}
	if old := n.faults.Load(); old != nil {
		f.loss = old.loss
	}
	for _, z := range zones {
		f.cut[z] = true
	}
	n.faults.Store(f)
}

// Lose has a share of all datagrams lost, and as many of the streams' writes come late.
func (n *Network) Lose(share float64) {
	f := &faults{loss: share}
	if old := n.faults.Load(); old != nil {
		f.cut = old.cut
	}
	n.faults.Store(f)
}

func (n *Network) zoneOf(at netip.AddrPort) string {
	zone, _ := n.zones.Load(at)
	name, _ := zone.(string)
	return name
}

func (n *Network) isCut(a, b string) bool {
	f := n.faults.Load()
	return f != nil && a != b && (f.cut[a] || f.cut[b])
}

func (n *Network) loses() bool {
	f := n.faults.Load()
	return f != nil && f.loss > 0 && rand.Float64() < f.loss
}

// wire is one agent's.
type wire struct {
	net  *Network
	zone string

	in, out   [parts]counter
	strangers counter

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

func (c *counter) now() Count { return Count{c.bytes.Load(), c.messages.Load()} }

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

func (w *wire) end() { w.dead.Store(true) }

// wait waits while the agent is paused.
func (w *wire) wait(done <-chan struct{}) {
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

func (w *wire) count(p Part, n int, out bool) {
	c := &w.in[p]
	if out {
		c = &w.out[p]
	}
	c.add(n)
}

func (w *wire) traffic() (t Traffic) {
	for p := range parts {
		t.In[p], t.Out[p] = w.in[p].now(), w.out[p].now()
	}
	t.Strangers = w.strangers.now()
	return t
}

// Packet loses and holds datagrams on the side that sends: what was sent then comes.
func (w *wire) Packet(data []byte, peer netip.AddrPort, out bool) bool {
	w.wait(nil)
	if w.dead.Load() {
		return false
	}
	if !out && w.net.zoneOf(peer) == "" {
		w.strangers.add(len(data))
	}
	if data[0] == member.ProbeByte {
		w.count(Distances, len(data), out)
	} else {
		facts := factsIn(data)
		if rest := len(data) - facts; rest > 0 {
			w.count(Members, rest, out)
		}
		if facts > 0 {
			w.count(Facts, facts, out)
		}
	}
	return !out || !w.net.isCut(w.zone, w.net.zoneOf(peer)) && !w.net.loses()
}

// First bytes of memberlist's packets.
const (
	compound, user, crc, labelled = 7, 8, 12, 244
)

// factsIn is how many bytes of a membership's packet are facts: its users' messages, alone or among others.
func factsIn(p []byte) int {
	if len(p) > 2 && p[0] == labelled {
		p = p[min(len(p), 2+int(p[1])):]
	}
	if len(p) > 5 && p[0] == crc {
		p = p[5:]
	}
	switch {
	case len(p) > 0 && p[0] == user:
		return len(p)
	case len(p) < 2 || p[0] != compound:
		return 0
	}
	n := int(p[1])
	if len(p) < 2+2*n {
		return 0
	}
	sizes, rest, facts := p[2:2+2*n], p[2+2*n:], 0
	for i := range n {
		size := int(binary.BigEndian.Uint16(sizes[2*i:]))
		if size == 0 || size > len(rest) {
			return facts
		}
		if rest[0] == user {
			facts += size
		}
		rest = rest[size:]
	}
	return facts
}

var errDead = errors.New("the agent was killed")

// cutLook is how often who waits for a cut's end looks.
const cutLook = 10 * time.Millisecond

func (w *wire) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	zone := ""
	if at, err := netip.ParseAddrPort(addr); err == nil {
		zone = w.net.zoneOf(at)
	}
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	w.wait(ctx.Done())
	for w.net.isCut(w.zone, zone) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cutLook):
		}
	}
	if w.dead.Load() {
		return nil, errDead
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.watched(c, zone), nil
}

// dialService opens a stream to the list service, which is in no zone.
func (w *wire) dialService(ctx context.Context, _, addr string) (net.Conn, error) {
	return w.Dial(ctx, &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, addr)
}

// Accepted takes the other side's stream. A cut holds on the side that dialled.
func (w *wire) Accepted(c net.Conn) net.Conn { return w.watched(c, w.zone) }

func (w *wire) watched(c net.Conn, zone string) net.Conn {
	s := &stream{Conn: c, wire: w, zone: zone, ended: make(chan struct{})}
	s.part.Store(-1)
	return s
}

// stream counts what passes a connection. Its first bytes tell what it is about.
type stream struct {
	net.Conn
	wire  *wire
	zone  string // the other side's
	part  atomic.Int32
	once  sync.Once
	ended chan struct{}
	read  atomic.Pointer[time.Time] // deadlines
	write atomic.Pointer[time.Time]
}

func (s *stream) Close() error {
	s.once.Do(func() { close(s.ended) })
	return s.Conn.Close()
}

// CloseWrite says that no more is written.
func (s *stream) CloseWrite() error { return s.Conn.(*net.TCPConn).CloseWrite() }

func (s *stream) SetDeadline(t time.Time) error {
	s.read.Store(&t)
	s.write.Store(&t)
	return s.Conn.SetDeadline(t)
}

func (s *stream) SetReadDeadline(t time.Time) error {
	s.read.Store(&t)
	return s.Conn.SetReadDeadline(t)
}

func (s *stream) SetWriteDeadline(t time.Time) error {
	s.write.Store(&t)
	return s.Conn.SetWriteDeadline(t)
}

// hold waits while a cut or a pause holds what is on its way.
func (s *stream) hold(limit *atomic.Pointer[time.Time]) error {
	for s.wire.paused.Load() || s.wire.net.isCut(s.wire.zone, s.zone) {
		if t := limit.Load(); t != nil && !t.IsZero() && time.Now().After(*t) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-s.ended:
			return net.ErrClosed
		case <-time.After(cutLook):
		}
	}
	if s.wire.dead.Load() {
		return errDead
	}
	return nil
}

func (s *stream) note(p []byte, out bool) {
	if len(p) == 0 {
		return
	}
	if s.part.Load() < 0 {
		part := Members
		switch {
		case bytes.HasPrefix(p, []byte("GET /residency")):
			part = Policies
		case bytes.HasPrefix(p, []byte("GET "+frame.Path+" ")):
			part = HubStream
		case bytes.HasPrefix(p, []byte("GET /settings/")):
			part = SettingsTexts
		case bytes.HasPrefix(p, []byte("GET ")):
			part = Lists
		}
		s.part.Store(int32(part))
	}
	s.wire.count(Part(s.part.Load()), len(p), out)
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		if held := s.hold(&s.read); held != nil {
			return 0, held
		}
		s.note(p[:n], false)
	}
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	if s.wire.net.loses() {
		select {
		case <-s.ended:
		case <-time.After(resend):
		}
	}
	if err := s.hold(&s.write); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	s.note(p[:n], true)
	return n, err
}
