package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
)

// block is the part of the loopback address range (127.<number>.0.0/16) that belongs to one lab.
type block struct {
	number int
	claim  net.Listener // other labs skip the block while this listener is open
}

const (
	firstBlock, lastBlock = 60, 249
	claimPort             = 7900
	clientPort            = 5000 // agents accept clients on this port
	peerPort              = 7946
)

// claimBlock claims a free block. It returns an error if every block is in use, or if it cannot listen in a block for another
// reason.
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
	return nil, errors.New("every block of loopback addresses is in use")
}

// inUse reports whether a process has a listening TCP socket or a bound UDP socket in the block, such as an agent that an
// earlier lab did not stop.
func (b *block) inUse() bool {
	const listening, bound = "0A", "07" // socket states in the kernel's tables: a listening TCP socket, a bound UDP socket
	for name, state := range map[string]string{"tcp": listening, "udp": bound} {
		table, err := os.ReadFile("/proc/self/net/" + name)
		if err != nil {
			continue // without the table, the first bind in the block reports an address in use
		}
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if len(fields) < 4 || fields[3] != state {
				continue
			}
			addr, ok := kernelAddress([]byte(fields[1]))
			if ip := addr.Addr().As4(); ok && ip[0] == 127 && int(ip[1]) == b.number && addr.Port() != claimPort {
				return true
			}
		}
	}
	return false
}

func (b *block) close() { b.claim.Close() }

// agentAddr returns the IP address of agent n.
func (b *block) agentAddr(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, 1+n/250, 1+n%250)
}

// linkAddr returns the IP address of the lab's listeners for agent n: one for each backend, one for discovery, and the links
// through which other agents and hubs reach agent n. The listeners have different ports.
func (b *block) linkAddr(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, 101+n/250, 1+n%250)
}

// hubAddr returns the IP address of hub n. hubLinkAddr returns the IP address at which the hub reaches discovery, and at which
// agents and other hubs reach the hub.
func (b *block) hubAddr(n int) string     { return fmt.Sprintf("127.%d.201.%d", b.number, 1+n) }
func (b *block) hubLinkAddr(n int) string { return fmt.Sprintf("127.%d.211.%d", b.number, 1+n) }
