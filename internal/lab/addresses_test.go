package lab

// Addresses, gates and limits of a lab.

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Two labs that run at the same time use different addresses.
func TestLabsUseSeparateAddresses(t *testing.T) {
	a, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	b, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if a.number == b.number || a.agentAddr(3) == b.agentAddr(3) || a.linkAddr(3) == a.agentAddr(3) {
		t.Errorf("labs in blocks %d and %d share addresses, or agent and link addresses are equal; want separate addresses", a.number, b.number)
	}
}

// An unreachable gate neither establishes nor refuses connections. Once it is reachable again, it accepts connections.
func TestGateBlocksAndReopens(t *testing.T) {
	defer goleak.VerifyNone(t)
	g, err := newGate("127.0.0.1", func(c net.Conn) net.Conn { return c })
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func(limit time.Duration) error {
		c, err := net.DialTimeout("tcp4", g.Addr().String(), limit)
		if err == nil {
			defer c.Close()
			(<-accepted).Close()
		}
		return err
	}
	if err := dial(testTimeout); err != nil {
		t.Fatal(err)
	}
	g.setUnreachable(true)
	var netErr net.Error
	if err := dial(200 * time.Millisecond); !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Fatalf("dialling an unreachable gate: error %v, want a timeout", err)
	}
	g.setUnreachable(false)
	if err := dial(testTimeout); err != nil {
		t.Fatal(err)
	}
	g.Close()
	for range accepted {
	}
}

// New rejects a scenario that needs more descriptors than the limit, before any process starts.
func TestScenarioOverTheDescriptorLimitIsRejected(t *testing.T) {
	o := options(t, "real", strings.Replace(strings.Replace(smallScenario, "agents = 3", "agents = 2000", 1), "backends = 9", "backends = 4000", 1))
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "descriptors") {
		t.Errorf("New with 2000 agents and 4000 backends: error %v, want one about descriptors", err)
	}
}

// claimBlock skips a block in which another process has bound a socket.
func TestBlockInUseIsNotClaimed(t *testing.T) {
	b, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	b.close()
	for _, bind := range []func() (interface{ Close() error }, error){
		func() (interface{ Close() error }, error) { return net.Listen("tcp4", b.agentAddr(3)+":0") },
		func() (interface{ Close() error }, error) { return net.ListenPacket("udp4", b.agentAddr(2)+":0") },
	} {
		s, err := bind()
		if err != nil {
			t.Fatal(err)
		}
		other, err := claimBlock()
		if err != nil {
			t.Fatal(err)
		}
		if other.number == b.number {
			t.Errorf("claimed block %d, in which a socket is bound; want another block", b.number)
		}
		other.close()
		_ = s.Close()
	}
}

// pendingConnections returns the connections in state SYN_SENT of a kernel table, and skips other states and malformed lines.
func TestPendingConnectionsAreReadFromKernelTable(t *testing.T) {
	table := `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 1
   1: 0203A57F:C350 0465A57F:0050 02 00000001:00000000 01:00000064 00000000     0        0 2
   2: 0203A57F:C351 0465A57F:0050 01 00000000:00000000 00:00000000 00000000     0        0 3
   3: 0203A57:C351 zz65A57F:0050 02
`
	got := pendingConnections([]byte(table))
	if len(got) != 1 || got[0].from.String() != "127.165.3.2:50000" || got[0].to.String() != "127.165.101.4:80" {
		t.Errorf("pending connections %v, want only 127.165.3.2:50000 to 127.165.101.4:80", got)
	}
}
