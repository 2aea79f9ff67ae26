package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// block is the part of the loopback range that one lab has to itself.
type block struct {
	n     int
	claim net.Listener // the kernel drops it with the process, however that ends
}

const (
	firstBlock, lastBlock = 60, 249
	claimPort             = 7900
	clientPort            = 5000 // of agents
	peerPort              = 7946
)

// claimBlock takes a free block.
func claimBlock() (*block, error) {
	start := os.Getpid()
	for i := range lastBlock - firstBlock + 1 {
		n := firstBlock + (start+i)%(lastBlock-firstBlock+1)
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", n, claimPort))
		if err == nil {
			b := &block{n, ln}
			if !b.inUse() {
				return b, nil
			}
			b.close()
			continue
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errors.New("every block of loopback addresses is taken by another lab")
}

// inUse reports whether a process listens in the block besides the lab: an agent that a lab has left behind.
func (b *block) inUse() bool {
	const listens, bound = "0A", "07" // a TCP socket, a UDP one
	for name, state := range map[string]string{"tcp": listens, "udp": bound} {
		table, err := os.ReadFile("/proc/self/net/" + name)
		if err != nil {
			continue // what is in use shows at the first bind
		}
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if len(fields) < 4 || fields[3] != state {
				continue
			}
			at, ok := kernelAddress([]byte(fields[1]))
			if ip := at.Addr().As4(); ok && ip[0] == 127 && int(ip[1]) == b.n && at.Port() != claimPort {
				return true
			}
		}
	}
	return false
}

func (b *block) close() { b.claim.Close() }

// agent is the address of agent n itself.
func (b *block) agent(n int) string { return fmt.Sprintf("127.%d.%d.%d", b.n, 1+n/250, 1+n%250) }

// world is the address at which agent n meets everyone else. They differ by port.
func (b *block) world(n int) string { return fmt.Sprintf("127.%d.%d.%d", b.n, 101+n/250, 1+n%250) }

// hub is the address of hub n itself, and hubLink where it is reached and meets everyone else.
func (b *block) hub(n int) string     { return fmt.Sprintf("127.%d.201.%d", b.n, 1+n) }
func (b *block) hubLink(n int) string { return fmt.Sprintf("127.%d.211.%d", b.n, 1+n) }

// gate is a listener that can refuse connections, or leave them hanging as a network does that drops the
// opening segment.
type gate struct {
	ln   *net.TCPListener
	wrap func(net.Conn) net.Conn

	mu     sync.Mutex
	shut   bool
	closed bool
	opened chan struct{} // closed once it is open again; nil: it is open
	filler net.Conn
}

func newGate(ip string, wrap func(net.Conn) net.Conn) (*gate, error) {
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	return &gate{ln: ln, wrap: wrap}, nil
}

func (g *gate) Addr() net.Addr { return g.ln.Addr() }

func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
	if g.filler != nil {
		g.filler.Close()
	}
	return g.ln.Close()
}

// Accept waits while the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.ln.Accept()
		g.mu.Lock()
		if err == nil {
			// A call that was under way when the gate was shut may take the filler itself: the queue is filled again.
			ours := g.filler != nil && c.RemoteAddr().String() == g.filler.LocalAddr().String()
			if ours {
				c.Close()
				g.fill()
			}
			g.mu.Unlock()
			if ours {
				continue
			}
			return g.wrap(c), nil
		}
		opened, closed := g.opened, g.closed
		g.mu.Unlock()
		if closed || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if opened != nil {
			<-opened
		}
	}
}

func (g *gate) backlog(n int) {
	raw, err := g.ln.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails on a closed socket alone
	}
}

// fill has a connection of our own take the queue's only place. The lock is held.
func (g *gate) fill() {
	if g.filler != nil {
		g.filler.Close()
	}
	g.filler, _ = net.DialTimeout("tcp4", g.ln.Addr().String(), 250*time.Millisecond) // full already if it fails
}

// setShut shuts the gate or opens it. Shut, it accepts nothing and its queue holds one connection of our own:
// a full queue is why the kernel answers no further opening segment.
func (g *gate) setShut(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on == g.shut || g.closed {
		return
	}
	g.shut = on
	if on {
		g.opened = make(chan struct{})
		_ = g.ln.SetDeadline(time.Unix(1, 0))
		g.backlog(0)
		g.fill()
		return
	}
	if g.filler != nil {
		g.filler.Close()
		g.filler = nil
	}
	// Whoever came into the queue meanwhile would not have got through: it is reset.
	_ = g.ln.SetDeadline(time.Now().Add(2 * time.Millisecond))
	for {
		c, err := g.ln.Accept()
		if err != nil {
			break
		}
		reset(c)
	}
	g.backlog(1024)
	_ = g.ln.SetDeadline(time.Time{})
	close(g.opened)
	g.opened = nil
}

// reset ends a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0) // closed already if it fails
	}
	c.Close()
}
