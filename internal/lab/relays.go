package lab

import (
	"fmt"
	"net"
	"time"

	"martenbeam/internal/lab/netfault"
)

const maxDatagramBytes = 2048

// openRelays starts the relays of datagrams between agents. Agents send a datagram for agent k to the relay of k. The relay
// identifies the sender by its address, and k receives the datagram from the sender's relay. So all agents have the same
// address for a peer.
func (l *Lab) openRelays() error {
	for _, a := range l.agents {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(l.block.linkAddr(a.number))})
		if err != nil {
			return err
		}
		a.relay = c
	}
	byAddr := map[string]*agent{}
	for _, a := range l.agents {
		byAddr[a.peerAddr] = a
	}
	for _, to := range l.agents {
		l.running.Go(func() { l.relayDatagrams(to, byAddr) })
	}
	return nil
}

func (l *Lab) relayDatagrams(to *agent, byAddr map[string]*agent) {
	target, err := net.ResolveUDPAddr("udp4", to.peerAddr)
	if err != nil {
		return
	}
	buf := make([]byte, maxDatagramBytes)
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
		for _, delay := range l.network.Arrivals(endpointOf(netfault.Agent, from.number), endpointOf(netfault.Agent, to.number), netfault.UDP, fmt.Sprintf("%d/%d/%d", from.number, to.number, n)) {
			l.scheduleAt(now+delay, func(time.Duration) {
				_, _ = from.relay.WriteToUDP(data, target) // lost if the receiver has ended
			})
		}
		l.mu.Unlock()
	}
}
