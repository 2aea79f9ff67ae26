package agent

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

const maxDatagram = 256 // the protocol's limit; a longer one is not sent

// peerTransport exchanges datagrams with the other agents of the tier.
type peerTransport struct {
	conn        *net.UDPConn // nil while the address can't be had
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

// bindInterval is how often, while an older process holds the address.
const bindInterval = 50 * time.Millisecond

// readRetryDelay is how long nothing is read after a read that failed.
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
	if cfg.ListenFD > 0 { // an older process may hold it: bind waits, and clients are served meanwhile
		return p, nil
	}
	if p.conn, err = listener.Retry(ctx, nil, func() (*net.UDPConn, error) { return net.ListenUDP("udp", p.localAddr) }); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// bind waits for the address. It reports false once ctx ends.
func (p *peerTransport) bind(ctx context.Context) bool {
	tick := time.NewTicker(bindInterval)
	defer tick.Stop()
	for p.conn == nil {
		if ctx.Err() != nil {
			return false
		}
		if c, err := net.ListenUDP("udp", p.localAddr); err == nil {
			p.conn = c
			p.log.Info("peers are heard")
			break
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return true
}

// send queues a message. Datagrams may be lost, so one that finds the queue full is.
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

// run sends and receives until ctx ends.
func (p *peerTransport) run(ctx context.Context, post func(any)) {
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
		if err != nil { // an earlier datagram's ICMP error, or a shortage: the socket itself is fine
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
