// Package membudget bounds the memory that the clients of an agent can make it hold.
//
// A Budget is derived from the process's memory limit. Everything that grows with what clients and backends do is reserved
// from it: connections, open requests, bodies and responses. Connections are always admitted, since descriptors bound them;
// what carries the most bytes is refused first, so that small requests are served beside large ones:
//
//   - Spare: larger buffers, and buffering in place of streaming. Refused first; a request is served without it.
//   - Stream: what a request with a streamed body needs.
//   - Buffer: what a request with a buffered body needs.
//   - Request: what a request with a small body, or none, needs. Refused last.
//
// Some requests of each class are admitted however little is left, so that none waits for the end of another class. Within a
// class, what needs the least is granted first.
//
// A Budget counts; it allocates nothing. All methods may be called from any goroutine.
package membudget

import (
	"context"
	"math"
	"slices"
	"sync"
)

// Class is the use of a reservation. It determines how much of the budget must stay free for the classes after it.
type Class int

// The classes, in the order in which they are refused as the budget is used up.
const (
	Spare Class = iota
	Stream
	Buffer
	Request
	classes // the number of classes
)

// highWatermarks are the shares of the budget, in percent, up to which reservations of each class are granted.
var highWatermarks = [classes]int64{Spare: 60, Stream: 70, Buffer: 85, Request: 100}

// minAdmitted are the numbers of reservations of each class that are granted however little memory is left.
var minAdmitted = [classes]int{Stream: 8, Buffer: 8, Request: 32}

const (
	// ConnMemory is what an open connection of a client holds: two goroutines with their stacks, and the buffers of
	// package http.
	ConnMemory = 24 << 10
	// IdleConnMemory is what an idle connection to a backend holds.
	IdleConnMemory = 12 << 10
	// RequestMemory is what an open request holds besides its client's connection and its body: the goroutines of its handler
	// and its attempt, the connection to its backend, its header, and the smallest buffers for its response.
	RequestMemory = 24 << 10
	// AttemptMemory is what an attempt holds that a request makes while another is open: its goroutine, its copy of the header,
	// and the connection to its backend.
	AttemptMemory = 20 << 10

	// baseMemory is what the process holds without clients. A process leaves as much for a successor, whose connections
	// to clients come before its own have ended.
	baseMemory = 3 << 20
	// unmanagedMemory is what the process holds outside the collector's count: the program's data and the C library's heap.
	unmanagedMemory = 2 << 20
	// The collector is told to stay below heapPercent of the other memory; the rest is for its overshoot. Reservations use at
	// most livePercent of the heap, or collections would take too much processor time.
	heapPercent, livePercent = 75, 70
)

// HeapLimit returns the number of bytes below which the garbage collector keeps a process with a memory limit in bytes.
func HeapLimit(memory int64) int64 { return max(0, memory-unmanagedMemory) / 100 * heapPercent }

// Size returns the size in bytes of the budget of a process with a memory limit in bytes; 0: no limit.
func Size(memory int64) int64 {
	if memory <= 0 {
		return math.MaxInt64 / 100
	}
	return max(0, HeapLimit(memory)/100*livePercent-2*baseMemory)
}

// Budget is a number of bytes that reservations share.
type Budget struct {
	mu       sync.Mutex
	size     int64
	used     int64
	admitted [classes]int       // reservations by class
	waiting  [classes][]*waiter // by class, in the order in which they are granted
}

// waiter is a call of Reserve that waits.
type waiter struct {
	reservation *Reservation
	granted     chan struct{} // closed once the reservation is counted
}

// New returns the budget of a process with a memory limit in bytes; 0: no limit.
func New(memory int64) *Budget { return &Budget{size: Size(memory)} }

// SetMemory changes the memory limit. Reservations that no longer fit stay valid until they are released.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = Size(memory)
	b.grantWaiting()
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Add counts bytes that are held whether they fit or not.
func (b *Budget) Add(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
}

// Remove ends the count of bytes that were added.
func (b *Budget) Remove(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grantWaiting()
}

// IsLow reports whether no memory is to spare.
func (b *Budget) IsLow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.fits(Spare, 0)
}

// TryReserve reserves bytes, or returns nil if they do not fit or earlier calls of the class wait for as much or less.
func (b *Budget) TryReserve(class Class, bytes int64) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.position(class, bytes) > 0 || !b.fits(class, bytes) {
		return nil
	}
	r := &Reservation{budget: b, class: class}
	b.grant(r, bytes)
	return r
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

// fits reports whether a reservation may be granted. The caller holds mu.
func (b *Budget) fits(class Class, bytes int64) bool {
	if b.admitted[class] < minAdmitted[class] {
		return true
	}
	return b.used+bytes <= b.size/100*highWatermarks[class]
}

// grant counts a reservation of bytes. The caller holds mu.
func (b *Budget) grant(r *Reservation, bytes int64) {
	r.bytes, r.holders = bytes, 1
	b.used += bytes
	b.admitted[r.class]++
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

// Reservation is a part of a budget. A nil Reservation holds nothing. The budget's mu guards its fields but budget and class.
type Reservation struct {
	budget  *Budget
	class   Class
	bytes   int64
	holders int // 0: released
}

// TryGrow adds spare memory to the reservation, and reports whether there was enough.
func (r *Reservation) TryGrow(bytes int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.budget.fits(Spare, bytes) {
		return false
	}
	r.bytes += bytes
	r.budget.used += bytes
	return true
}

// Share adds a holder, who has to call Release too. A holder calls it, before its own Release.
func (r *Reservation) Share() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders > 0 {
		r.holders++
	}
}

// Release returns the reservation to its budget once each holder has called it. Calls after that do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders == 0 {
		return
	}
	if r.holders--; r.holders > 0 {
		return
	}
	r.budget.used -= r.bytes
	r.budget.admitted[r.class]--
	r.budget.grantWaiting()
}
