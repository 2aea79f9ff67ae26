package upstream

// Limits of size and time for bodies and responses.

import "time"

// Bodies and responses up to MaxBufferedBody are buffered whole, and such a body can be sent again. Larger ones are streamed:
// they are never held completely. Sizes are in bytes.
const (
	MaxBufferedBody  = 64 << 10              // bytes
	MaxStreamBytes   = 32 << 20              // bytes of a body or response; a larger body is rejected
	streamBufferSize = 32 << 10              // bytes passed on at once, while the budget lasts
	minBufferSize    = 4 << 10               // and once it is used up
	kernelBufferSize = 256 << 10             // bytes of a stream that the kernel holds for each socket
	bufferingTimeout = 50 * time.Millisecond // a response of unknown length is held back this long, as it may turn out small
	StallTimeout     = 10 * time.Second      // without a byte of a stream, before it is given up
)
