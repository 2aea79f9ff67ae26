// The network of a hub process, in which tests can cut each direction to each peer.

package hubclient

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	cutInbound  = 1 << iota // from peers to the hub
	cutOutbound             // from the hub to peers
)

// cuttableNetwork is the network of a hub. It implements member.Wire. A direction that is cut delays the bytes of
// streams until the cut ends, and drops packets.
type cuttableNetwork struct {
	report     func(any) // receives a hubOutput for each agent's Hello
	sendBuffer int       // send buffer of accepted connections in bytes; if set, these connections can't be cut; 0: the system's default
	mu         sync.Mutex
	cut        map[string]uint8 // by IP address: cutInbound, cutOutbound or their union
}

// set replaces all cuts. If cut is nil, the cuts remain unchanged.
func (n *cuttableNetwork) set(cut map[string]uint8) {
	if cut == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// cutDirections returns which directions to a peer are cut.
func (n *cuttableNetwork) cutDirections(peer netip.Addr) uint8 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[peer.Unmap().String()]
}

func (n *cuttableNetwork) Packet(_ []byte, peer netip.AddrPort, outgoing bool) bool {
	if outgoing {
		return n.cutDirections(peer.Addr())&cutOutbound == 0
	}
	return n.cutDirections(peer.Addr())&cutInbound == 0
}

// Dial connects to addr. If either direction is cut at the time of the call, Dial waits for ctx or the dialer's
// timeout, and returns a timeout error.
func (n *cuttableNetwork) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if n.cutDirections(to.Addr()) != 0 {
		if d.Timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, d.Timeout)
			defer cancel()
		}
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn), nil
}

func (n *cuttableNetwork) Accepted(conn net.Conn) net.Conn {
	if n.sendBuffer > 0 {
		_ = conn.(*net.TCPConn).SetWriteBuffer(n.sendBuffer)
		return conn
	}
	return n.wrap(conn)
}

// pipedConn is one end of a pipe to a real connection. It has the addresses of the real connection.
type pipedConn struct {
	net.Conn
	underlying net.Conn
}

func (c *pipedConn) RemoteAddr() net.Addr { return c.underlying.RemoteAddr() }

func (c *pipedConn) LocalAddr() net.Addr { return c.underlying.LocalAddr() }

// wrap returns a connection whose bytes pass through the network.
func (n *cuttableNetwork) wrap(conn net.Conn) net.Conn {
	hubEnd, networkEnd := net.Pipe()
	peer := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	go n.forward(networkEnd, conn, peer, cutInbound)
	go n.forward(conn, networkEnd, peer, cutOutbound)
	return &pipedConn{hubEnd, conn}
}

// forward copies one direction of a connection, and closes the destination when the source ends. While the direction is
// cut, forward delays the bytes and the close. It reports the start of an agent's stream as a Hello.
func (n *cuttableNetwork) forward(to, from net.Conn, peer netip.Addr, direction uint8) {
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for first := true; ; first = false {
			buf := make([]byte, 4096)
			size, err := from.Read(buf)
			if first && direction == cutInbound && bytes.HasPrefix(buf[:size], []byte("GET /hub HTTP")) {
				n.report(hubOutput{Hello: time.Now().UnixMicro()})
			}
			if size > 0 {
				chunks <- buf[:size]
			}
			if err != nil {
				return
			}
		}
	}()
	waitWhileCut := func() {
		for n.cutDirections(peer)&direction != 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	for b := range chunks { // after a write error the loop drains the remaining chunks
		waitWhileCut()
		_, _ = to.Write(b)
	}
	waitWhileCut()
	to.Close()
}
