package upstream

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds each wait of a test. It is far longer than any expected event takes on a slow machine.
const testTimeout = 30 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

// testConfig returns a configuration with time limits long enough for a slow machine.
func testConfig() Config {
	return Config{MaxConns: 450, Memory: 192 << 20, ConnectTimeout: 10 * time.Second, IdleClose: time.Minute, LoadInline: true}
}

// ids numbers the ids that newID returns.
var ids struct {
	sync.Mutex
	n int
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// receive returns the next value of ch, and fails the test if none arrives within testTimeout.
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

// eventually polls a condition that no channel reports, and fails the test if it stays false for testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}
