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

// What goes towards backends that cannot be reached. Over a connection that stands an attempt is read, and waits in
// the lab. A connection that does not come up shows nowhere but in the kernel's table of sockets, as an opening
// segment without an answer.

const openingInterval = 100 * time.Millisecond // shorter than any connect time-out that the lab sets

// unreachable reports whether a backend can't be reached by an agent, or can't answer it. The lock is held.
func (l *Lab) unreachable(agent int, h *host) bool {
	me := endpointOf(netfault.Agent, agent)
	return h.machine.State == model.Silent || l.network.Fault(me, h.endpoint(), netfault.TCP).Cut || l.network.Fault(h.endpoint(), me, netfault.TCP).Cut
}

// zoneFault reports whether a fault keeps agents from whole zones for a while.
func zoneFault(f *scenario.Fault) bool {
	return f.Duration > 0 && (f.Kind == scenario.ZoneLost || f.Kind == scenario.ZoneCut || f.Kind == scenario.ZoneReceiveCut)
}

// watchOpenings counts connections that don't come up, for as long as a fault keeps zones apart. The lock is held.
func (l *Lab) watchOpenings(f *scenario.Fault, now time.Duration) {
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
		tick := time.NewTicker(openingInterval)
		defer tick.Stop()
		var before map[opening]bool
		for {
			select {
			case <-tick.C:
			case <-l.ctx.Done():
				return
			}
			table, err := os.ReadFile("/proc/self/net/tcp")
			list := openings(table) // before the lock: a machine may have many thousands of sockets
			l.mu.Lock()
			if err != nil {
				l.fail(err)
			}
			now := l.now()
			before = l.countOpenings(now, list, before)
			if l.watching = now < l.watchUntil && err == nil; !l.watching {
				l.mu.Unlock()
				return
			}
			l.mu.Unlock()
		}
	})
}

// opening is a connection that waits for the first answer.
type opening struct{ from, to netip.AddrPort }

// openings reads those of the kernel's table.
func openings(table []byte) (list []opening) {
	// Most lines are of sockets that wait for their last segments: they are told by the state, at its place, without a look at the rest.
	const synSent, state = "02", len("0100007F:1F90 00000000:0000 ")
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		_, rest, _ := bytes.Cut(lines.Bytes(), []byte(": "))
		if len(rest) < state+len(synSent) || string(rest[state:state+len(synSent)]) != synSent {
			continue
		}
		fields := bytes.Fields(lines.Bytes())
		from, ok := kernelAddress(fields[1])
		to, also := kernelAddress(fields[2])
		if ok && also {
			list = append(list, opening{from, to})
		}
	}
	return list
}

// kernelAddress reads an IPv4 address as the table has it: the address as a number of the machine's own byte order,
// the port as it is written.
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

// countOpenings counts the connections begun towards backends that can't be reached since the look before. One at a
// time for each agent and zone may be a probe, which nothing tells apart from outside: it is left out. The lock is
// held.
func (l *Lab) countOpenings(now time.Duration, list []opening, before map[opening]bool) map[opening]bool {
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
	open, fresh, still := map[group]int{}, map[group]int{}, map[opening]bool{}
	for _, o := range list {
		w, ok := l.backendAddrs[o.to]
		if !ok || !l.unreachable(w.agent, w.host) {
			continue
		}
		g := group{w.agent, w.host.machine.Zone}
		still[o] = true
		open[g]++
		if !before[o] {
			fresh[g]++
		}
	}
	for g, n := range fresh {
		for range min(n, open[g]-1) {
			l.tally.CountFirstAttempt(now, true)
		}
	}
	return still
}

// backendAddr is an agent's address of a backend.
type backendAddr struct {
	agent int
	host  *host
}

// avoidedAfter is the longest time from the begin of a fault between zones until attempts towards what can't be
// reached stayed under 1% of all, in seconds; nil without such a fault, -1 where they never did.
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

// usedCapacity is the share of the capacity of the backends that are up, at this moment, that is at work. The lock is held.
func (l *Lab) usedCapacity(now time.Duration) float64 {
	work, all := 0.0, 0.0
	for _, h := range l.hosts {
		if h.machine.State == model.Up && !h.ended {
			p := h.machine.PresentCapacity(now)
			all += p
			work += p * h.machine.Load().Util
		}
	}
	return share(work, all)
}
