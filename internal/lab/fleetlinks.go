package lab

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"martenbeam/internal/lab/netfault"
)

// fleetPort is the port of agents and hubs for their fleet, and of the lab's links to them.
const fleetPort = 7947

// fleetLinks relays the UDP and TCP traffic of a fleet. Other processes reach a process through its link, which identifies them
// by their source address. So the faults of the network apply to processes that are not aware of the lab.
type fleetLinks struct {
	lab           *Lab
	endpoints     []*fleetEndpoint
	byProcessAddr map[netip.Addr]*fleetEndpoint // by the address of the process

	mu           sync.Mutex
	bytes        int // sent or received by agents
	hubBytes     int // sent or received by hubs; traffic between two hubs counts twice
	conns        map[net.Conn]bool
	transitTimes map[transitKey][]time.Duration // of datagrams through the lab, at most maxTransitTimes for each key
}

// fleetEndpoint is a process of the fleet and its link.
type fleetEndpoint struct {
	netfault.Endpoint
	name        string // part of the names of random streams
	processAddr netip.AddrPort
	udp         *net.UDPConn
	tcp         *net.TCPListener
}

// transitKey identifies the datagrams between two zones in one second of the run.
type transitKey struct{ from, to, second int }

const maxTransitTimes = 300

func newFleetLinks(l *Lab) (*fleetLinks, error) {
	f := &fleetLinks{lab: l, byProcessAddr: map[netip.Addr]*fleetEndpoint{}, conns: map[net.Conn]bool{}, transitTimes: map[transitKey][]time.Duration{}}
	for _, a := range l.agents {
		if err := f.listen(endpointOf(netfault.Member, a.number), fmt.Sprint(a.number), l.block.agentAddr(a.number), l.block.linkAddr(a.number)); err != nil {
			return nil, err
		}
	}
	for _, h := range l.hubs {
		if err := f.listen(endpointOf(netfault.Hub, h.number), h.name, l.block.hubAddr(h.number), l.block.hubLinkAddr(h.number)); err != nil {
			return nil, err
		}
	}
	for _, e := range f.endpoints {
		l.running.Go(func() { f.relayDatagrams(e) })
		l.running.Go(func() { f.relayStreams(e) })
	}
	return f, nil
}

// listen opens the link of a process. The process listens on listenIP, and others reach it at linkIP.
func (f *fleetLinks) listen(p netfault.Endpoint, name, listenIP, linkIP string) error {
	processIP, ip := netip.MustParseAddr(listenIP), net.ParseIP(linkIP)
	u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: fleetPort})
	if err != nil {
		return err
	}
	_ = u.SetReadBuffer(1 << 20) // the system may allow less
	e := &fleetEndpoint{Endpoint: p, name: name, processAddr: netip.AddrPortFrom(processIP, fleetPort), udp: u}
	f.endpoints, f.byProcessAddr[processIP] = append(f.endpoints, e), e
	e.tcp, err = net.ListenTCP("tcp4", &net.TCPAddr{IP: ip, Port: fleetPort})
	return err
}

func (f *fleetLinks) close() {
	for _, e := range f.endpoints {
		e.udp.Close()
		if e.tcp != nil {
			e.tcp.Close()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.Close()
	}
}

// countBytes counts n bytes of traffic between two processes.
func (f *fleetLinks) countBytes(from, to *fleetEndpoint, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Role == netfault.Member || to.Role == netfault.Member {
		f.bytes += n
	}
	for _, e := range []*fleetEndpoint{from, to} {
		if e.Role == netfault.Hub {
			f.hubBytes += n
		}
	}
}

// fleetAddr returns the fleet address on which agent n listens. fleetLink returns the address at which others reach the agent.
func (l *Lab) fleetAddr(n int) string { return fmt.Sprintf("%s:%d", l.block.agentAddr(n), fleetPort) }
func (l *Lab) fleetLink(n int) string { return fmt.Sprintf("%s:%d", l.block.linkAddr(n), fleetPort) }

func (f *fleetLinks) relayDatagrams(to *fleetEndpoint) {
	l := f.lab
	buf := make([]byte, 64<<10)
	for n := 0; ; n++ {
		size, addr, err := to.udp.ReadFromUDPAddrPort(buf)
		receivedAt := time.Now()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a datagram to a process that has ended
		}
		from := f.byProcessAddr[addr.Addr().Unmap()]
		if from == nil {
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		f.countBytes(from, to, size)
		l.mu.Lock()
		now := l.now()
		for _, delay := range l.network.Arrivals(from.Endpoint, to.Endpoint, netfault.UDP, fmt.Sprintf("fleet/%s/%s/%d", from.name, to.name, n)) {
			l.scheduleAt(now+delay, func(time.Duration) {
				_, _ = from.udp.WriteToUDPAddrPort(data, to.processAddr) // lost if the receiver has ended
				f.recordTransit(transitKey{l.zone(from.Endpoint), l.zone(to.Endpoint), int(now / time.Second)}, time.Since(receivedAt))
			})
		}
		l.mu.Unlock()
	}
}

// recordTransit records the transit time of a datagram, including the lateness of the lab.
func (f *fleetLinks) recordTransit(k transitKey, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.transitTimes[k]) < maxTransitTimes {
		f.transitTimes[k] = append(f.transitTimes[k], took)
	}
}

