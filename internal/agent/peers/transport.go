// Package peers exchanges the datagrams that carry the balancer's gossip between the agents of a tier. Datagrams may be lost.
// A datagram from an address that is not in Config.Addrs is ignored.
package peers

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

const maxDatagram = 256 // in bytes, the protocol's limit; longer messages are neither sent nor passed to receive

// Config is the configuration of a Transport.
type Config struct {
	Listen string   // UDP address of this agent
	Addrs  []string // UDP addresses of all agents, by agent number
	// AwaitAddr is set if an older process may still use the address. Run then binds the address once it is free. If
	// AwaitAddr is not set, New binds the address.
	AwaitAddr bool
}

// Transport sends and receives the datagrams of one agent.
type Transport struct {
	conn        *net.UDPConn // nil until New or bind has bound the address; after New, only Run uses it
	localAddr   *net.UDPAddr
	addrs       []netip.AddrPort
	agentByAddr map[netip.AddrPort]int
	sendQueue   chan datagram
	log         *slog.Logger
}

type datagram struct {
	to   int // agent number
	data []byte
}

// bindRetryInterval is the pause between attempts to bind the address while an older process uses it.
const bindRetryInterval = 50 * time.Millisecond

// readRetryDelay is the pause after a failed read.
const readRetryDelay = time.Millisecond

// New resolves the addresses, and binds this agent's address unless cfg.AwaitAddr is set. After transient errors, such as an
// address in use, New retries until ctx is done or listener.Retry times out. An error names the field of the agent's
// configuration.
func New(ctx context.Context, cfg Config, log *slog.Logger) (*Transport, error) {
	t := &Transport{agentByAddr: map[netip.AddrPort]int{}, sendQueue: make(chan datagram, 64), log: log}
	for i, text := range cfg.Addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		t.addrs = append(t.addrs, addr)
		t.agentByAddr[addr] = i
	}
	var err error
	if t.localAddr, err = net.ResolveUDPAddr("udp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.AwaitAddr {
		return t, nil
	}
	listen := func() (*net.UDPConn, error) { return net.ListenUDP("udp", t.localAddr) }
	if t.conn, err = listener.Retry(ctx, nil, listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return t, nil
}

// bind binds the address, and retries until that succeeds. It returns false if ctx is done first.
func (t *Transport) bind(ctx context.Context) bool {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for t.conn == nil {
		if ctx.Err() != nil {
			return false
		}
		if c, err := net.ListenUDP("udp", t.localAddr); err == nil {
			t.conn = c
			t.log.Info("peer address bound")
			break
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return true
}

// Send queues a message to the agent with the number to. If the queue is full, Send drops the message, because datagrams may
// be lost anyway.
func (t *Transport) Send(to int, data []byte) {
	if to < 0 || to >= len(t.addrs) || len(data) > maxDatagram {
		t.log.Error("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	select {
	case t.sendQueue <- datagram{to, data}:
	default:
	}
}

// Run binds the address if New has not bound it, and then sends and receives until ctx is done. It calls receive for each
// message of at most maxDatagram bytes from an address in Config.Addrs. It may be called only once.
func (t *Transport) Run(ctx context.Context, receive func(balancer.GossipReceived)) {
	if !t.bind(ctx) {
		return
	}
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer stop()
	go func() {
		for {
			select {
			case datagram := <-t.sendQueue:
				if _, err := t.conn.WriteToUDPAddrPort(datagram.data, t.addrs[datagram.to]); err != nil && ctx.Err() == nil {
					t.log.Debug("peer message lost", "to", datagram.to, "error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil { // an earlier datagram's ICMP error, or a resource shortage: the socket is still usable
			select {
			case <-time.After(readRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if sender, known := t.agentByAddr[from]; known && n <= maxDatagram {
			receive(balancer.GossipReceived{From: sender, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
