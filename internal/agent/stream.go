package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bodies and responses larger than maxBufferedBody are streamed: they are never held completely.
const (
	maxStreamBytes     = 32 << 20                // bytes of a body or response; a larger body is rejected
	streamBufferSize   = 32 << 10                // bytes passed on at once, while the budget lasts
	minBufferSize      = 4 << 10                 // and once it is used up
	kernelBufferSize   = 256 << 10               // bytes of a stream that the kernel holds for each socket
	bufferingTimeout   = 50 * time.Millisecond   // a response of unknown length is held back this long, as it may turn out small
	streamStallTimeout = 10 * time.Second        // without a byte of a stream, before it is given up
	clientStallTimeout = 1500 * time.Millisecond // without a byte of a client's body; no client may send slower than minClientRate
	minClientRate      = 48 << 10                // bytes per second; clients send 64 kB
	minUpstreamRate    = 1 << 10                 // bytes per second of a response, far below what any backend sends
)

var (
	errStalled      = errors.New("stream stalled")
	errRequestEnded = errors.New("request ended")
)

// bufferBudget bounds the memory for stream buffers.
type bufferBudget struct{ remaining atomic.Int64 }

// newBufferBudget gives streams an eighth of the memory; 0 MB means the default of 64.
func newBufferBudget(memoryMB int) *bufferBudget {
	b := &bufferBudget{}
	if memoryMB == 0 {
		memoryMB = 64
	}
	b.remaining.Store(int64(memoryMB) << 20 / 8)
	return b
}

// get returns a buffer and the function that gives it back. It never fails: once the budget is used up, buffers are small
// and not counted.
func (b *bufferBudget) get() ([]byte, func()) {
	size := int64(streamBufferSize)
	if b.remaining.Add(-size) < 0 {
		b.remaining.Add(size)
		return make([]byte, minBufferSize), func() {}
	}
	return make([]byte, size), func() { b.remaining.Add(size) }
}

// minThroughputReader reads a client's body and fails if it arrives slower than any proper client sends. Only time spent
// waiting for the client counts, not time in which the backend does not read.
type minThroughputReader struct {
	source    io.Reader
	control   *http.ResponseController
	allowance time.Duration
	maxGap    time.Duration // for the next byte
	waited    time.Duration
	received  int64
}

func (r *minThroughputReader) Read(b []byte) (int, error) {
	readStart := time.Now()
	remaining := r.allowance + time.Duration(r.received)*time.Second/minClientRate - r.waited
	if err := r.control.SetReadDeadline(readStart.Add(min(remaining, r.maxGap))); err != nil {
		return 0, err
	}
	n, err := r.source.Read(b)
	r.waited += time.Since(readStart)
	if r.received += int64(n); r.received > maxStreamBytes {
		return 0, &http.MaxBytesError{Limit: maxStreamBytes}
	}
	return n, err
}

// upload is the remainder of a large body, on its way from its client to one backend.
type upload struct {
	length        int64 // bytes of the complete body; -1: unknown
	pipeWriter    *io.PipeWriter
	pipeReader    *io.PipeReader
	streamStarted atomic.Bool   // an attempt has read beyond the buffered part, so that the body can't be sent again
	completed     chan struct{} // closed when the last byte has arrived
	completedAt   time.Time     // valid once completed is closed
	failed        chan struct{} // closed if the last byte will never arrive
	err           error         // the reason; valid once failed is closed
}

func newUpload(length int64) *upload {
	u := &upload{length: length, completed: make(chan struct{}), failed: make(chan struct{})}
	u.pipeReader, u.pipeWriter = io.Pipe()
	return u
}

// complete reports whether the last byte has arrived.
func (u *upload) complete() bool {
	select {
	case <-u.completed:
		return true
	default:
		return false
	}
}

// pump copies the body from the client to the attempt, no faster than the attempt reads. If the client fails, only the
// frontend is notified; the event loop then cancels the attempt, since the backend is not to blame.
func (u *upload) pump(body *minThroughputReader, b *bufferBudget) {
	buf, free := b.get()
	defer free()
	for {
		n, err := body.Read(buf)
		if errors.Is(err, io.EOF) {
			if err := body.control.SetReadDeadline(time.Time{}); err != nil { // left running it would look like a disconnected client
				u.fail(err)
				return
			}
			u.completedAt = time.Now()
			close(u.completed)
		} else if err != nil {
			u.fail(err)
			return
		}
		if n > 0 && !u.forward(buf[:n]) {
			return
		}
		if err != nil {
			u.pipeWriter.Close()
			return
		}
	}
}

// forward waits until the attempt has read p. It returns false if no attempt will.
func (u *upload) forward(p []byte) bool {
	stalled := time.AfterFunc(streamStallTimeout, func() { u.stop(errStalled) })
	defer stalled.Stop()
	_, err := u.pipeWriter.Write(p)
	return err == nil
}

