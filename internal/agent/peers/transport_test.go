package peers

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martenbeam/balancer"
)

// TestMain checks that no goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait in the tests; every event that a test waits for takes far less time on any machine.
const testTimeout = 30 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// TestPeerMessagesAreSentAsDatagrams: each message is one datagram, and the sender is identified by its address.
func TestPeerMessagesAreSentAsDatagrams(t *testing.T) {
	cfg := Config{Listen: "127.0.0.1:0"}
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	cfg.Addrs = []string{"127.0.0.1:9", peer.LocalAddr().String()}
	p, err := New(t.Context(), cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan balancer.Event, 1)
	go p.Run(t.Context(), func(m balancer.GossipReceived) { got <- m })
	p.Send(1, []byte("hi"))
	p.Send(5, []byte("nobody"))
	p.Send(1, make([]byte, maxDatagram+1))
	buf := make([]byte, 512)
	n, _, err := peer.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hi" {
		t.Fatalf("first datagram %q, error %v, want \"hi\"", buf[:n], err)
	}
	if _, err := peer.WriteTo([]byte("yes"), p.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	if m, ok := receive(t, "a message", got).(balancer.GossipReceived); !ok || m.From != 1 || string(m.Data) != "yes" {
		t.Errorf("received %+v, want \"yes\" from agent 1", m)
	}
}

// TestPeerAddressIsBoundOnceReleased: a successor binds the peer address once the older process has released it.
func TestPeerAddressIsBoundOnceReleased(t *testing.T) {
	predecessor, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Listen: predecessor.LocalAddr().String()}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel() // New must not wait for the address
	if _, err := New(cancelled, cfg, discardLog); err == nil {
		t.Error("address in use without AwaitAddr: New returned no error, want one")
	}
	cfg.AwaitAddr = true
	p, err := New(t.Context(), cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	bound := make(chan bool)
	go func() { bound <- p.bind(ctx) }()
	predecessor.Close()
	if !receive(t, "bind to return", bound) {
		t.Error("address not bound after its release")
	}
	p.conn.Close()
	cancel()
	p.conn = nil
	if p.bind(ctx) {
		t.Error("bind succeeded although its context was cancelled")
	}
}
