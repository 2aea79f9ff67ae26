// A proxy in front of a hub, in which tests can cut or delay each direction.

package hubclient

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// cuttableProxy forwards connections to a hub. Each direction forwards bytes, discards them, or delays them until the
// test sets the direction to forwarding again.
type cuttableProxy struct {
	addr           string
	toHub, fromHub atomic.Int32
}

const (
	forwarding = iota
	discarding
	delaying
)

// newCuttableProxy listens on a free port until the test ends, and forwards connections to the hub at address to.
func newCuttableProxy(t *testing.T, to string) *cuttableProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &cuttableProxy{addr: ln.Addr().String()}
	go func() {
		for {
			agentConn, err := ln.Accept()
			if err != nil {
				return
			}
			if hubConn, err := net.Dial("tcp", to); err == nil {
				go p.forward(hubConn, agentConn, &p.toHub)
				go p.forward(agentConn, hubConn, &p.fromHub)
			}
		}
	}()
	return p
}

func (p *cuttableProxy) forward(to, from net.Conn, mode *atomic.Int32) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for mode.Load() == delaying {
			time.Sleep(time.Millisecond)
		}
		if mode.Load() == forwarding {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}
