package membudget

// Calls that wait for memory.

import (
	"context"
	"slices"
)

// waiter is a call of Reserve that waits.
type waiter struct {
	reservation *Reservation
	granted     chan struct{} // closed once the reservation is counted
}

// Reserve reserves bytes, and waits until they fit, behind the calls of the class that wait already for as much or less. It
// returns nil once ctx is done.
func (b *Budget) Reserve(ctx context.Context, class Class, bytes int64) *Reservation {
	if r := b.TryReserve(class, bytes); r != nil {
		return r
	}
	w := &waiter{&Reservation{budget: b, class: class, bytes: bytes}, make(chan struct{})}
	b.mu.Lock()
	b.waiting[class] = slices.Insert(b.waiting[class], b.position(class, bytes), w)
	b.grantWaiting()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return w.reservation
	case <-ctx.Done():
	}
	if b.cancel(w) {
		return nil
	}
	return w.reservation
}

// position returns how many calls of a class wait that are granted before a new call for bytes. The caller holds mu.
func (b *Budget) position(class Class, bytes int64) int {
	before, _ := slices.BinarySearchFunc(b.waiting[class], bytes, func(w *waiter, bytes int64) int {
		if w.reservation.bytes <= bytes {
			return -1
		}
		return 1
	})
	return before
}

// cancel removes a waiting call, and reports false if it has been granted.
func (b *Budget) cancel(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	class := w.reservation.class
	i := slices.Index(b.waiting[class], w)
	if i < 0 {
		return false
	}
	b.waiting[class] = slices.Delete(b.waiting[class], i, i+1)
	b.grantWaiting() // it may have been the first
	return true
}

// grantWaiting grants the calls that wait, the class that is refused last first. Of each class it grants calls in their order,
// until one does not fit. The caller holds mu.
func (b *Budget) grantWaiting() {
	for class := Request; class >= Spare; class-- {
		for len(b.waiting[class]) > 0 {
			first := b.waiting[class][0]
			if !b.fits(class, first.reservation.bytes) {
				break
			}
			b.waiting[class] = b.waiting[class][1:]
			b.grant(first.reservation, first.reservation.bytes)
			close(first.granted)
		}
	}
}
