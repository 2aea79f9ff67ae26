// The listener at the fleet address while the agent is attached to hubs.

package hubclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	bindRetryInterval = 50 * time.Millisecond
	maxOpenConns      = 64 // accepted and not closed yet
	connTimeout       = time.Second
	maxDiscardedBytes = 64 << 10 // read from one connection
)

// addressListener holds the fleet address open. It serves nothing: other processes conclude from a refused connection
// that this process has ended. serveAddress owns it, except for address, which any goroutine may call.
type addressListener struct {
	addr  netip.AddrPort
	slots chan struct{} // one element for each open connection

	mu sync.Mutex
	ln *net.TCPListener // nil: an older process has the address still
}

// newAddressListener listens at addr. If awaitAddress is set, an address in use is no error: awaitAddress has to be
// called then.
func newAddressListener(addr netip.AddrPort, awaitAddress bool) (*addressListener, error) {
	l := &addressListener{addr: addr, slots: make(chan struct{}, maxOpenConns)}
	if err := l.bind(); err != nil && !(awaitAddress && errors.Is(err, syscall.EADDRINUSE)) {
		return nil, err
	}
	return l, nil
}

func (l *addressListener) bind() error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ln, l.addr = ln, ln.Addr().(*net.TCPAddr).AddrPort()
	return nil
}

// address returns the IP:port that is listened at, or is to be.
func (l *addressListener) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr.String()
}

// awaitAddress retries until an older process of this agent has released the address. It returns false if ctx ends
// first.
func (l *addressListener) awaitAddress(ctx context.Context) bool {
	for l.ln == nil {
		if !sleep(ctx, bindRetryInterval) {
			return false
		}
		_ = l.bind() // on an error the address is still in use: retried
	}
	return true
}

// accept accepts connections until ctx ends. Later ones wait in the listener's queue and are not refused, since it
// stays open.
func (l *addressListener) accept(ctx context.Context) {
	_ = l.ln.SetDeadline(time.Time{}) // fails only on a closed listener, and then AcceptTCP does too
	defer context.AfterFunc(ctx, func() { _ = l.ln.SetDeadline(time.Unix(1, 0)) })()
	for ctx.Err() == nil {
		conn, err := l.ln.AcceptTCP()
		if err != nil {
			sleep(ctx, bindRetryInterval) // for instance, out of file descriptors
			continue
		}
		select {
		case l.slots <- struct{}{}:
			go l.discardAndClose(conn)
		default:
			conn.Close()
		}
	}
}

// discardAndClose reads what the peer sends and closes the connection. Unread bytes would make the close a reset,
// which peers take for a process that has ended. Nobody waits for it: it ends after connTimeout.
func (l *addressListener) discardAndClose(conn *net.TCPConn) {
	defer func() { <-l.slots }()
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connTimeout)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
}

// duplicate returns a second listener on the same socket, for the full mesh, so that the address is open without a
// gap.
func (l *addressListener) duplicate() (*net.TCPListener, error) {
	file, err := l.ln.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}
