// Package membudget bounds the memory that the clients of an agent can make it hold.
//
// A Budget is derived from the process's memory limit. Everything that grows with what clients and backends do is reserved
// from it: connections, open requests, bodies and responses. Connections are always admitted, since descriptors bound them;
// what carries the most bytes is refused first, so that small requests are served beside large ones:
//
//   - Spare: larger buffers, and buffering in place of streaming. Refused first; a request is served without it.
//   - Stream: what a request with a streamed body needs.
//   - Arrival: what has arrived of a request that is not complete, past its first bytes.
//   - Buffer: what a request with a buffered body needs.
//   - Request: what a request with a small body, or none, needs. Refused last.
//
// Some requests of each class are admitted however little is left, so that none waits for the end of another class. Within a
// class, what needs the least is granted first.
//
// A Budget counts; it allocates nothing. All methods may be called from any goroutine.
package membudget

import (
	"math"
	"sync"
)

// Class is the use of a reservation. It determines how much of the budget must stay free for the classes after it.
type Class int

// The classes, in the order in which they are refused as the budget is used up.
const (
	Spare Class = iota
	Stream
	Arrival
	Buffer
	Request
	classes // the number of classes
)

// highWatermarks are the shares of the budget, in percent, up to which reservations of each class are granted.
var highWatermarks = [classes]int64{Spare: 60, Stream: 70, Arrival: 75, Buffer: 85, Request: 100}

// minAdmitted are the numbers of reservations of each class that are granted however little memory is left, if they are not larger
// than maxAlwaysGranted.
var minAdmitted = [classes]int{Stream: 8, Arrival: 16, Buffer: 8, Request: 32}

// maxAlwaysGranted is the size in bytes of the largest of these reservations: a request with the largest buffered body.
const maxAlwaysGranted = RequestMemory + 64<<10

const (
	// ConnMemory is what an open connection of a client holds: a goroutine with its stack, the socket, and the first bytes of a
	// request.
	ConnMemory = 8 << 10
	// IdleConnMemory is what an idle connection to a backend holds.
	IdleConnMemory = 12 << 10
	// RequestMemory is what an open request holds besides its client's connection and its body: the goroutines of its handler
	// and its attempt, the buffers of package http, the connection to its backend, a small header, and the smallest buffers for
	// its response.
	RequestMemory = 56 << 10
	// AttemptMemory is what an attempt holds that a request makes while another is open: its goroutine, its copy of the header,
	// and the connection to its backend.
	AttemptMemory = 20 << 10
	// EndpointMemory is what a listed backend holds in the pool, the balancer and discovery.
	EndpointMemory = 1 << 10

	// baseMemory is what the process holds without clients. A process leaves as much for a successor, whose connections
	// to clients come before its own have ended.
	baseMemory = 3 << 20
	// unmanagedMemory is what the process holds outside the collector's count: the program's data and the C library's heap.
	unmanagedMemory = 2 << 20
	// The collector is told to stay below heapPercent of the other memory; the rest is for its overshoot. Reservations use at
	// most livePercent of the heap, or collections would take too much processor time.
	heapPercent, livePercent = 80, 75
)

// HeaderMemory returns what a request's header holds besides RequestMemory, in bytes: the header as it arrived, parsed, copied for
// the backend, and sorted while it is written. size is the header's length in bytes, fields the number of its fields.
func HeaderMemory(size, fields int) int64 {
	return int64(max(0, size-smallHeader))*headerCopies + int64(max(0, fields-smallHeaderFields))*fieldMemory
}

const (
	smallHeader       = 1 << 10 // bytes of a header that RequestMemory contains
	smallHeaderFields = 24      // fields of such a header
	headerCopies      = 3       // as it arrived, in net/http's buffer, and parsed
	fieldMemory       = 400     // bytes of a field in the maps of the request and of its copy, and in the list that is sorted
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
	byClass  [classes]int64     // reserved bytes by class
	admitted [classes]int       // reservations by class
	waiting  [classes][]*waiter // by class, in the order in which they are granted
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

// fits reports whether a reservation may be granted. The caller holds mu.
func (b *Budget) fits(class Class, bytes int64) bool {
	if b.admitted[class] < minAdmitted[class] && bytes <= maxAlwaysGranted {
		return true
	}
	return b.used+bytes <= b.size/100*highWatermarks[class]
}

// grant counts a reservation of bytes. The caller holds mu.
func (b *Budget) grant(r *Reservation, bytes int64) {
	r.bytes, r.holders = bytes, 1
	b.used += bytes
	b.byClass[r.class] += bytes
	b.admitted[r.class]++
}
