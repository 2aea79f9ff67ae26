// Package member knows who is in the fleet: a driver over hashicorp/memberlist (SWIM with Lifeguard), which has
// suspicion, refutation and incarnations right.
package member

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// Phase is how far a process has come.
type Phase uint8

const (
	Starting Phase = iota // it has no list from discovery yet
	Serving
)

// Meta is what a member says of itself with its name.
type Meta struct {
	Site        string `cbor:"1,keyasint"` // its zone
	Phase       Phase  `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`           // of the program
	Incarnation uint64 `cbor:"4,keyasint"`           // which process of the name it is
	Hub         bool   `cbor:"5,keyasint,omitempty"` // it serves agents, and is none itself: no part of the limit is its own
}

// Member is one of the fleet, as known here.
type Member struct {
	Name string
	Addr netip.AddrPort
	Meta
	JoinedAt time.Time // known here since then, by the monotonic clock
}

// Config is what a List needs.
type Config struct {
	Name         string
	Listen       netip.AddrPort // UDP and TCP
	Advertise    netip.AddrPort // where others reach it; zero: Listen
	Seeds        []string       // addresses of others
	Label        string         // fleets of different labels never mix
	MaxMembers   int            // most members that the fleet has
	AwaitAddress bool           // Listen may be held by an older process of this agent: it is waited for
	Meta         Meta
	Log          *slog.Logger

	Merge       func(data []byte)                  // facts of another member
	NextMessage func(limit, members int) []byte    // facts for another member; nil: none
	ObserveRTT  func(name string, d time.Duration) // a round trip to another member
	Changed     func()                             // who is there has changed; must not wait
	HandleProbe func(data []byte, from netip.AddrPort, at time.Time)
	ServeConn   func(net.Conn) // an HTTP call

	Listener *net.TCPListener // at Listen, if it is held already: the list closes it
	Wire     Wire             // nil: sockets are used as they are
}

// Facts of one packet. A memberlist packet holds more; less keeps a lossy way whole.
const maxGossipBytes = 1000

// List is who is there. It must be run.
type List struct {
	cfg        Config
	transport  *transport
	memberlist *memberlist.Memberlist

	mu            sync.Mutex
	members       []*Member         // who is there, this one always, by name; what they point to never changes
	view          *View             // of them; nil: they have changed since it was asked for
	failed        map[string]Member // failed without a goodbye, by name
	toCheck       []Member          // of the dead: this one sees to them
	toCheckView   *View             // when it was found out
	peersMet      int               // others ever met
	phase         Phase
	leaving       bool // another process has this one's name, and this one leaves
	conflictCount int  // how often that was heard of
	leave         chan struct{}
}

// New listens. It says nothing before Run.
func New(cfg Config) (*List, error) {
	t := newTransport(cfg.Listen, cfg.Advertise)
	t.tcp = cfg.Listener
	if err := t.bind(); err != nil && !(cfg.AwaitAddress && errors.Is(err, syscall.EADDRINUSE)) {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	t.handleProbe, t.serveConn, t.wire = cfg.HandleProbe, cfg.ServeConn, cfg.Wire
	return &List{cfg: cfg, transport: t, members: []*Member{{Name: cfg.Name, Addr: t.advertise, Meta: cfg.Meta}}, failed: map[string]Member{}, phase: cfg.Meta.Phase,
		leave: make(chan struct{})}, nil
}

// Addr is where others reach this member.
func (l *List) Addr() netip.AddrPort { return l.transport.advertise }

// SendProbe sends a datagram of round trips to another member.
func (l *List) SendProbe(data []byte, to netip.AddrPort) (time.Time, error) {
	return l.transport.WriteTo(data, to.String())
}

// Dial opens a stream to another member.
func (l *List) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return l.transport.dial(ctx, &l.transport.dialer, addr)
}

// memberlistConfig scale with the fleet: a larger one probes no more for each member, and gives doubts more time.
func (l *List) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label, c.Delegate, c.Events, c.Conflict = l.cfg.Name, l.transport, l.cfg.Label, (*delegate)(l), (*delegate)(l), (*delegate)(l)
	c.Ping = (*delegate)(l)
	c.BindPort, c.AdvertisePort = int(l.transport.advertise.Port()), int(l.transport.advertise.Port())
	c.Logger = log.New(logWriter{l.cfg.Log}, "", 0)
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 250*time.Millisecond, 3
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = 200*time.Millisecond, 3, 10*time.Second
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Millisecond // a restarted process may come back at another address
	c.EnableCompression = false              // packets are small
	if l.cfg.MaxMembers > 100 {
		c.PushPullInterval = 30 * time.Second
	}
	return c
}

