package member

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// First bytes that tell others' words from the membership's on the same address: its messages begin with small
	// numbers or, labelled, with 244.
	ProbeByte = 0xd7 // a datagram of round trips
	getByte   = 'G'  // a stream that is an HTTP call
	postByte  = 'P'  // the same

	maxDatagramBytes  = 64 << 10
	maxUnclassified   = 64              // streams of which the first byte has not come yet
	firstByteTimeout  = 3 * time.Second // it has to
	socketBufferBytes = 1 << 20
)

// Wire stands between a member and its sockets, for who counts what passes there, or has it lost. Its methods may wait.
type Wire interface {
	// Packet reports whether a datagram passes.
	Packet(data []byte, peer netip.AddrPort, out bool) bool
	Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error)
	Accepted(c net.Conn) net.Conn
}

// transport carries the membership's packets and streams over one address, UDP and TCP, and hands out what is not its.
// Each connection that comes in is one task until it is known whose it is.
type transport struct {
	listen       netip.AddrPort
	advertise    netip.AddrPort
	bound        atomic.Bool // the sockets below are there
	udp          *net.UDPConn
	tcp          *net.TCPListener
	dialer       net.Dialer
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	handleProbe  func(data []byte, from netip.AddrPort, at time.Time) // runs on the reading task; may be nil
	serveConn    func(net.Conn)                                       // takes the stream; may be nil
	wire         Wire                                                 // may be nil
	unclassified chan struct{}
	tasks        sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

func newTransport(listen, advertise netip.AddrPort) *transport {
	t := &transport{listen: listen, advertise: advertise, packets: make(chan *memberlist.Packet, 256), streams: make(chan net.Conn), unclassified: make(chan struct{}, maxUnclassified),
		// The other side knows by the address who calls.
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1}}
	if !t.advertise.IsValid() {
		t.advertise = listen
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// bind opens the sockets.
func (t *transport) bind() error {
	var err error
	if t.tcp == nil {
		if t.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(t.listen)); err != nil {
			return err
		}
	}
	at := t.listen
	if at.Port() == 0 {
		at = t.tcp.Addr().(*net.TCPAddr).AddrPort()
	}
	if t.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		t.tcp.Close()
		t.tcp = nil
		return err
	}
	_ = t.udp.SetReadBuffer(socketBufferBytes) // as large as the system allows
	if t.advertise.Port() == 0 {
		t.advertise = at
	}
	t.bound.Store(true)
	return nil
}

// awaitAddress binds once the address is free: an older process of this agent holds it until it ends. It reports false once ctx
// ends.
func (t *transport) awaitAddress(ctx context.Context) bool {
	tick := time.NewTicker(bindInterval)
	defer tick.Stop()
	for !t.bound.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		_ = t.bind() // it is still held if it fails
	}
	return true
}

const bindInterval = 50 * time.Millisecond

var errNotBound = errors.New("an older process holds the fleet's address")

// run reads until Shutdown.
func (t *transport) run() {
	t.tasks.Go(t.readPackets)
	t.tasks.Go(t.acceptStreams)
}

func (t *transport) readPackets() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		at := time.Now()
		if t.ctx.Err() != nil {
			return
		}
		if err != nil || n == 0 {
			continue // an earlier datagram's ICMP error; the socket itself is fine
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if t.wire != nil && !t.wire.Packet(buf[:n], from, false) {
			continue
		}
		if buf[0] == ProbeByte {
			if t.handleProbe != nil {
				t.handleProbe(buf[:n], from, at)
			}
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: at}
		select {
		case t.packets <- p:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *transport) acceptStreams() {
	for {
		c, err := t.tcp.AcceptTCP()
		if t.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return
		}
		if err != nil {
			select { // out of descriptors, say
			case <-time.After(50 * time.Millisecond):
			case <-t.ctx.Done():
			}
			continue
		}
		select {
		case t.unclassified <- struct{}{}:
			t.tasks.Go(func() { t.classify(t.accepted(c)) })
		default:
			c.Close()
		}
	}
}

func (t *transport) accepted(c net.Conn) net.Conn {
	if t.wire == nil {
		return c
	}
	return t.wire.Accepted(c)
}

// dial opens a stream to another member.
func (t *transport) dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if t.wire == nil {
		return d.DialContext(ctx, "tcp", addr)
	}
	return t.wire.Dial(ctx, d, addr)
}

// classify finds out whose a stream is.
func (t *transport) classify(c net.Conn) {
	defer func() { <-t.unclassified }()
	stop := context.AfterFunc(t.ctx, func() { c.Close() })
	r := bufio.NewReaderSize(c, 512)
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout)) // closed already if it fails
	first, err := r.Peek(1)
	if !stop() || err != nil || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	s := &peekedConn{c, r}
	if first[0] == getByte || first[0] == postByte {
		if t.serveConn == nil {
			c.Close()
			return
		}
		t.serveConn(s)
		return
	}
	select {
	case t.streams <- s:
	case <-t.ctx.Done():
		c.Close()
	}
}

// peekedConn is a stream of which the first bytes were read ahead.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

func (s *peekedConn) Read(p []byte) (int, error) { return s.r.Read(p) }

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	if !t.bound.Load() {
		return time.Time{}, errNotBound
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	if t.wire != nil && !t.wire.Packet(b, to, true) {
		return at, nil
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return at, err
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := t.dialer
	d.Timeout = timeout
	return t.dial(t.ctx, &d, addr)
}

func (t *transport) Shutdown() error {
	t.cancel()
	var err error
	if t.bound.Load() {
		err = errors.Join(t.udp.Close(), t.tcp.Close())
	}
	t.tasks.Wait()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
