package agent

// Streaming responses.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Stream is the remainder of a large response, on its way from its backend to the client.
type Stream struct {
	Length int64 // bytes of the complete response; -1: unknown
	source io.Reader
	Cancel context.CancelCauseFunc // cancels the attempt
	free   func()                  // gives the buffer back
	once   sync.Once
	done   chan struct{}
	err    error // nil: complete; ErrRequestEnded: nobody reads the rest; otherwise the backend failed. Valid once done is closed
}

func (s *Stream) Finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}

// isTooSlow reports whether a backend sends slower than minUpstreamRate on average, StallTimeout aside: a response
// that only trickles would never end. The client's deadline does not bound a streaming response: it applies to the first
// bytes, and what the backend still sends must not be cut off.
func isTooSlow(waited time.Duration, received int64) bool {
	return waited > StallTimeout+time.Duration(received)*time.Second/minUpstreamRate
}

// relay writes first and then what it reads of the stream into buf, until the response is complete. It returns false if the
// connection to the client has to be aborted: the client does not read, the backend failed, or the response is too slow or
// too large.
func (s *Stream) relay(client context.Context, w http.ResponseWriter, first, buf []byte) bool {
	control := http.NewResponseController(w)
	waited, passed := time.Duration(0), int64(0) // time waited for the backend, and bytes from it
	for chunk, readErr := first, error(nil); ; {
		err := control.SetWriteDeadline(time.Now().Add(StallTimeout))
		if err == nil {
			_, err = w.Write(chunk)
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return false
		}
		if readErr != nil {
			s.Finish(nil)
			return true
		}
		if passed += int64(len(chunk)); passed > MaxStreamBytes || isTooSlow(waited, passed) {
			s.Finish(ErrStalled)
			return false
		}
		stalled := time.AfterFunc(StallTimeout, func() { s.Cancel(ErrStalled) })
		readStart := time.Now()
		n, err := s.source.Read(buf)
		waited += time.Since(readStart)
		stalled.Stop()
		if err != nil && !errors.Is(err, io.EOF) {
			if client.Err() != nil {
				err = ErrRequestEnded // the client has disconnected: the backend is not to blame
			}
			s.Finish(err)
			return false
		}
		chunk, readErr = buf[:n], err
	}
}
