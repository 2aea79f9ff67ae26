package lab

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// Attempts at unreachable backends. On an established connection the lab reads the attempt and queues it. A connection that is
// not established appears only in the kernel's table of sockets, in state SYN_SENT.

const pendingConnectionInterval = 100 * time.Millisecond // shorter than each connect timeout that the lab configures

// unreachable reports whether an agent cannot reach a backend, or the backend cannot answer. Lab.mu is held.
func (l *Lab) unreachable(agent int, h *host) bool {
	agentEnd := endpointOf(netfault.Agent, agent)
	return h.machine.State == model.Silent || l.network.Fault(agentEnd, h.endpoint(), netfault.TCP).Cut || l.network.Fault(h.endpoint(), agentEnd, netfault.TCP).Cut
}

// zoneFault reports whether a fault makes zones unreachable for a limited time.
func zoneFault(f *scenario.Fault) bool {
	return f.Duration > 0 && (f.Kind == scenario.ZoneLost || f.Kind == scenario.ZoneCut || f.Kind == scenario.ZoneReceiveCut)
}

// watchPendingConnections starts to count connections that cannot be established, until the end of a fault that makes zones
// unreachable. Lab.mu is held.
func (l *Lab) watchPendingConnections(f *scenario.Fault, now time.Duration) {
	if !zoneFault(f) {
		return
	}
	end := now + f.Duration.Duration()
	l.unreachableSpans = append(l.unreachableSpans, check.Span{From: now, To: end})
	if l.watchUntil = max(l.watchUntil, end); l.watching {
		return
	}
	l.watching = true
	l.running.Go(func() {
		tick := time.NewTicker(pendingConnectionInterval)
		defer tick.Stop()
		var previous map[pendingConnection]bool
		for {
			select {
			case <-tick.C:
			case <-l.ctx.Done():
				return
			}
			table, err := os.ReadFile("/proc/self/net/tcp")
			list := pendingConnections(table) // parsed before locking, since a machine may have many thousands of sockets
			l.mu.Lock()
			if err != nil {
				l.fail(err)
			}
			now := l.now()
			previous = l.countPendingConnections(now, list, previous)
			if l.watching = now < l.watchUntil && err == nil; !l.watching {
				l.mu.Unlock()
				return
			}
			l.mu.Unlock()
		}
	})
}

// pendingConnection is a connection in state SYN_SENT.
type pendingConnection struct{ from, to netip.AddrPort }

// pendingConnections returns the connections in state SYN_SENT of the kernel's table.
func pendingConnections(table []byte) (list []pendingConnection) {
	// Most sockets are in state TIME_WAIT, so the state, at its fixed position, is compared before the line is split.
	const synSent, state = "02", len("0100007F:1F90 00000000:0000 ")
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		_, rest, _ := bytes.Cut(lines.Bytes(), []byte(": "))
		if len(rest) < state+len(synSent) || string(rest[state:state+len(synSent)]) != synSent {
			continue
		}
		fields := bytes.Fields(lines.Bytes())
		from, fromOK := kernelAddress(fields[1])
		to, toOK := kernelAddress(fields[2])
		if fromOK && toOK {
			list = append(list, pendingConnection{from, to})
		}
	}
	return list
}

// kernelAddress parses an IPv4 address and port in the form of the kernel's table, which has the address in little-endian byte
// order.
func kernelAddress(text []byte) (a netip.AddrPort, ok bool) {
	ip, port, found := bytes.Cut(text, []byte(":"))
	var b [6]byte
	if !found || len(ip) != 8 || len(port) != 4 {
		return a, false
	}
	if _, err := hex.Decode(b[:4], ip); err != nil {
		return a, false
	}
	if _, err := hex.Decode(b[4:], port); err != nil {
		return a, false
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), uint16(b[4])<<8|uint16(b[5])), true
}

// countPendingConnections counts the connections to unreachable backends that are new since the previous call. It returns the
// connections in list that lead to unreachable backends. For each agent and zone, it does not count one of the open connections,
// which may be a health check: the table does not distinguish health checks from attempts. Lab.mu is held.
func (l *Lab) countPendingConnections(now time.Duration, list []pendingConnection, previous map[pendingConnection]bool) map[pendingConnection]bool {
	if l.backendAddrs == nil {
		l.backendAddrs = map[netip.AddrPort]backendAddr{}
	}
	for _, h := range l.hosts {
		for n := range h.gates {
			to, err := netip.ParseAddrPort(h.gates[n].Addr().String())
			if err == nil {
				l.backendAddrs[to] = backendAddr{n, h}
			}
		}
	}
	type group struct{ agent, zone int }
	open, added, current := map[group]int{}, map[group]int{}, map[pendingConnection]bool{}
	for _, conn := range list {
		backend, ok := l.backendAddrs[conn.to]
		if !ok || !l.unreachable(backend.agent, backend.host) {
			continue
		}
		g := group{backend.agent, backend.host.machine.Zone}
		current[conn] = true
		open[g]++
		if !previous[conn] {
			added[g]++
		}
	}
	for g, n := range added {
		for range min(n, open[g]-1) {
			l.tally.CountFirstAttempt(now, true)
		}
	}
	return current
}

// backendAddr identifies the listener of a backend for an agent.
type backendAddr struct {
	agent int
	host  *host
}

// avoidedAfter returns the longest time, in seconds, from the start of a fault that makes zones unreachable until fewer than 1%
// of first attempts went to unreachable backends. It returns nil if there was no fault of this kind, and -1 if the share of
// attempts never fell below 1%.
func (l *Lab) avoidedAfter() *float64 {
	var worst *float64
	for _, s := range l.unreachableSpans {
		after, ok := l.tally.AvoidedAfter(s, 0.01)
		x := after.Seconds()
		if !ok {
			x = -1
		}
		if worst == nil || *worst >= 0 && (x < 0 || x > *worst) {
			worst = &x
		}
	}
	return worst
}

// usedCapacity returns the share of the current capacity of all available backends that is in use. Lab.mu is held.
func (l *Lab) usedCapacity(now time.Duration) float64 {
	used, total := 0.0, 0.0
	for _, h := range l.hosts {
		if h.machine.State == model.Up && !h.ended {
			p := h.machine.PresentCapacity(now)
			total += p
			used += p * h.machine.Load().Util
		}
	}
	return share(used, total)
}
