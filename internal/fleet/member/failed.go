package member

// This file determines which failed members are dead, and which member has to check which.

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

// FailedToCheck returns the failed members that this process has to check with ConfirmDead, sorted by name. For each failed
// member a few checkers are chosen by rendezvous hashing, so that members with the same view choose the same ones.
func (l *List) FailedToCheck(checkers int) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.viewLocked()
	if l.toCheckView == view { // a member that fails or returns changes the view
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

// rank returns how many members precede the named one in the rendezvous order for a subject.
func rank(subject, name string, view *View) (n int) {
	score := RendezvousScore(subject, name)
	for m := range view.All() {
		if m.Name != name && RendezvousScore(subject, m.Name) < score {
			n++
		}
	}
	return n
}

// RendezvousScore returns the hash by which members are ordered for a subject. The members with the lowest scores are
// chosen; all members compute the same scores.
func RendezvousScore(subject, name string) uint64 { return xxhash.Sum64String(subject + "\x00" + name) }

// ConfirmDead reports whether a member's process has ended for certain: its machine refuses a connection or resets it. A
// timeout proves nothing, because the network may be partitioned. ConfirmDead waits for up to timeout.
func (l *List) ConfirmDead(ctx context.Context, m Member, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := l.Dial(ctx, "tcp", m.Addr.String())
	if err == nil {
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(timeout / 2)) // fails only on a closed connection, where Read fails too
		_, err = c.Read(make([]byte, 1))
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// MissingHubs returns the hubs that are not in the list but may still run behind a network partition, with agents attached:
// hubs that failed, and seeds whose address belongs to no current or failed member. A seed has an address and no name.
func (l *List) MissingHubs() (list []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	knownAddrs := map[netip.AddrPort]bool{l.transport.advertise: true}
	for _, m := range l.members {
		knownAddrs[m.Addr] = true
	}
	for _, m := range l.failed {
		if m.Hub && !knownAddrs[m.Addr] {
			list = append(list, m)
		}
		knownAddrs[m.Addr] = true
	}
	for _, s := range l.cfg.Seeds {
		if addr, err := netip.ParseAddrPort(s); err == nil && !knownAddrs[addr] {
			list = append(list, Member{Addr: addr})
		}
	}
	return list
}

// IsFailedHub reports whether a name belongs to a hub that failed.
func (l *List) IsFailedHub(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed[name].Hub
}
