package listener

// This file implements a listener with a bounded number of open connections.

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limited is a TCP listener with a fixed number of slots: each open connection uses one. While no slot is free, clients
// wait in the kernel's accept queue. Without the limit the process could run out of file descriptors, and its connections
// to healthy backends would fail too. Limited retries every failed accept, because accept(2) returns errors of the
// connection that it would have accepted, and of temporary resource shortages.
//
// Only one goroutine may call Accept. The other methods, and Close of the connections, may be called from any goroutine.
type Limited struct {
	*net.TCPListener
	// OnFull and OnAcceptError must be set before the first Accept; either may be nil. Accept's goroutine calls them.
	OnFull        func()      // called every slotRetryInterval while no slot is free; it may free one
	OnAcceptError func(error) // called with the first of consecutive errors

	slots      chan struct{} // holds one value for each slot in use
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
	backlogged atomic.Bool
	// backloggedSince is the time since which connections may have been waiting in the accept queue; zero: none is
	// waiting. Only Accept uses backloggedSince.
	backloggedSince time.Time
}

const (
	slotRetryInterval = 20 * time.Millisecond // between calls of OnFull
	emptyQueueWait    = time.Millisecond      // if an accept takes longer, the accept queue was empty
	// Backoff after failed accepts, doubled each time. Clients that connect during it wait in the accept queue.
	initialBackoff, maxBackoff = time.Millisecond, 50 * time.Millisecond
)

// Limit returns a listener that accepts from l and has at most maxConns connections open at once.
func Limit(l *net.TCPListener, maxConns int) *Limited {
	return &Limited{TCPListener: l, slots: make(chan struct{}, maxConns), closed: make(chan struct{})}
}

// Reserve takes up to n free slots out of use, and does not wait for slots to become free. A negative n frees -n reserved
// slots.
func (l *Limited) Reserve(n int) {
	for ; n > 0; n-- {
		select {
		case l.slots <- struct{}{}:
		default: // none is free
		}
	}
	for ; n < 0; n++ {
		<-l.slots
	}
}

// InUse returns the number of slots that are used by connections or reserved.
func (l *Limited) InUse() int { return len(l.slots) }

// Size returns the number of slots.
func (l *Limited) Size() int { return cap(l.slots) }

// Backlogged reports whether connections may be waiting in the accept queue, because no slot is free or accepts fail.
func (l *Limited) Backlogged() bool { return l.backlogged.Load() }

// Accept waits for a free slot and a connection, and returns the connection, a *Conn. It fails only once the listener is
// closed; the error then is or wraps net.ErrClosed.
func (l *Limited) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	c, err := l.accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	conn := &Conn{TCPConn: c, freeSlot: sync.OnceFunc(func() { <-l.slots })}
	if !l.backloggedSince.IsZero() {
		conn.queued = time.Since(l.backloggedSince)
	}
	return conn, nil
}

// markBacklogged records that connections may be waiting in the accept queue from now on.
func (l *Limited) markBacklogged() {
	l.backlogged.Store(true)
	if l.backloggedSince.IsZero() {
		l.backloggedSince = time.Now()
	}
}

// accept returns the next connection, and retries failed accepts. It fails only once the listener is closed.
func (l *Limited) accept() (*net.TCPConn, error) {
	retryBackoff := backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 2, MaxInterval: maxBackoff}
	for first := true; ; first = false {
		startedAt := time.Now()
		c, err := l.AcceptTCP()
		if err == nil {
			if time.Since(startedAt) > emptyQueueWait {
				l.backloggedSince = time.Time{}
			}
			l.backlogged.Store(false)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.markBacklogged()
		if first && l.OnAcceptError != nil {
			l.OnAcceptError(err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

// acquireSlot waits for a free slot and takes it. It fails with net.ErrClosed if the listener is closed during the wait.
func (l *Limited) acquireSlot() error {
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
	}
	l.markBacklogged()
	defer l.backlogged.Store(false)
	retryTicker := time.NewTicker(slotRetryInterval)
	defer retryTicker.Stop()
	for {
		if l.OnFull != nil {
			l.OnFull()
		}
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		case <-retryTicker.C:
		}
	}
}

// Close stops accepting. Open connections stay open.
func (l *Limited) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}
