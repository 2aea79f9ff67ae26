package upstream

// This file allocates the buffers of streams within the memory budget, and bounds the kernel's buffers.

import (
	"net"

	"martenbeam/internal/agent/membudget"
)

// Buffers allocates the buffers of streams.
type Buffers struct{ budget *membudget.Budget }

// Get returns a buffer and the function that returns its memory to the budget. It never fails: while the budget has no memory
// for streamBufferSize, buffers have minBufferSize, which the reservation of the request includes.
func (b *Buffers) Get() ([]byte, func()) {
	reservation := b.budget.TryReserve(membudget.Spare, streamBufferSize)
	if reservation == nil {
		return make([]byte, minBufferSize), func() {}
	}
	return make([]byte, streamBufferSize), reservation.Release
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
