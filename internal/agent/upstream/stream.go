package upstream

// This file defines streaming responses.

import (
	"context"
	"io"
	"sync"
)

// Stream is the rest of a large response that is being forwarded from its backend to the client.
type Stream struct {
	Length int64                   // bytes of the complete response; -1: unknown
	Cancel context.CancelCauseFunc // cancels the attempt

	source io.Reader
	free   func() // returns the buffer to the budget
	once   sync.Once
	done   chan struct{}
	err    error // valid once done is closed
}

// NewStream returns the stream of a response of length bytes (-1: unknown), read from source.
func NewStream(source io.Reader, length int64, cancel context.CancelCauseFunc) *Stream {
	return &Stream{Length: length, Cancel: cancel, source: source, free: func() {}, done: make(chan struct{})}
}

// Read reads the bytes that the backend sends.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Done is closed when the stream has been finished.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Err returns the error that was passed to Finish. It may be called only after Done is closed.
func (s *Stream) Err() error { return s.err }

// Finish ends the stream; only the first call has an effect. err is nil if the response is complete, ErrRequestEnded if the
// stream has no reader any more, and otherwise the backend's failure.
func (s *Stream) Finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}
