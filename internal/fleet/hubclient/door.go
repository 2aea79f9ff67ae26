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
	bindEvery = 50 * time.Millisecond
	mostHeld  = 64
	heldFor   = time.Second
	mostRead  = 64 << 10 // bytes of a stream that is held
)

// door listens on the fleet address for nothing but that a refused connection tells that this process has ended.
type door struct {
	at   netip.AddrPort
	held chan struct{} // a place for each connection

	mu sync.Mutex
	ln *net.TCPListener // nil: an older process has the address
}

func newDoor(at netip.AddrPort, await bool) (*door, error) {
	d := &door{at: at, held: make(chan struct{}, mostHeld)}
	if err := d.bind(); err != nil && !(await && errors.Is(err, syscall.EADDRINUSE)) {
		return nil, err
	}
	return d, nil
}

func (d *door) bind() error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(d.at))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ln, d.at = ln, ln.Addr().(*net.TCPAddr).AddrPort()
	return nil
}

// address is where others see whether this process has ended.
func (d *door) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at.String()
}

// await has the address, once an older process of this agent has ended; false: ctx has.
func (d *door) await(ctx context.Context) bool {
	for d.ln == nil {
		if !pause(ctx, bindEvery) {
			return false
		}
		_ = d.bind() // it is still held if it fails
	}
	return true
}

// open takes connections until ctx ends. Those that come later wait, and are not refused: the address stays held.
func (d *door) open(ctx context.Context) {
	_ = d.ln.SetDeadline(time.Time{}) // closed already if it fails
	defer context.AfterFunc(ctx, func() { _ = d.ln.SetDeadline(time.Unix(1, 0)) })()
	for ctx.Err() == nil {
		c, err := d.ln.AcceptTCP()
		if err != nil {
			pause(ctx, bindEvery) // out of descriptors, say
			continue
		}
		select {
		case d.held <- struct{}{}:
			go d.hold(c)
		default:
			c.Close()
		}
	}
}

// hold keeps a connection for a moment and closes it without a reset, which would say that nobody is here: what came is
// read first.
func (d *door) hold(c *net.TCPConn) {
	defer func() { <-d.held }()
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(heldFor)) // closed already if it fails
	_, _ = io.CopyN(io.Discard, c, mostRead)
}

// lend is the same listener once more, for the flat fleet: the address is not let go of for a moment.
func (d *door) lend() (*net.TCPListener, error) {
	file, err := d.ln.File()
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
