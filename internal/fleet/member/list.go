package member

// This file maintains the list of members and returns views of it.

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

// Config configures a List. The functions are called from memberlist's and the transport's goroutines, several at a time,
// and none of them may block except ServeConn.
type Config struct {
	Name         string         // unique in the fleet
	Listen       netip.AddrPort // UDP and TCP
	Advertise    netip.AddrPort // address at which others reach this process; zero: Listen
	Seeds        []string       // addresses of other members
	Label        string         // fleets with different labels do not mix
	MaxMembers   int            // greatest number of members that the fleet may have
	AwaitAddress bool           // if Listen is in use by this agent's predecessor, Run waits until it is free
	Meta         Meta
	Log          *slog.Logger

	Merge       func(data []byte)                  // receives a gossip message from another member
	NextMessage func(limit, members int) []byte    // returns a gossip message of at most limit bytes; nil: none
	ObserveRTT  func(name string, d time.Duration) // receives a measured round trip to another member
	Changed     func()                             // the list has changed
	// HandleProbe receives a datagram of the latency prober and the time at which it was read. It must not retain data. It
	// may be nil if no other member sends probes.
	HandleProbe func(data []byte, from netip.AddrPort, receivedAt time.Time)
	// ServeConn takes over a connection that starts with an HTTP request. nil: such connections are closed.
	ServeConn func(net.Conn)

	Listener *net.TCPListener // a socket that is bound to Listen already, which the list closes; nil: one is opened
	Wire     Wire             // nil: sockets are used directly
}

// List is the list of the fleet's members, which always includes this process. Its methods may be called from any goroutine.
type List struct {
	cfg       Config
	transport *transport
	leave     chan struct{} // closed when this process has to leave because of a name conflict

	mu            sync.Mutex             // protects all below
	memberlist    *memberlist.Memberlist // nil before Run
	members       []*Member              // sorted by name; the Members they point to are never changed
	view          *View                  // of members; nil: members have changed since the last call of View
	failed        map[string]Member      // members that stopped responding without leaving, by name
	toCheck       []Member               // see FailedToCheck
	toCheckView   *View                  // the view for which toCheck was computed
	peerJoins     int
	phase         Phase
	leaving       bool // leave is closed
	conflictCount int  // reports of another process with the same name
}

// New opens the sockets. Nothing is sent before Run. If the address is in use it returns an error that wraps
// syscall.EADDRINUSE, unless AwaitAddress is set: Run then waits for the address. A List that is not run has to be closed by
// Abort.
func New(cfg Config) (*List, error) {
	t := newTransport(cfg.Listen, cfg.Advertise)
	t.tcp = cfg.Listener
	if err := t.bind(); err != nil && !(cfg.AwaitAddress && errors.Is(err, syscall.EADDRINUSE)) {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	t.handleProbe, t.serveConn, t.wire = cfg.HandleProbe, cfg.ServeConn, cfg.Wire
	self := &Member{Name: cfg.Name, Addr: t.advertise, Meta: cfg.Meta}
	return &List{cfg: cfg, transport: t, leave: make(chan struct{}), members: []*Member{self}, failed: map[string]Member{},
		phase: cfg.Meta.Phase}, nil
}

// Addr returns the address at which others reach this member.
func (l *List) Addr() netip.AddrPort { return l.transport.advertise }

// SendProbe sends a datagram of the latency prober to another member and returns the time at which it was sent. It returns
// an error while this agent's predecessor still uses the address.
func (l *List) SendProbe(data []byte, to netip.AddrPort) (time.Time, error) {
	return l.transport.WriteTo(data, to.String())
}

// Dial opens a TCP connection to another member, from this member's IP address.
func (l *List) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return l.transport.dial(ctx, &l.transport.dialer, addr)
}

// View returns the current members, this one included. View returns the same pointer until the list changes. The first
// call after a change builds a new View, so that many changes at once build only one.
func (l *List) View() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.viewLocked()
}

// viewLocked is View for callers that hold the lock.
func (l *List) viewLocked() *View {
	if l.view == nil {
		l.view = newView(slices.Clone(l.members))
	}
	return l.view
}

// putLocked inserts or replaces a member, which must not be changed afterwards. The caller holds the lock.
func (l *List) putLocked(m *Member) {
	if m.Name == l.cfg.Name {
		m.Phase = l.phase // memberlist may still have an older phase
	}
	if i, found := findMember(l.members, m.Name); found {
		l.members[i] = m
	} else {
		l.members = slices.Insert(l.members, i, m)
	}
	delete(l.failed, m.Name)
	l.view = nil
}

// Count returns the number of members, this one included, without building a View.
func (l *List) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// PeerJoins returns how many times another member has joined the list since the start. 0 means that there has never been
// another member.
func (l *List) PeerJoins() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerJoins
}

// SetPhase sets this process's phase and publishes it. It does not wait until others have received it.
func (l *List) SetPhase(phase Phase) {
	l.mu.Lock()
	memberlist, unchanged := l.memberlist, l.phase == phase
	l.phase = phase
	if i, found := findMember(l.members, l.cfg.Name); found && !unchanged {
		self := *l.members[i]
		l.putLocked(&self)
	}
	l.mu.Unlock()
	if memberlist != nil && !unchanged {
		// Run does not wait for this goroutine, which ends within 2 s. If the update fails, others receive the phase in the
		// next exchange of states.
		go func() { _ = memberlist.UpdateNode(2 * time.Second) }()
	}
}

// Abort closes the sockets without leaving the fleet, as if the process were killed. If Run was called, its context must
// still be cancelled.
func (l *List) Abort() error { return l.transport.Shutdown() }
