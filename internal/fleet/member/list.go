package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

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

// Abort closes the sockets without a word, as a kill would.
func (l *List) Abort() error { return l.transport.Shutdown() }
