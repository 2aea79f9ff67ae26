package upstream

// Streaming responses.

import (
	"context"
	"io"
	"sync"
)

// Stream is the remainder of a large response, on its way from its backend to the client.
type Stream struct {
	Length int64                   // bytes of the complete response; -1: unknown
	Cancel context.CancelCauseFunc // cancels the attempt

	source io.Reader
	free   func() // gives the buffer back
	once   sync.Once
	done   chan struct{}
	err    error // valid once done is closed
}

// NewStream returns the stream of a response of length bytes (-1: unknown) that is read from source.
func NewStream(source io.Reader, length int64, cancel context.CancelCauseFunc) *Stream {
	return &Stream{Length: length, Cancel: cancel, source: source, free: func() {}, done: make(chan struct{})}
}

// Read reads what the backend sends.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Done is closed when the stream has been finished.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Err returns how the stream was finished. It may be called once Done is closed.
func (s *Stream) Err() error { return s.err }

// Finish ends the stream; only the first call counts. The error is nil if the response is complete, ErrRequestEnded if nobody
// reads the rest, and otherwise why the backend failed.
func (s *Stream) Finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}
