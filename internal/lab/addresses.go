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
	clientPort            = 5000 // on which agents accept clients
	peerPort              = 7946
)

// claimBlock claims a free block. It returns an error if other labs have claimed all blocks.
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
	return nil, errors.New("every block of loopback addresses is in use by another lab")
}

// inUse reports whether any process listens in the block, such as an agent that an earlier lab did not stop.
func (b *block) inUse() bool {
	const listening, bound = "0A", "07" // socket states in the kernel's tables: a listening TCP socket, a bound UDP socket
	for name, state := range map[string]string{"tcp": listening, "udp": bound} {
		table, err := os.ReadFile("/proc/self/net/" + name)
		if err != nil {
			continue // the first bind reports an address in use
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

// linkAddr returns the IP address at which agent n reaches all other processes. They differ by port.
func (b *block) linkAddr(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, 101+n/250, 1+n%250)
}

// hubAddr returns the IP address of hub n. hubLinkAddr returns the IP address at which the hub reaches all other processes and
// at which they reach the hub.
func (b *block) hubAddr(n int) string     { return fmt.Sprintf("127.%d.201.%d", b.number, 1+n) }
func (b *block) hubLinkAddr(n int) string { return fmt.Sprintf("127.%d.211.%d", b.number, 1+n) }