// Run joins the fleet and stays in it until ctx ends, and then says goodbye. Without anyone to be found it is alone,
// and goes on asking.
func (l *List) Run(ctx context.Context) error {
	if !l.transport.awaitAddress(ctx) {
		return l.transport.Shutdown()
	}
	l.transport.run()
	list, err := memberlist.Create(l.memberlistConfig())
	if err != nil {
		return errors.Join(err, l.transport.Shutdown())
	}
	l.mu.Lock()
	l.memberlist = list
	l.mu.Unlock()
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: 100 * time.Millisecond, RandomizationFactor: 1, Multiplier: 2, MaxInterval: 4 * time.Second}
	retryBackoff.Reset()
	for leaving := false; !leaving; {
		if targets := l.joinTargets(); len(targets) > 0 {
			// An answer does not begin the waits anew: each is an exchange of all that both know, and while some are taken
			// for dead since all are late, more of them made everyone later.
			if n, err := list.Join(targets); n == 0 && err != nil {
				l.cfg.Log.Debug("nobody was found", "asked", targets, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			leaving = true
		case <-l.leave:
			l.cfg.Log.Error("another process has this one's name: it leaves the fleet and serves alone", "name", l.cfg.Name)
			leaving = true
		case <-time.After(max(50*time.Millisecond, retryBackoff.NextBackOff())):
		}
	}
	err = list.Leave(500 * time.Millisecond)
	return errors.Join(err, list.Shutdown())
}

// joinTargets is whom to ask now: a few seeds, or members that failed, who are not there. After a cut both sides have
// forgotten each other, and a seed stands for the other side.
func (l *List) joinTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := map[string]bool{}
	for _, s := range l.cfg.Seeds {
		candidates[s] = true
	}
	for _, m := range l.failed {
		candidates[m.Addr.String()] = true
	}
	delete(candidates, l.transport.advertise.String())
	if len(candidates) > 0 {
		for _, m := range l.members {
			delete(candidates, m.Addr.String())
		}
	}
	list := slices.Collect(maps.Keys(candidates))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), 3)]
}

// View is who is there, this member included. It is made when it is asked for after a change: however many come at once,
// none of them costs a view of its own.
func (l *List) View() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.viewLocked()
}

func (l *List) viewLocked() *View {
	if l.view == nil {
		l.view = newView(slices.Clone(l.members))
	}
	return l.view
}

// putLocked has a member be there as it is said to be now. It must not change after.
func (l *List) putLocked(m *Member) {
	if m.Name == l.cfg.Name {
		m.Phase = l.phase // what memberlist has of it may be older
	}
	if i, there := findMember(l.members, m.Name); there {
		l.members[i] = m
	} else {
		l.members = slices.Insert(l.members, i, m)
	}
	delete(l.failed, m.Name)
	l.view = nil
}

// Count is how many members are there, this one included.
func (l *List) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// PeersMet is how many others this process has ever met.
func (l *List) PeersMet() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peersMet
}

// SetPhase tells the others how far this process has come.
func (l *List) SetPhase(phase Phase) {
	l.mu.Lock()
	memberlist, same := l.memberlist, l.phase == phase
	l.phase = phase
	if i, there := findMember(l.members, l.cfg.Name); there && !same {
		self := *l.members[i]
		l.putLocked(&self)
	}
	l.mu.Unlock()
	if memberlist != nil && !same {
		go func() { _ = memberlist.UpdateNode(2 * time.Second) }() // others learn with the next exchange if it fails
	}
}

