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
	maxOpenConns      = 64
	connTimeout       = time.Second
	maxDiscardedBytes = 64 << 10 // bytes of a stream that is held
)

// addressListener listens on the fleet address for nothing but that a refused connection tells that this process has ended.
type addressListener struct {
	addr  netip.AddrPort
	slots chan struct{} // a place for each connection

	mu sync.Mutex
	ln *net.TCPListener // nil: an older process has the address
}

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

// address is where others see whether this process has ended.
func (l *addressListener) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr.String()
}

// awaitAddress has the address, once an older process of this agent has ended; false: ctx has.
func (l *addressListener) awaitAddress(ctx context.Context) bool {
	for l.ln == nil {
		if !sleep(ctx, bindRetryInterval) {
			return false
		}
		_ = l.bind() // it is still held if it fails
	}
	return true
}

// accept takes connections until ctx ends. Those that come later wait, and are not refused: the address stays held.
func (l *addressListener) accept(ctx context.Context) {
	_ = l.ln.SetDeadline(time.Time{}) // closed already if it fails
	defer context.AfterFunc(ctx, func() { _ = l.ln.SetDeadline(time.Unix(1, 0)) })()
	for ctx.Err() == nil {
		conn, err := l.ln.AcceptTCP()
		if err != nil {
			sleep(ctx, bindRetryInterval) // out of descriptors, say
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

// discardAndClose keeps a connection for a moment and closes it without a reset, which would say that nobody is here: what came is
// read first.
func (l *addressListener) discardAndClose(conn *net.TCPConn) {
	defer func() { <-l.slots }()
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connTimeout)) // closed already if it fails
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
}

// duplicate is the same listener once more, for the flat fleet: the address is not let go of for a moment.
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
