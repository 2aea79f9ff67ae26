package agent

// Datagrams between agents, which carry the gossip of the balancer.

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/listener"
)

const maxDatagram = 256 // bytes, the protocol's limit; a longer message is not sent

// peerTransport exchanges datagrams with the other agents of the tier.
type peerTransport struct {
	conn        *net.UDPConn // nil until bind has succeeded; used by run alone
	localAddr   *net.UDPAddr
	addrs       []netip.AddrPort
	agentByAddr map[netip.AddrPort]int
	sendQueue   chan datagram
	log         *slog.Logger
}

type datagram struct {
	to   int
	data []byte
}

// bindInterval is the pause between attempts to bind the address while an older process holds it.
const bindInterval = 50 * time.Millisecond

// readRetryDelay is the pause after a failed read.
const readRetryDelay = time.Millisecond

func newPeerTransport(ctx context.Context, cfg *Config, log *slog.Logger) (*peerTransport, error) {
	p := &peerTransport{agentByAddr: map[netip.AddrPort]int{}, sendQueue: make(chan datagram, 64), log: log}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.addrs = append(p.addrs, addr)
		p.agentByAddr[addr] = i
	}
	var err error
	if p.localAddr, err = net.ResolveUDPAddr("udp", cfg.PeerListen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.ListenFD > 0 { // an older process may hold the address: run waits for it while clients are served
		return p, nil
	}
	listen := func() (*net.UDPConn, error) { return net.ListenUDP("udp", p.localAddr) }
	if p.conn, err = listener.Retry(ctx, nil, listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// bind waits until the address can be bound. It returns false if ctx ends first.
func (p *peerTransport) bind(ctx context.Context) bool {
	tick := time.NewTicker(bindInterval)
	defer tick.Stop()
	for p.conn == nil {
		if ctx.Err() != nil {
			return false
		}
		if c, err := net.ListenUDP("udp", p.localAddr); err == nil {
			p.conn = c
			p.log.Info("peer address bound")
			break
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return true
}

// send queues a message. Datagrams may be lost anyway, so a message is dropped if the queue is full.
func (p *peerTransport) send(to int, data []byte) {
	if to < 0 || to >= len(p.addrs) || len(data) > maxDatagram {
		p.log.Error("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	select {
	case p.sendQueue <- datagram{to, data}:
	default:
	}
}

// run binds the address, then sends and receives until ctx ends.
func (p *peerTransport) run(ctx context.Context, post func(balancer.GossipReceived)) {
	if !p.bind(ctx) {
		return
	}
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go func() {
		for {
			select {
			case datagram := <-p.sendQueue:
				if _, err := p.conn.WriteToUDPAddrPort(datagram.data, p.addrs[datagram.to]); err != nil && ctx.Err() == nil {
					p.log.Debug("peer message lost", "to", datagram.to, "error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil { // the ICMP error of an earlier datagram, or a shortage: the socket itself is intact
			select {
			case <-time.After(readRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if sender, known := p.agentByAddr[from]; known && n <= maxDatagram {
			post(balancer.GossipReceived{From: sender, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
