package agent

// Streaming responses.

import (
	"context"
	"io"
	"sync"
	"time"
)

// responseStream is the remainder of a large response, on its way from its backend to the client.
type responseStream struct {
	length int64 // bytes of the complete response; -1: unknown
	source io.Reader
	cancel context.CancelCauseFunc // cancels the attempt
	free   func()                  // gives the buffer back
	once   sync.Once
	done   chan struct{}
	err    error // nil: complete; errRequestEnded: nobody reads the rest; otherwise the backend failed. Valid once done is closed
}

func (s *responseStream) finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}

// isTooSlow reports whether a backend sends slower than minUpstreamRate on average, streamStallTimeout aside: a response
// that only trickles would never end. The client's deadline does not bound a streaming response: it applies to the first
// bytes, and what the backend still sends must not be cut off.
func isTooSlow(waited time.Duration, received int64) bool {
	return waited > streamStallTimeout+time.Duration(received)*time.Second/minUpstreamRate
}
