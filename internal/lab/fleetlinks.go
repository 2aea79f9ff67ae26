package lab

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"brookferry/internal/lab/link"
)

// fleetPort is where agents hear their fleet, and where the lab hears for them.
const fleetPort = 7947

// fleetLinks carry what agents of a fleet tell each other, UDP and TCP, by way of the lab: to reach agent k is to reach
// k's link, which knows the caller by its address. So the network's rules hold between processes that know nothing of it.
type fleetLinks struct {
	lab  *Lab
	udp  []*net.UDPConn
	tcp  []*net.TCPListener
	mine map[netip.Addr]*agent // by the address that its process calls from

	mu    sync.Mutex
	bytes int // told between agents
	conns map[net.Conn]bool
	took  map[wayKey][]time.Duration // what datagrams took here, at most mostTook
}

// wayKey names datagrams from one zone to another in a second of the run.
type wayKey struct{ from, to, second int }

const mostTook = 300

func newFleetLinks(l *Lab) (*fleetLinks, error) {
	f := &fleetLinks{lab: l, mine: map[netip.Addr]*agent{}, conns: map[net.Conn]bool{}, took: map[wayKey][]time.Duration{}}
	for _, a := range l.agents {
		f.mine[netip.MustParseAddr(l.block.agent(a.n))] = a
		ip := net.ParseIP(l.block.world(a.n))
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: fleetPort})
		if err != nil {
			return nil, err
		}
		_ = u.SetReadBuffer(1 << 20) // as large as the system allows
		f.udp = append(f.udp, u)
		t, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip, Port: fleetPort})
		if err != nil {
			return nil, err
		}
		f.tcp = append(f.tcp, t)
	}
	for _, a := range l.agents {
		l.running.Go(func() { f.carryDatagrams(a) })
		l.running.Go(func() { f.carryStreams(a) })
	}
	return f, nil
}

func (f *fleetLinks) close() {
	for i := range f.udp {
		f.udp[i].Close()
	}
	for i := range f.tcp {
		f.tcp[i].Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Close()
	}
}

// fleetAddr is where an agent's process hears its fleet, and fleetLink where the others reach it.
func (l *Lab) fleetAddr(n int) string { return fmt.Sprintf("%s:%d", l.block.agent(n), fleetPort) }
func (l *Lab) fleetLink(n int) string { return fmt.Sprintf("%s:%d", l.block.world(n), fleetPort) }

func (f *fleetLinks) carryDatagrams(to *agent) {
	l := f.lab
	target := netip.AddrPortFrom(netip.MustParseAddr(l.block.agent(to.n)), fleetPort)
	buf := make([]byte, 64<<10)
	for n := 0; ; n++ {
		size, addr, err := f.udp[to.n].ReadFromUDPAddrPort(buf)
		came := time.Now()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a datagram to a process that has ended
		}
		from := f.mine[addr.Addr().Unmap()]
		if from == nil {
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		f.mu.Lock()
		f.bytes += size
		f.mu.Unlock()
		l.mu.Lock()
		now := l.now()
		for _, d := range l.net.Way(party(link.Member, from.n), party(link.Member, to.n), link.UDP, fmt.Sprintf("fleet/%d/%d/%d", from.n, to.n, n)) {
			l.at(now+d, func(time.Duration) {
				_, _ = f.udp[from.n].WriteToUDPAddrPort(data, target) // a receiver that is gone misses it
				f.note(wayKey{l.zone(party(link.Member, from.n)), l.zone(party(link.Member, to.n)), int(now / time.Second)}, time.Since(came))
			})
		}
		l.mu.Unlock()
	}
}

// note keeps what a datagram really took: the lab's own lateness is part of the way.
func (f *fleetLinks) note(k wayKey, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.took[k]) < mostTook {
		f.took[k] = append(f.took[k], took)
	}
}

// oneWay is the lower quartile of what datagrams took from one zone to another in the two seconds before a time; false: too
// few were on the way.
func (f *fleetLinks) oneWay(from, to int, at time.Duration) (time.Duration, bool) {
	second := int(at / time.Second)
	f.mu.Lock()
	list := slices.Concat(f.took[wayKey{from, to, second - 1}], f.took[wayKey{from, to, second - 2}])
	f.mu.Unlock()
	if len(list) < 20 {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/4], true
}

func (f *fleetLinks) carryStreams(to *agent) {
	l := f.lab
	for {
		c, err := f.tcp[to.n].AcceptTCP()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := f.mine[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if from == nil {
			c.Close()
			continue
		}
		l.running.Go(func() { f.carryStream(c, from, to) })
	}
}

func (f *fleetLinks) track(c net.Conn, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.conns[c] = true
	} else {
		delete(f.conns, c)
	}
}

// fault is what the network does to the way from one agent to another now, and how long it takes.
func (f *fleetLinks) fault(from, to *agent) (link.Fault, time.Duration) {
	f.lab.mu.Lock()
	defer f.lab.mu.Unlock()
	me, it := party(link.Member, from.n), party(link.Member, to.n)
	x := f.lab.net.Fault(me, it, link.TCP)
	return x, f.lab.way(me, it) + x.Delay
}

// carryStream carries one connection. Beyond a cut it hangs, as the opening segment would; where the other process is
// gone its machine refuses, which a connection that was taken shows as a reset.
func (f *fleetLinks) carryStream(c *net.TCPConn, from, to *agent) {
	f.track(c, true)
	defer f.track(c, false)
	defer c.Close()
	for {
		there, _ := f.fault(from, to)
		back, _ := f.fault(to, from)
		if !there.Cut && !back.Cut {
			break
		}
		if !f.wait(50 * time.Millisecond) {
			return
		}
	}
	d, err := net.DialTimeout("tcp4", f.lab.fleetAddr(to.n), time.Second)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			reset(c)
		}
		return
	}
	f.track(d, true)
	defer f.track(d, false)
	defer d.Close()
	var both sync.WaitGroup
	both.Go(func() { f.copy(d, c, from, to) })
	both.Go(func() { f.copy(c, d, to, from) })
	both.Wait()
}

// copy carries one direction. What a cut meets waits until it is over, as TCP sends again.
func (f *fleetLinks) copy(out, in net.Conn, from, to *agent) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			x, way := f.fault(from, to)
			for x.Cut {
				if !f.wait(50 * time.Millisecond) {
					return
				}
				x, way = f.fault(from, to)
			}
			if !f.wait(way) {
				return
			}
			f.mu.Lock()
			f.bytes += n
			f.mu.Unlock()
			if _, err := out.Write(buf[:n]); err != nil {
				in.Close()
				return
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				reset(out)
			} else if t, ok := out.(*net.TCPConn); ok {
				_ = t.CloseWrite() // closed already if it fails
			}
			return
		}
	}
}

// wait reports false once the lab ends.
func (f *fleetLinks) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.lab.ctx.Done():
		return false
	}
}
