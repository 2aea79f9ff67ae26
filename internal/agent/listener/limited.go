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
	Full   func()      // asked for a slot while none is free; may be nil
	Failed func(error) // told of the first of failures in a row; may be nil

	slots   chan struct{}
	closed  chan struct{}
	once    sync.Once
	waiting atomic.Bool
	since   time.Time // connections may have waited since then; zero: none has. Accept's alone
}

const (
	askAgain   = 20 * time.Millisecond // for a slot, while none is given back
	queueEmpty = time.Millisecond      // an accept that takes longer has waited for somebody to connect
	// Waits after accepts that failed, doubled from the first to the most. Those who connect meanwhile are in the kernel's queue.
	retryFirst, retryMost = time.Millisecond, 50 * time.Millisecond
)

// Limit has a listener accept no more than most connections at once.
func Limit(l *net.TCPListener, most int) *Limited {
	return &Limited{TCPListener: l, slots: make(chan struct{}, most), closed: make(chan struct{})}
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

// Waiting reports whether connections may wait in the kernel's queue: for a slot, or since accepting fails.
func (l *Limited) Waiting() bool { return l.waiting.Load() }

// Accept waits for a slot and a connection. It fails once the listener is closed, and not before.
func (l *Limited) Accept() (net.Conn, error) {
	if err := l.slot(); err != nil {
		return nil, err
	}
	c, err := l.accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	conn := &Conn{TCPConn: c, release: sync.OnceFunc(func() { <-l.slots })}
	if !l.since.IsZero() {
		conn.queued = time.Since(l.since)
	}
	return conn, nil
}

// wait notes that connections may wait in the kernel's queue from now on.
func (l *Limited) wait() {
	if l.waiting.Store(true); l.since.IsZero() {
		l.since = time.Now()
	}
}

// accept takes the next connection that can be taken.
func (l *Limited) accept() (*net.TCPConn, error) {
	waits := backoff.ExponentialBackOff{InitialInterval: retryFirst, Multiplier: 2, MaxInterval: retryMost}
	for first := true; ; first = false {
		began := time.Now()
		c, err := l.AcceptTCP()
		if err == nil {
			if time.Since(began) > queueEmpty {
				l.since = time.Time{}
			}
			l.waiting.Store(false)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.wait()
		if first && l.Failed != nil {
			l.Failed(err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// slot waits for a free slot and takes it.
func (l *Limited) slot() error {
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
	}
	l.wait()
	defer l.waiting.Store(false)
	ask := time.NewTicker(askAgain)
	defer ask.Stop()
	for {
		if l.Full != nil {
			l.Full()
		}
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		case <-ask.C:
		}
	}
}

// Close ends accepting.
func (l *Limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// Conn is a connection that Limited has accepted. It keeps the methods of a TCP connection: with no CloseWrite, net/http
// would close at once after a last answer, and a reset could overtake it.
type Conn struct {
	*net.TCPConn
	release func()
	queued  time.Duration
}

// Queued is how long the connection may have waited in the kernel's queue at the most; 0: it was accepted at once.
func (c *Conn) Queued() time.Duration { return c.queued }

// Close ends the connection and gives its slot back.
func (c *Conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
