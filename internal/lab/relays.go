package lab

import (
	"fmt"
	"net"
	"time"

	"martenbeam/internal/lab/netfault"
)

const mostDatagram = 2048

// relays carry what agents tell each other. To tell agent k is to send to k's relay, which knows the sender by
// its address; k hears it from the sender's own relay. So every agent has one address, the same for all.
func (l *Lab) relays() error {
	for _, a := range l.agents {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(l.block.world(a.n))})
		if err != nil {
			return err
		}
		a.relay = c
	}
	byAddr := map[string]*agent{}
	for _, a := range l.agents {
		byAddr[a.peerListen] = a
	}
	for _, to := range l.agents {
		l.running.Go(func() { l.relay(to, byAddr) })
	}
	return nil
}

func (l *Lab) relay(to *agent, byAddr map[string]*agent) {
	target, err := net.ResolveUDPAddr("udp4", to.peerListen)
	if err != nil {
		return
	}
	buf := make([]byte, mostDatagram)
	for n := 0; ; n++ {
		size, addr, err := to.relay.ReadFromUDP(buf)
		if err != nil {
			if l.ctx.Err() != nil {
				return
			}
			continue // a datagram to a process that has ended
		}
		from := byAddr[addr.String()]
		if from == nil {
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		l.mu.Lock()
		now := l.now()
		l.datagrams++
		for _, d := range l.net.Arrivals(party(netfault.Agent, from.n), party(netfault.Agent, to.n), netfault.UDP, fmt.Sprintf("%d/%d/%d", from.n, to.n, n)) {
			l.at(now+d, func(time.Duration) {
				_, _ = from.relay.WriteToUDP(data, target) // a receiver that is gone misses it
			})
		}
		l.mu.Unlock()
	}
}