func (u *upload) fail(err error) {
	u.err = err
	close(u.failed)
}

// stop makes all further reads and writes of the body fail with err.
func (u *upload) stop(err error) {
	u.pipeWriter.CloseWithError(err)
	u.pipeReader.CloseWithError(err)
}

// requestBody is a streamed body as one attempt reads it: the buffered part, then the upload.
type requestBody struct {
	buffered  []byte
	upload    *upload
	remaining int64       // bytes still to be read; below 0: unknown
	consumed  atomic.Bool // the last byte was handed out
}

func (u *upload) newBody(buffered []byte) *requestBody {
	return &requestBody{buffered: buffered, upload: u, remaining: u.length}
}

func (b *requestBody) Read(p []byte) (n int, err error) {
	if len(b.buffered) > 0 {
		n = copy(p, b.buffered)
		b.buffered = b.buffered[n:]
	} else {
		b.upload.streamStarted.Store(true)
		n, err = b.upload.pipeReader.Read(p)
	}
	if b.remaining -= int64(n); b.remaining == 0 || errors.Is(err, io.EOF) {
		b.consumed.Store(true)
	}
	return n, err
}

func (b *requestBody) Close() error { return nil } // the upload outlives an attempt that never read from it

// attemptTimer cancels an attempt at its deadline, unless its response has started by then.
type attemptTimer struct {
	cancel context.CancelCauseFunc

	mu              sync.Mutex
	timer           *time.Timer
	responseStarted bool
	expired         bool
}

func (t *attemptTimer) arm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.responseStarted && t.timer == nil {
		t.timer = time.AfterFunc(time.Until(at), func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.responseStarted {
				t.expired = true
				t.cancel(errTimedOut)
			}
		})
	}
}

// disarm stops the timer for good. It returns false if the attempt had expired before.
func (t *attemptTimer) disarm() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.responseStarted = !t.expired
	return t.responseStarted
}

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

// readResult is the result of one read of a response of unknown length.
type readResult struct {
	data []byte
	err  error
}

// bufferedResponse reads a response of unknown length in its own goroutine, so that the bytes that have arrived can be
// passed on while more are awaited. The goroutine ends with the response, or once done is closed.
type bufferedResponse struct {
	results  chan readResult
	consumed chan struct{} // the last result's data is no longer in use
	done     <-chan struct{}
	unread   readResult
}

func bufferResponse(r io.Reader, buf []byte, done <-chan struct{}) *bufferedResponse {
	b := &bufferedResponse{results: make(chan readResult), consumed: make(chan struct{}), done: done}
	go func() {
		for {
			n, err := r.Read(buf)
			select {
			case b.results <- readResult{buf[:n], err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
			select {
			case <-b.consumed:
			case <-done:
				return
			}
		}
	}()
	return b
}

// readUpTo returns what arrives until there are more than limit bytes, the response ends, or the timeout is over and
// there is something. more reports that the response has not ended.
func (b *bufferedResponse) readUpTo(limit int, timeout time.Duration) (buffered []byte, more bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for len(buffered) <= limit {
		select {
		case result := <-b.results:
			buffered = append(buffered, result.data...)
			if errors.Is(result.err, io.EOF) {
				return buffered, false, nil
			}
			if result.err != nil {
				return buffered, false, result.err
			}
			select {
			case b.consumed <- struct{}{}:
			case <-b.done:
				return buffered, false, errRequestEnded
			}
		case <-timer.C:
			if len(buffered) > 0 {
				return buffered, true, nil
			}
			timer.Reset(timeout) // no byte yet: nothing could be passed on
		case <-b.done:
			return buffered, false, errRequestEnded
		}
	}
	return buffered, true, nil
}

func (b *bufferedResponse) Read(p []byte) (int, error) {
	if len(b.unread.data) == 0 && b.unread.err == nil {
		select {
		case b.unread = <-b.results:
		case <-b.done:
			return 0, errRequestEnded
		}
	}
	n := copy(p, b.unread.data)
	if b.unread.data = b.unread.data[n:]; len(b.unread.data) > 0 {
		return n, nil
	}
	if b.unread.err == nil {
		select {
		case b.consumed <- struct{}{}:
		case <-b.done:
			return n, errRequestEnded
		}
	}
	return n, b.unread.err
}

// limitKernelBuffers keeps the kernel from buffering megabytes of a stream for a socket.
func limitKernelBuffers(c net.Conn) {
	if t, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// If it is refused, the kernel's own bound applies.
		_ = t.SetReadBuffer(kernelBufferSize)
		_ = t.SetWriteBuffer(kernelBufferSize)
	}
}
