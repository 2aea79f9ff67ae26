package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// ListenTCP retries while the address is in use, and stops when its context is done.
func TestListenTCPWaitsForAddressInUse(t *testing.T) {
	old := listen(t)
	type listenResult struct {
		ln  *net.TCPListener
		err error
	}
	done, retryTicks := make(chan listenResult, 1), make(chan time.Time)
	go func() {
		ln, err := listenTCP(t.Context(), old.Addr().String(), retryTicks)
		done <- listenResult{ln, err}
	}()
	retryTicks <- time.Now() // received after the first attempt has failed
	retryTicks <- time.Now() // received after the second attempt has failed
	old.Close()
	var l listenResult
	select {
	case retryTicks <- time.Now():
		l = receive(t, "the listener", done)
	case l = <-done: // the second attempt was made after the close
	}
	if l.err != nil {
		t.Fatal(l.err)
	}
	defer l.ln.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := listenTCP(ctx, l.ln.Addr().String(), retryTicks); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("address in use, context cancelled: error %v, want EADDRINUSE", err)
	}
}

// dupDescriptor returns a duplicate descriptor of a socket, as a process would inherit it.
func dupDescriptor(t *testing.T, socket interface{ File() (*os.File, error) }) int {
	t.Helper()
	f, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := dup(f)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// dup returns a duplicate descriptor of f, which no os.File owns, and closes f.
func dup(f *os.File) (int, error) {
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	return fd, err
}

// Inherited accepts only a listening TCP socket. The platform's socket still listens after the returned listener is closed.
func TestInheritedAcceptsOnlyListeningTCPSockets(t *testing.T) {
	ln := listen(t)
	got, err := Inherited(t.Context(), dupDescriptor(t, ln))
	if err != nil || got.Addr().String() != ln.Addr().String() {
		t.Fatalf("listener %v, error %v, want a listener on the inherited socket", got, err)
	}
	got.Close()
	if c, err := net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Errorf("the platform's socket does not accept after the inherited listener was closed: %v", err)
	} else {
		c.Close()
	}
	c := dial(t, ln.Addr())
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := dup(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, fd := range map[string]int{"a connection": dupDescriptor(t, c.(*net.TCPConn)),
		"UDP": dupDescriptor(t, udp.(*net.UDPConn)), "a file": fd, "no descriptor": 1 << 20} {
		if _, err := Inherited(t.Context(), fd); err == nil || !strings.Contains(err.Error(), "PROXY_FD") {
			t.Errorf("%s: error %v, want one that names PROXY_FD", name, err)
		}
	}
}