// recentTransit returns the lower quartile of the transit times between two zones in the two full seconds before a time. It
// reports false if there are too few transit times.
func (f *fleetLinks) recentTransit(from, to int, at time.Duration) (time.Duration, bool) {
	second := int(at / time.Second)
	f.mu.Lock()
	list := slices.Concat(f.transitTimes[transitKey{from, to, second - 1}], f.transitTimes[transitKey{from, to, second - 2}])
	f.mu.Unlock()
	minCount := 20
	if len(f.lab.hubs) > 0 { // only hubs send datagrams
		minCount = 6
	}
	if len(list) < minCount {
		return 0, false
	}
	slices.Sort(list)
	return list[len(list)/4], true
}

func (f *fleetLinks) relayStreams(to *fleetEndpoint) {
	l := f.lab
	for {
		c, err := to.tcp.AcceptTCP()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := f.byProcessAddr[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if from == nil {
			c.Close()
			continue
		}
		l.running.Go(func() { f.relayStream(c, from, to) })
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

// linkState returns the current fault and the current latency from one process to another.
func (f *fleetLinks) linkState(from, to *fleetEndpoint) (netfault.Fault, time.Duration) {
	f.lab.mu.Lock()
	defer f.lab.mu.Unlock()
	fault := f.lab.network.Fault(from.Endpoint, to.Endpoint, netfault.TCP)
	return fault, f.lab.baseLatency(from.Endpoint, to.Endpoint) + fault.Delay
}

// relayStream relays one TCP connection. During a partition the connection hangs, as if its SYN were lost. If the other process
// has ended, relayStream resets the connection, since the lab has already accepted the connection and can no longer refuse it.
func (f *fleetLinks) relayStream(c *net.TCPConn, from, to *fleetEndpoint) {
	f.track(c, true)
	defer f.track(c, false)
	defer c.Close()
	for {
		forward, _ := f.linkState(from, to)
		backward, _ := f.linkState(to, from)
		if !forward.Cut && !backward.Cut {
			break
		}
		if !f.wait(50 * time.Millisecond) {
			return
		}
	}
	out, err := net.DialTimeout("tcp4", to.processAddr.String(), time.Second)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			reset(c)
		}
		return
	}
	f.track(out, true)
	defer f.track(out, false)
	defer out.Close()
	var both sync.WaitGroup
	var ended atomic.Int32 // directions that have ended
	both.Go(func() { f.copy(out, c, from, to, &ended) })
	both.Go(func() { f.copy(c, out, to, from, &ended) })
	both.Wait()
}

// copy relays one direction. During a partition, copy delays data until the partition heals, as TCP would retransmit the data.
// It delays the end of the direction likewise, unless both directions have ended.
func (f *fleetLinks) copy(out, in net.Conn, from, to *fleetEndpoint, ended *atomic.Int32) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			fault, latency := f.linkState(from, to)
			for fault.Cut {
				if !f.wait(50 * time.Millisecond) {
					return
				}
				fault, latency = f.linkState(from, to)
			}
			if !f.wait(latency) {
				return
			}
			f.countBytes(from, to, n)
			if _, err := out.Write(buf[:n]); err != nil {
				in.Close()
				return
			}
		}
		if err != nil {
			ended.Add(1)
			for fault, _ := f.linkState(from, to); fault.Cut && ended.Load() < 2; fault, _ = f.linkState(from, to) {
				if !f.wait(50 * time.Millisecond) {
					return
				}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				reset(out)
			} else if t, ok := out.(*net.TCPConn); ok {
				_ = t.CloseWrite() // fails only on a closed connection
			}
			return
		}
	}
}

// wait waits for d. It reports false if the lab ends first.
func (f *fleetLinks) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.lab.ctx.Done():
		return false
	}
}
