package upstream

// This file defines limits of size and time for bodies and responses.

import "time"

// Bodies and responses up to MaxBufferedBody are buffered completely, and such a body can be sent again. Larger ones are
// streamed and never completely in memory. Sizes are in bytes.
const (
	MaxBufferedBody  = 64 << 10              // bytes
	MaxStreamBytes   = 32 << 20              // bytes of a body or response; a larger body is rejected
	streamBufferSize = 32 << 10              // bytes of a stream's buffer while memory is left
	minBufferSize    = 4 << 10               // bytes of a stream's buffer otherwise
	kernelBufferSize = 256 << 10             // bytes of a stream that the kernel buffers in each direction of a socket
	bufferingTimeout = 50 * time.Millisecond // a response of unknown length is buffered this long, as it may end below MaxBufferedBody
	StallTimeout     = 10 * time.Second      // a stream fails after this time without a byte
)

// UploadMemory is what a streamed body holds at least, in bytes: net/http's copy buffer, the smallest buffers towards the client
// and the backend, and MinBufferedBody.
const UploadMemory = 32<<10 + 2*minBufferSize + MinBufferedBody

// MinBufferedBody is the size of the first part of a streamed body that is kept for further attempts while little memory is
// left, in bytes.
const MinBufferedBody = 4 << 10
