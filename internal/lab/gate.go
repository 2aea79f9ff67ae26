package lab

// Listeners that can leave new connections hanging.

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can be made unreachable. New connections then hang, as if the network dropped the SYN.
type gate struct {
	listener *net.TCPListener
	wrap     func(net.Conn) net.Conn

	accepting sync.Mutex // held while the listener accepts; a goroutine that needs both mutexes locks mu first

	mu          sync.Mutex
	unreachable bool
	closed      bool
	reachable   chan struct{} // closed once the gate is reachable again; nil while it is reachable
	filler      net.Conn      // occupies the accept queue while the gate is unreachable
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
			// An Accept that was in progress when the gate became unreachable may return the filler: fill the queue again.
			isFiller := g.filler != nil && c.RemoteAddr().String() == g.filler.LocalAddr().String()
			if isFiller {
				c.Close()
				g.fillBacklog()
			}
			g.mu.Unlock()
			if isFiller {
				continue
			}
			return g.wrap(c), nil
		}
		reopened, closed := g.reachable, g.closed
		g.mu.Unlock()
		if closed || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if reopened != nil {
			<-reopened
		}
	}
}

func (g *gate) setBacklog(n int) {
	raw, err := g.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails only on a closed socket
	}
}

// fillBacklog occupies the only place of the accept queue with a connection of the lab. g.mu is held.
func (g *gate) fillBacklog() {
	if g.filler != nil {
		g.filler.Close()
	}
	g.filler, _ = net.DialTimeout("tcp4", g.listener.Addr().String(), 250*time.Millisecond) // fails if the queue is already full
}

// setUnreachable makes the gate unreachable or reachable. An unreachable gate accepts nothing and its accept queue is full, so
// the kernel answers no further SYN.
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
		g.accepting.Lock() // waits for an Accept in progress, which would otherwise remove the filler from the queue
		defer g.accepting.Unlock()
		g.setBacklog(0)
		g.fillBacklog()
		return
	}
	if g.filler != nil {
		g.filler.Close()
		g.filler = nil
	}
	// Reset the connections that entered the queue while the gate was unreachable: a real network would have dropped their SYN.
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
