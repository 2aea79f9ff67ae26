package member

// This file tests joining over real sockets.

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Join attempts back off even if the seed responds but never becomes a member under its configured address, for example
// because it is reached through a proxy.
func TestJoinBacksOffEvenIfTheSeedResponds(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	startMember := func(name string, seeds ...string) *List {
		l, err := New(Config{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds,
			Log: slog.New(slog.DiscardHandler), Changed: func() {},
			ObserveRTT: func(string, time.Duration) {}, Merge: func([]byte) {}, NextMessage: func(int, int) []byte { return nil }})
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { _ = l.Run(ctx) }) // Run ends with ctx
		return l
	}
	seed := startMember("seed")
	var connections atomic.Int32
	firstConnection := make(chan struct{})
	tasks.Go(func() {
		for {
			c, err := proxy.Accept()
			if err != nil {
				return
			}
			if connections.Add(1) == 1 {
				close(firstConnection)
			}
			tasks.Go(func() { forward(&tasks, c, seed.Addr().String()) })
		}
	})
	startMember("other", proxy.Addr().String())
	<-firstConnection
	<-time.After(3 * time.Second) // the time in which attempts are counted
	if n := connections.Load(); n > 14 {
		t.Errorf("got %d connections to the seed in 3 s, want at most 14", n)
	} else {
		t.Logf("%d connections to the seed in 3 s", n)
	}
	proxy.Close()
}

// forward dials an address and copies data between it and c in both directions until either side closes. It closes c.
func forward(tasks *sync.WaitGroup, c net.Conn, addr string) {
	defer c.Close()
	s, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer s.Close()
	tasks.Go(func() { _, _ = io.Copy(s, c) })
	_, _ = io.Copy(c, s)
}
