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
	number int
	claim  net.Listener // the kernel drops it with the process, however that ends
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
			if ip := at.Addr().As4(); ok && ip[0] == 127 && int(ip[1]) == b.number && at.Port() != claimPort {
				return true
			}
		}
	}
	return false
}

func (b *block) close() { b.claim.Close() }

// agentAddr is the address of agent n itself.
func (b *block) agentAddr(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, 1+n/250, 1+n%250)
}

// linkAddr is the address at which agent n meets everyone else. They differ by port.
func (b *block) linkAddr(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, 101+n/250, 1+n%250)
}

// hubAddr is the address of hub n itself, and hubLinkAddr where it is reached and meets everyone else.
func (b *block) hubAddr(n int) string     { return fmt.Sprintf("127.%d.201.%d", b.number, 1+n) }
func (b *block) hubLinkAddr(n int) string { return fmt.Sprintf("127.%d.211.%d", b.number, 1+n) }

// gate is a listener that can refuse connections, or leave them hanging as a network does that drops the
// opening segment.
type gate struct {
	listener *net.TCPListener
	wrap     func(net.Conn) net.Conn

	mu          sync.Mutex
	unreachable bool
	closed      bool
	reachable   chan struct{} // closed once it is open again; nil: it is open
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

// Accept waits while the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.listener.Accept()
		g.mu.Lock()
		if err == nil {
			// A call that was under way when the gate was shut may take the filler itself: the queue is filled again.
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
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails on a closed socket alone
	}
}

// fillBacklog has a connection of our own take the queue's only place. The lock is held.
func (g *gate) fillBacklog() {
	if g.filler != nil {
		g.filler.Close()
	}
	g.filler, _ = net.DialTimeout("tcp4", g.listener.Addr().String(), 250*time.Millisecond) // full already if it fails
}

// setUnreachable shuts the gate or opens it. Shut, it accepts nothing and its queue holds one connection of our own:
// a full queue is why the kernel answers no further opening segment.
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
		g.setBacklog(0)
		g.fillBacklog()
		return
	}
	if g.filler != nil {
		g.filler.Close()
		g.filler = nil
	}
	// Whoever came into the queue meanwhile would not have got through: it is reset.
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

// reset ends a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0) // closed already if it fails
	}
	c.Close()
}
