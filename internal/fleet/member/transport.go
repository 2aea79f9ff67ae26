package member

// This file shares one address, UDP and TCP, between memberlist, the latency prober and HTTP.

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
	// ProbeByte is the first byte of a datagram of the latency prober. It distinguishes these datagrams from memberlist's on
	// the same address, which begin with a small number or, if labelled, with 244.
	ProbeByte = 0xd7
	getByte   = 'G' // first byte of a connection that carries an HTTP request
	postByte  = 'P' // likewise

	maxDatagramBytes  = 64 << 10
	maxUnclassified   = 64              // connections whose first byte has not arrived yet
	firstByteTimeout  = 3 * time.Second // after which a connection without a first byte is closed
	socketBufferBytes = 1 << 20
)

// Wire intercepts the traffic between a member and its sockets. Tests and measurements count or drop traffic with it. Its
// methods are called from several goroutines and may block.
type Wire interface {
	// Packet reports whether a datagram may pass. out is true if the datagram is being sent to peer, and false if it was
	// received from peer.
	Packet(data []byte, peer netip.AddrPort, out bool) bool
	// Dial opens a connection with d.
	Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error)
	// Accepted returns the connection to use instead of an accepted one.
	Accepted(c net.Conn) net.Conn
}

// transport implements memberlist.Transport on one address, and passes on traffic that does not belong to memberlist. One
// goroutine reads datagrams and one accepts connections. Each accepted connection has a goroutine until its first byte shows
// whether it belongs to memberlist. Shutdown waits for all of them.
type transport struct {
	listen       netip.AddrPort
	advertise    netip.AddrPort
	bound        atomic.Bool // udp and tcp are set
	udp          *net.UDPConn
	tcp          *net.TCPListener
	dialer       net.Dialer
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	handleProbe  func(data []byte, from netip.AddrPort, receivedAt time.Time) // runs on the goroutine that reads datagrams; may be nil
	serveConn    func(net.Conn)                                               // takes over the connection; may be nil
	wire         Wire                                                         // may be nil
	unclassified chan struct{}                                                // a semaphore, see maxUnclassified
	tasks        sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

// newTransport returns a transport without sockets; see bind.
func newTransport(listen, advertise netip.AddrPort) *transport {
	t := &transport{listen: listen, advertise: advertise, packets: make(chan *memberlist.Packet, 256),
		streams: make(chan net.Conn), unclassified: make(chan struct{}, maxUnclassified),
		// The other side identifies the caller by its IP address.
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1}}
	if !t.advertise.IsValid() {
		t.advertise = listen
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// bind opens the sockets, of which tcp may be set already.
func (t *transport) bind() error {
	var err error
	if t.tcp == nil {
		if t.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(t.listen)); err != nil {
			return err
		}
	}
	addr := t.listen
	if addr.Port() == 0 {
		addr = t.tcp.Addr().(*net.TCPAddr).AddrPort()
	}
	if t.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		t.tcp.Close()
		t.tcp = nil
		return err
	}
	_ = t.udp.SetReadBuffer(socketBufferBytes) // the system may allow less, which is not an error
	if t.advertise.Port() == 0 {
		t.advertise = addr
	}
	t.bound.Store(true)
	return nil
}

// awaitAddress binds the address as soon as this agent's predecessor has released it. It reports false if ctx ends first.
func (t *transport) awaitAddress(ctx context.Context) bool {
	tick := time.NewTicker(bindInterval)
	defer tick.Stop()
	for !t.bound.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		_ = t.bind() // on an error the address is still in use, and the next tick binds again
	}
	return true
}

// bindInterval is the time between two attempts to bind the address.
const bindInterval = 50 * time.Millisecond

// errNotBound is the error of sending before awaitAddress has succeeded.
var errNotBound = errors.New("fleet address is still in use by this agent's predecessor")

// run reads datagrams and accepts connections until Shutdown.
func (t *transport) run() {
	t.tasks.Go(t.readPackets)
	t.tasks.Go(t.acceptStreams)
}

// readPackets passes datagrams on until Shutdown.
func (t *transport) readPackets() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buf)
		receivedAt := time.Now()
		if t.ctx.Err() != nil {
			return
		}
		if err != nil || n == 0 {
			continue // an ICMP error for an earlier datagram; the socket is still usable
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if t.wire != nil && !t.wire.Packet(buf[:n], from, false) {
			continue
		}
		if buf[0] == ProbeByte {
			if t.handleProbe != nil {
				t.handleProbe(buf[:n], from, receivedAt)
			}
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: receivedAt}
		select {
		case t.packets <- p:
		case <-t.ctx.Done():
			return
		}
	}
}

// acceptStreams accepts connections until Shutdown, and closes those beyond maxUnclassified.
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
			select { // file descriptors may have run out
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

// accepted returns the connection to use for an accepted one.
func (t *transport) accepted(c net.Conn) net.Conn {
	if t.wire == nil {
		return c
	}
	return t.wire.Accepted(c)
}

// dial opens a TCP connection to another member.
func (t *transport) dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if t.wire == nil {
		return d.DialContext(ctx, "tcp", addr)
	}
	return t.wire.Dial(ctx, d, addr)
}

// classify hands a connection to memberlist or to serveConn, according to its first byte.
func (t *transport) classify(c net.Conn) {
	defer func() { <-t.unclassified }()
	stop := context.AfterFunc(t.ctx, func() { c.Close() })
	r := bufio.NewReaderSize(c, 512)
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout)) // fails only on a closed connection, where Peek fails too
	first, err := r.Peek(1)
	if !stop() || err != nil || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	peeked := &peekedConn{c, r}
	if first[0] == getByte || first[0] == postByte {
		if t.serveConn == nil {
			c.Close()
			return
		}
		t.serveConn(peeked)
		return
	}
	select {
	case t.streams <- peeked:
	case <-t.ctx.Done():
		c.Close()
	}
}

// peekedConn is a connection whose first bytes have been read into a buffer.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read reads from the buffer first.
func (c *peekedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// FinalAdvertiseAddr returns the address at which others reach this member.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram and returns the time just before it was sent.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	if !t.bound.Load() {
		return time.Time{}, errNotBound
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	sentAt := time.Now()
	if t.wire != nil && !t.wire.Packet(b, to, true) {
		return sentAt, nil
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return sentAt, err
}

// PacketCh returns the channel of memberlist's datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of memberlist's connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a connection for memberlist.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := t.dialer
	d.Timeout = timeout
	return t.dial(t.ctx, &d, addr)
}

// Shutdown closes the sockets and waits for the goroutines. A second call returns an error, as the sockets are closed.
func (t *transport) Shutdown() error {
	t.cancel()
	var err error
	if t.bound.Load() {
		err = errors.Join(t.udp.Close(), t.tcp.Close())
	}
	t.tasks.Wait()
	if err != nil {
		return fmt.Errorf("close fleet sockets: %w", err)
	}
	return nil
}
