package upstream

// This file bounds the memory for streams, in the process and in the kernel.

import (
	"net"
	"sync/atomic"
)

// Buffers bounds the memory for stream buffers.
type Buffers struct{ remaining atomic.Int64 }

// newBuffers returns a budget of an eighth of memoryMB; 0 means the default of 64 MB.
func newBuffers(memoryMB int) *Buffers {
	b := &Buffers{}
	if memoryMB == 0 {
		memoryMB = 64
	}
	b.remaining.Store(int64(memoryMB) << 20 / 8)
	return b
}

// Get returns a buffer and the function that returns it to the budget. It never fails: once the budget is used up,
// buffers have minBufferSize and are not counted.
func (b *Buffers) Get() ([]byte, func()) {
	size := int64(streamBufferSize)
	if b.remaining.Add(-size) < 0 {
		b.remaining.Add(size)
		return make([]byte, minBufferSize), func() {}
	}
	return make([]byte, size), func() { b.remaining.Add(size) }
}

// LimitKernelBuffers limits the kernel's send and receive buffers of a socket, which could otherwise hold megabytes of a
// stream.
func LimitKernelBuffers(c net.Conn) {
	if t, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// If the kernel rejects the size, its own bound applies.
		_ = t.SetReadBuffer(kernelBufferSize)
		_ = t.SetWriteBuffer(kernelBufferSize)
	}
}
