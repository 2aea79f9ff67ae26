package member

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// MissingHubs are the hubs that are not there and may be: who failed without a goodbye, and seeds that nobody here has met,
// which have no name. They may be alive beyond a cut, with agents of their own.
func (l *List) MissingHubs() (list []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[netip.AddrPort]bool{l.transport.advertise: true}
	for _, m := range l.members {
		known[m.Addr] = true
	}
	for _, m := range l.failed {
		if m.Hub && !known[m.Addr] {
			list = append(list, m)
		}
		known[m.Addr] = true
	}
	for _, s := range l.cfg.Seeds {
		if addr, err := netip.ParseAddrPort(s); err == nil && !known[addr] {
			list = append(list, Member{Addr: addr})
		}
	}
	return list
}

// WasHub reports whether a name is of a hub that failed without a goodbye.
func (l *List) WasHub(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed[name].Hub
}
