package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limited accepts no more than so many connections at once. Past that they wait in the kernel's queue: running out of
// descriptors would fail attempts at healthy backends too. An accept that fails is made again, whatever the system says:
// accept(2) returns errors of the connection that it would have accepted, and shortages that pass.
type Limited struct {
	*net.TCPListener
	OnFull        func()      // asked for a slot while none is free; may be nil
	OnAcceptError func(error) // told of the first of failures in a row; may be nil

	slots        chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once
	backlogged   atomic.Bool
	backloggedAt time.Time // connections may have waited since then; zero: none has. Accept's alone
}

const (
	slotRetryInterval = 20 * time.Millisecond // for a slot, while none is given back
	emptyQueueWait    = time.Millisecond      // an accept that takes longer has waited for somebody to connect
	// Waits after accepts that failed, doubled from the first to the most. Those who connect meanwhile are in the kernel's queue.
	initialBackoff, maxBackoff = time.Millisecond, 50 * time.Millisecond
)

// Limit has a listener accept no more than most connections at once.
func Limit(l *net.TCPListener, maxConns int) *Limited {
	return &Limited{TCPListener: l, slots: make(chan struct{}, maxConns), closed: make(chan struct{})}
}

// Reserve takes n slots out of use, as far as they are free, or puts them back in use where n is negative.
func (l *Limited) Reserve(n int) {
	for ; n > 0; n-- {
		select {
		case l.slots <- struct{}{}:
		default: // all are in use
		}
	}
	for ; n < 0; n++ {
		<-l.slots
	}
}

// InUse is how many slots are taken, and Size how many there are.
func (l *Limited) InUse() int { return len(l.slots) }

// Size is how many connections may be open at once.
func (l *Limited) Size() int { return cap(l.slots) }

// Backlogged reports whether connections may wait in the kernel's queue: for a slot, or since accepting fails.
func (l *Limited) Backlogged() bool { return l.backlogged.Load() }

// Accept waits for a slot and a connection. It fails once the listener is closed, and not before.
func (l *Limited) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	c, err := l.accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	conn := &Conn{TCPConn: c, release: sync.OnceFunc(func() { <-l.slots })}
	if !l.backloggedAt.IsZero() {
		conn.queued = time.Since(l.backloggedAt)
	}
	return conn, nil
}

// markBacklogged notes that connections may wait in the kernel's queue from now on.
func (l *Limited) markBacklogged() {
	l.backlogged.Store(true)
	if l.backloggedAt.IsZero() {
		l.backloggedAt = time.Now()
	}
}

// accept takes the next connection that can be taken.
func (l *Limited) accept() (*net.TCPConn, error) {
	retryBackoff := backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 2, MaxInterval: maxBackoff}
	for first := true; ; first = false {
		startedAt := time.Now()
		c, err := l.AcceptTCP()
		if err == nil {
			if time.Since(startedAt) > emptyQueueWait {
				l.backloggedAt = time.Time{}
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

// acquireSlot waits for a free slot and takes it.
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

// Close ends accepting.
func (l *Limited) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}
