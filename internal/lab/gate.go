package lab

// Listeners that can refuse connections, or leave them hanging.

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can be made unreachable: new connections then hang, as if the network dropped the SYN.
type gate struct {
	listener *net.TCPListener
	wrap     func(net.Conn) net.Conn

	accepting sync.Mutex // held while the listener accepts; locked after mu, if both are

	mu          sync.Mutex
	unreachable bool
	closed      bool
	reachable   chan struct{} // closed once connections are accepted again; nil: they are
	filler      net.Conn
}

func newGate(ip string, wrap func(net.Conn) net.Conn) (*gate, error) {
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	return &gate{listener: ln, wrap: wrap}, nil
}

func (g *gate) Addr() net.Addr { return g.listener.Addr() }

func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.reachable != nil {
		close(g.reachable)
		g.reachable = nil
	}
	if g.filler != nil {
		g.filler.Close()
	}
	return g.listener.Close()
}

// Accept returns the next connection. It blocks while the gate is unreachable.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.accepting.Lock()
		c, err := g.listener.Accept()
		g.accepting.Unlock()
		g.mu.Lock()
		if err == nil {
			// An Accept that was in progress when the gate became unreachable may take the filler: fill the queue again.
			ours := g.filler != nil && c.RemoteAddr().String() == g.filler.LocalAddr().String()
			if ours {
				c.Close()
				g.fillBacklog()
			}
			g.mu.Unlock()
			if ours {
				continue
			}
			return g.wrap(c), nil
		}
		opened, closed := g.reachable, g.closed
		g.mu.Unlock()
		if closed || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if opened != nil {
			<-opened
		}
	}
}

func (g *gate) setBacklog(n int) {
	raw, err := g.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails only on a closed socket
	}
}

// fillBacklog takes the only place of the accept queue with a connection of the lab. g.mu is held.
func (g *gate) fillBacklog() {
	if g.filler != nil {
		g.filler.Close()
	}
	g.filler, _ = net.DialTimeout("tcp4", g.listener.Addr().String(), 250*time.Millisecond) // if it fails, the queue is full already
}

// setUnreachable makes the gate unreachable or reachable. While it is unreachable nothing is accepted and the accept queue is
// full, so the kernel answers no further SYN.
func (g *gate) setUnreachable(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on == g.unreachable || g.closed {
		return
	}
	g.unreachable = on
	if on {
		g.reachable = make(chan struct{})
		_ = g.listener.SetDeadline(time.Unix(1, 0))
		g.accepting.Lock() // an Accept in progress ends first: it would take the filler, and leave its place to another
		defer g.accepting.Unlock()
		g.setBacklog(0)
		g.fillBacklog()
		return
	}
	if g.filler != nil {
		g.filler.Close()
		g.filler = nil
	}
	// Whatever got into the queue meanwhile would not have got through a network: reset it.
	_ = g.listener.SetDeadline(time.Now().Add(2 * time.Millisecond))
	for {
		c, err := g.listener.Accept()
		if err != nil {
			break
		}
		reset(c)
	}
	g.setBacklog(1024)
	_ = g.listener.SetDeadline(time.Time{})
	close(g.reachable)
	g.reachable = nil
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}
