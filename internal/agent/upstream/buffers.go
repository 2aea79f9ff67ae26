package upstream

// The memory for streams, in the process and in the kernel.

import (
	"net"
	"sync/atomic"
)

// Buffers bounds the memory for stream buffers.
type Buffers struct{ remaining atomic.Int64 }

// newBuffers gives streams an eighth of the memory; 0 MB means the default of 64.
func newBuffers(memoryMB int) *Buffers {
	b := &Buffers{}
	if memoryMB == 0 {
		memoryMB = 64
	}
	b.remaining.Store(int64(memoryMB) << 20 / 8)
	return b
}

// Get returns a buffer and the function that gives it back. It never fails: once the budget is used up, buffers are small
// and not counted.
func (b *Buffers) Get() ([]byte, func()) {
	size := int64(streamBufferSize)
	if b.remaining.Add(-size) < 0 {
		b.remaining.Add(size)
		return make([]byte, minBufferSize), func() {}
	}
	return make([]byte, size), func() { b.remaining.Add(size) }
}

// LimitKernelBuffers keeps the kernel from buffering megabytes of a stream for a socket.
func LimitKernelBuffers(c net.Conn) {
	if t, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// If it is refused, the kernel's own bound applies.
		_ = t.SetReadBuffer(kernelBufferSize)
		_ = t.SetWriteBuffer(kernelBufferSize)
	}
}
