package listener

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait in the tests; every event that a test waits for takes far less time on any machine.
const testTimeout = 30 * time.Second

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// dial connects to a listener. The connection is closed when the test ends.
func dial(t *testing.T, addr net.Addr) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func receive[T any](t *testing.T, what string, from <-chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return x
}

// At its limit the listener accepts a further connection only after an open one is closed.
func TestLimitedListenerWaitsForAFreeSlot(t *testing.T) {
	l := Limit(listen(t), 1)
	full := make(chan struct{}, 1)
	l.OnFull = func() {
		select {
		case full <- struct{}{}:
		default:
		}
	}
	accepted := make(chan net.Conn, 2)
	acceptErr := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				acceptErr <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		dial(t, l.Addr())
	}
	first := receive(t, "the first connection", accepted)
	receive(t, "a call of OnFull", full)
	if l.InUse() != 1 || len(accepted) != 0 {
		t.Errorf("at the limit of 1 connection: InUse is not 1, or %d more connections were accepted, want 0", len(accepted))
	}
	first.Close()
	first.Close() // frees its slot only once
	receive(t, "the second connection", accepted)
	l.Close()
	if err := receive(t, "Accept to fail", acceptErr); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: error %v, want net.ErrClosed", err)
	}
}
