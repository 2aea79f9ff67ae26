package listener

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait for something that has to happen: far more than it takes on any machine.
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

// dial connects to a listener, until the test ends.
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
		t.Fatalf("%s: nothing came", what)
	}
	return x
}

// The listener accepts no connection past its limit until another is closed.
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
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		dial(t, l.Addr())
	}
	first := receive(t, "first connection", accepted)
	receive(t, "call for room", full)
	if l.InUse() != 1 || len(accepted) != 0 {
		t.Errorf("%d connections past the limit", len(accepted))
	}
	first.Close()
	first.Close() // gives back its slot only once
	receive(t, "second connection", accepted)
	l.Close()
	if err := receive(t, "end", ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}
