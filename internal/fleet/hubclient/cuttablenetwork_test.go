// A network of a hub process that can be cut by peer and direction.

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
	in  = 1 << iota // from them to the hub nothing comes
	out             // from the hub to them nothing goes
)

// cuttableNetwork is a hub's way to everyone. A way that is cut holds what is sent by stream, and loses what is sent by packet.
type cuttableNetwork struct {
	report     func(any)
	sendBuffer int
	mu         sync.Mutex
	cut        map[string]uint8 // by IP address
}

func (n *cuttableNetwork) set(cut map[string]uint8) {
	if cut == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *cuttableNetwork) cutTo(peer netip.Addr) uint8 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[peer.Unmap().String()]
}

func (n *cuttableNetwork) Packet(_ []byte, peer netip.AddrPort, outgoing bool) bool {
	if outgoing {
		return n.cutTo(peer.Addr())&out == 0
	}
	return n.cutTo(peer.Addr())&in == 0
}

func (n *cuttableNetwork) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if n.cutTo(to.Addr()) != 0 {
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

type pipedConn struct {
	net.Conn
	real net.Conn
}

func (c *pipedConn) RemoteAddr() net.Addr { return c.real.RemoteAddr() }

func (c *pipedConn) LocalAddr() net.Addr { return c.real.LocalAddr() }

func (n *cuttableNetwork) wrap(conn net.Conn) net.Conn {
	near, far := net.Pipe()
	peer := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	go n.forward(far, conn, peer, in)
	go n.forward(conn, far, peer, out)
	return &pipedConn{near, conn}
}

// forward passes on what comes, and the end, and holds both while the way is cut.
func (n *cuttableNetwork) forward(to, from net.Conn, peer netip.Addr, direction uint8) {
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for first := true; ; first = false {
			buf := make([]byte, 4096)
			size, err := from.Read(buf)
			if first && direction == in && bytes.HasPrefix(buf[:size], []byte("GET /hub HTTP")) {
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
		for n.cutTo(peer)&direction != 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	for b := range chunks { // of those that can't be written any more, too
		waitWhileCut()
		_, _ = to.Write(b)
	}
	waitWhileCut()
	to.Close()
}
