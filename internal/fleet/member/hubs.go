package member

import (
	"net/netip"
)

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
