// The listener at the fleet address while the full mesh is not running.

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
	bindRetryInterval = 50 * time.Millisecond // between attempts to bind, and after a failed accept
	maxOpenConns      = 64                    // accepted connections that are not closed yet
	connTimeout       = time.Second           // maximum time that an accepted connection stays open
	maxDiscardedBytes = 64 << 10              // maximum number of bytes read from a connection
)

// addressListener keeps the fleet address open without serving any protocol, because other processes treat a refused
// connection as the end of this process. serveAddress owns the listener; any goroutine may call address.
type addressListener struct {
	addr  netip.AddrPort
	slots chan struct{} // one element for each open connection

	mu sync.Mutex
	ln *net.TCPListener // nil: a predecessor of this process still uses the address
}

// newAddressListener listens on addr. If awaitAddress is set and the address is in use, newAddressListener returns a
// listener that is not open yet, and the caller must call its awaitAddress method.
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

// address returns the IP:port on which the listener listens, or will listen once the address is free.
func (l *addressListener) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr.String()
}

// awaitAddress retries until a predecessor of this process has released the address. It returns false if ctx ends
// first.
func (l *addressListener) awaitAddress(ctx context.Context) bool {
	for l.ln == nil {
		if !sleep(ctx, bindRetryInterval) {
			return false
		}
		_ = l.bind() // the loop retries after any error, usually because the address is still in use
	}
	return true
}

// accept accepts connections until ctx ends, and closes each connection above maxOpenConns immediately. It leaves the
// listener open, so that the kernel queues later connections instead of refusing them.
func (l *addressListener) accept(ctx context.Context) {
	_ = l.ln.SetDeadline(time.Time{}) // fails only on a closed listener, and then AcceptTCP does too
	defer context.AfterFunc(ctx, func() { _ = l.ln.SetDeadline(time.Unix(1, 0)) })()
	for ctx.Err() == nil {
		conn, err := l.ln.AcceptTCP()
		if err != nil {
			sleep(ctx, bindRetryInterval) // ctx has ended, or accepting failed, for instance because the process has no free file descriptor
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

// discardAndClose reads the bytes that the peer sends and closes the connection. Closing a connection with unread bytes
// resets it, and peers treat a reset as the end of this process. No goroutine waits for discardAndClose, which ends
// after connTimeout at the latest.
func (l *addressListener) discardAndClose(conn *net.TCPConn) {
	defer func() { <-l.slots }()
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connTimeout)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
}

// duplicate returns a second listener on the same socket for the full mesh, so that the address stays open throughout.
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