// FailedToCheck are the members that failed without a goodbye and of which this one is among the few that see to whether
// they are dead: chosen by rendezvous, the same at every member.
func (l *List) FailedToCheck(checkers int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.viewLocked()
	if l.toCheckView == view { // nobody fails or comes back without another view
		return slices.Clone(l.toCheck)
	}
	l.toCheck, l.toCheckView = nil, view
	for _, m := range l.failed {
		if rank(m.Name, l.cfg.Name, view) < checkers {
			l.toCheck = append(l.toCheck, m)
		}
	}
	slices.SortFunc(l.toCheck, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.Clone(l.toCheck)
}

// rank is the place of a member in the order in which members serve a subject.
func rank(subject, name string, view *View) (n int) {
	score := RendezvousScore(subject, name)
	for m := range view.All() {
		if m.Name != name && RendezvousScore(subject, m.Name) < score {
			n++
		}
	}
	return n
}

// RendezvousScore orders members for a subject, evenly and the same at every member: the lowest are chosen.
func RendezvousScore(subject, name string) uint64 { return xxhash.Sum64String(subject + "\x00" + name) }

// ConfirmDead reports whether the process that had an address is gone for certain: its machine refuses connections, or
// resets one. Silence proves nothing: the way may be cut.
func (l *List) ConfirmDead(ctx context.Context, m Member, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := l.Dial(ctx, "tcp", m.Addr.String())
	if err == nil {
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(timeout / 2)) // closed already if it fails
		_, err = c.Read(make([]byte, 1))
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// delegate is a List in memberlist's terms.
type delegate List

func (d *delegate) NodeMeta(limit int) []byte {
	l := (*List)(d)
	l.mu.Lock()
	meta := l.cfg.Meta
	meta.Phase = l.phase
	l.mu.Unlock()
	data, err := cbor.Marshal(meta)
	if err != nil || len(data) > limit {
		return nil
	}
	return data
}

func (d *delegate) NotifyMsg(data []byte) { d.cfg.Merge(data) }

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	l := (*List)(d)
	l.mu.Lock()
	n := len(l.members)
	l.mu.Unlock()
	if n < 2 {
		return nil // nobody would hear it
	}
	if data := d.cfg.NextMessage(min(maxGossipBytes, limit-overhead), n); data != nil {
		return [][]byte{data}
	}
	return nil
}

func (d *delegate) AckPayload() []byte { return nil }
func (d *delegate) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, _ []byte) {
	d.cfg.ObserveRTT(n.Name, rtt)
}

func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}

func (l *List) memberOf(n *memberlist.Node) (Member, bool) {
	m := Member{Name: n.Name, JoinedAt: time.Now()}
	ip, ok := netip.AddrFromSlice(n.Addr)
	if !ok {
		return m, false
	}
	m.Addr = netip.AddrPortFrom(ip.Unmap(), n.Port)
	if cbor.Unmarshal(n.Meta, &m.Meta) != nil {
		m.Meta = Meta{} // of a form that is not known here: it is there all the same
	}
	return m, true
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	l := (*List)(d)
	m, ok := l.memberOf(n)
	if !ok {
		return
	}
	l.mu.Lock()
	l.putLocked(&m)
	if m.Name != l.cfg.Name {
		l.peersMet++
	}
	l.mu.Unlock()
	l.cfg.Changed()
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	l := (*List)(d)
	m, ok := l.memberOf(n)
	if !ok {
		return
	}
	l.mu.Lock()
	if i, known := findMember(l.members, m.Name); known && l.members[i].Incarnation == m.Incarnation {
		m.JoinedAt = l.members[i].JoinedAt
	}
	l.putLocked(&m)
	l.mu.Unlock()
	l.cfg.Changed()
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	l := (*List)(d)
	l.mu.Lock()
	if i, known := findMember(l.members, n.Name); known && n.Name != l.cfg.Name {
		if n.State != memberlist.StateLeft {
			l.failed[n.Name] = *l.members[i]
		}
		l.members = slices.Delete(l.members, i, i+1)
		l.view = nil
	}
	l.mu.Unlock()
	l.cfg.Changed()
}

// NotifyConflict has the one of two processes with one name leave that started later. Clocks may say otherwise, and the
// other may not hear of it: who hears of it again and again leaves, too.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	l := (*List)(d)
	if existing.Name != l.cfg.Name {
		return
	}
	m, ok := l.memberOf(other)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conflictCount++; !ok || l.leaving || l.cfg.Meta.Incarnation < m.Incarnation && l.conflictCount < maxConflicts {
		return
	}
	l.leaving = true
	close(l.leave)
}

const maxConflicts = 5

// logWriter has memberlist's log go where ours goes. What it warns of is its daily work.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug("memberlist", "line", string(bytes.TrimSpace(p)))
	return len(p), nil
}

// Abort closes the sockets without a word, as a kill would.
func (l *List) Abort() error { return l.transport.Shutdown() }
