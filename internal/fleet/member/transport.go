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

	mostDatagram = 64 << 10
	mostUnread   = 64              // streams of which the first byte has not come yet
	firstWithin  = 3 * time.Second // it has to
	socketBuffer = 1 << 20
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
	listen    netip.AddrPort
	advertise netip.AddrPort
	open      atomic.Bool // the sockets below are there
	udp       *net.UDPConn
	tcp       *net.TCPListener
	dialer    net.Dialer
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	probe     func(data []byte, from netip.AddrPort, at time.Time) // runs on the reading task; may be nil
	call      func(net.Conn)                                       // takes the stream; may be nil
	wire      Wire                                                 // may be nil
	unread    chan struct{}
	tasks     sync.WaitGroup
	ctx       context.Context
	end       context.CancelFunc
}

func newTransport(listen, advertise netip.AddrPort) *transport {
	t := &transport{listen: listen, advertise: advertise, packets: make(chan *memberlist.Packet, 256), streams: make(chan net.Conn), unread: make(chan struct{}, mostUnread),
		// The other side knows by the address who calls.
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1}}
	if !t.advertise.IsValid() {
		t.advertise = listen
	}
	t.ctx, t.end = context.WithCancel(context.Background())
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
	_ = t.udp.SetReadBuffer(socketBuffer) // as large as the system allows
	if t.advertise.Port() == 0 {
		t.advertise = at
	}
	t.open.Store(true)
	return nil
}

// await binds once the address is free: an older process of this agent holds it until it ends. It reports false once ctx
// ends.
func (t *transport) await(ctx context.Context) bool {
	tick := time.NewTicker(bindEvery)
	defer tick.Stop()
	for !t.open.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		_ = t.bind() // it is still held if it fails
	}
	return true
}

const bindEvery = 50 * time.Millisecond

var errNotBound = errors.New("an older process holds the fleet's address")

// run reads until Shutdown.
func (t *transport) run() {
	t.tasks.Go(t.readPackets)
	t.tasks.Go(t.acceptStreams)
}

func (t *transport) readPackets() {
	buf := make([]byte, mostDatagram)
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
			if t.probe != nil {
				t.probe(buf[:n], from, at)
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
		case t.unread <- struct{}{}:
			t.tasks.Go(func() { t.sort(t.accepted(c)) })
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

// sort finds out whose a stream is.
func (t *transport) sort(c net.Conn) {
	defer func() { <-t.unread }()
	stop := context.AfterFunc(t.ctx, func() { c.Close() })
	r := bufio.NewReaderSize(c, 512)
	_ = c.SetReadDeadline(time.Now().Add(firstWithin)) // closed already if it fails
	first, err := r.Peek(1)
	if !stop() || err != nil || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	s := &sorted{c, r}
	if first[0] == getByte || first[0] == postByte {
		if t.call == nil {
			c.Close()
			return
		}
		t.call(s)
		return
	}
	select {
	case t.streams <- s:
	case <-t.ctx.Done():
		c.Close()
	}
}

// sorted is a stream of which the first bytes were read ahead.
type sorted struct {
	net.Conn
	r *bufio.Reader
}

func (s *sorted) Read(p []byte) (int, error) { return s.r.Read(p) }

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	if !t.open.Load() {
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
	t.end()
	var err error
	if t.open.Load() {
		err = errors.Join(t.udp.Close(), t.tcp.Close())
	}
	t.tasks.Wait()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
