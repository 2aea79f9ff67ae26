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

// Bodies and answers larger than maxBufferedBody pass through: they are never held whole.
const (
	maxStreamBytes     = 32 << 20                // bytes of a body or an answer; a body past it is turned away
	streamBufferSize   = 32 << 10                // passed on at once, while the budget lasts
	minBufferSize      = 4 << 10                 // and after that
	kernelBufferSize   = 256 << 10               // what the kernel holds of a stream on either side
	bufferingTimeout   = 50 * time.Millisecond   // an answer of unknown length is held back while it may turn out small
	streamStallTimeout = 10 * time.Second        // without a byte of a stream, before it is given up
	clientStallTimeout = 1500 * time.Millisecond // without a byte of a client's body: nobody may send it slower than minClientRate
	minClientRate      = 48 << 10                // bytes a second; clients send 64 kB
	minUpstreamRate    = 1 << 10                 // bytes a second of an answer, far below what any backend sends
)

var (
	errStalled      = errors.New("no byte has passed for too long")
	errRequestEnded = errors.New("the request has ended")
)

// bufferBudget is the budget for what passes through.
type bufferBudget struct{ remaining atomic.Int64 }

// newBufferBudget gives streams an eighth of the memory.
func newBufferBudget(memoryMB int) *bufferBudget {
	b := &bufferBudget{}
	if memoryMB == 0 {
		memoryMB = 64
	}
	b.remaining.Store(int64(memoryMB) << 20 / 8)
	return b
}

// get returns a buffer, and what gives it back. There is always one: past the budget it is small.
func (b *bufferBudget) get() ([]byte, func()) {
	size := int64(streamBufferSize)
	if b.remaining.Add(-size) < 0 {
		b.remaining.Add(size)
		return make([]byte, minBufferSize), func() {}
	}
	return make([]byte, size), func() { b.remaining.Add(size) }
}

// minThroughputReader reads a client's body and gives up one that is slower than any proper client. Only the time
// spent waiting for the client counts.
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

// upload is what is left of a large body, on its way from its client to one backend.
type upload struct {
	length        int64 // of the whole body; -1: unknown
	pipeWriter    *io.PipeWriter
	pipeReader    *io.PipeReader
	streamStarted atomic.Bool   // an attempt has asked for more than what is held: it can't be sent again
	completed     chan struct{} // closed once its last byte has come
	completedAt   time.Time     // when; may be read once whole is closed
	failed        chan struct{} // closed where it never will
	err           error         // why; may be read once failed is closed
}

func newUpload(length int64) *upload {
	u := &upload{length: length, completed: make(chan struct{}), failed: make(chan struct{})}
	u.pipeReader, u.pipeWriter = io.Pipe()
	return u
}

// complete reports whether the last byte has come.
func (u *upload) complete() bool {
	select {
	case <-u.completed:
		return true
	default:
		return false
	}
}

// pump reads from the client and hands on, no faster than the attempt takes it. A client that fails is
// told to the front alone: the attempt is withdrawn by the loop, since the backend is not to blame.
func (u *upload) pump(body *minThroughputReader, b *bufferBudget) {
	buf, free := b.get()
	defer free()
	for {
		n, err := body.Read(buf)
		if errors.Is(err, io.EOF) {
			if err := body.control.SetReadDeadline(time.Time{}); err != nil { // left running it would pass for a hang-up
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

// forward waits until the attempt has taken p.
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

// stop ends what reads and what writes it.
func (u *upload) stop(err error) {
	u.pipeWriter.CloseWithError(err)
	u.pipeReader.CloseWithError(err)
}

// requestBody is a large body as one attempt reads it.
type requestBody struct {
	buffered  []byte
	upload    *upload
	remaining int64       // bytes that are still to be read; below 0: unknown
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

func (b *requestBody) Close() error { return nil } // the upload outlives an attempt that never began it

// attemptTimer ends an attempt at its time, unless its answer has begun by then.
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

// disarm reports whether the answer has begun in time. After that no time ends it.
func (t *attemptTimer) disarm() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.responseStarted = !t.expired
	return t.responseStarted
}

// responseStream is what is left of a large answer, on its way from its backend to the client.
type responseStream struct {
	length int64 // of the whole answer; -1: unknown
	source io.Reader
	cancel context.CancelCauseFunc // of the attempt
	free   func()                  // gives back the buffer
	once   sync.Once
	done   chan struct{}
	err    error // the backend broke it off, or errRequestEnded: nobody wants the rest; may be read once ended is closed
}

func (s *responseStream) finish(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
	})
}

// isTooSlow reports whether a backend sends its answer slower than any would, after it was waited for so long, with so many bytes:
// one that drips for good never ends. The client's deadline is no bound: of a long answer its first bytes are timed, and what
// its backend still gives must not be cut off.
func isTooSlow(waited time.Duration, received int64) bool {
	return waited > streamStallTimeout+time.Duration(received)*time.Second/minUpstreamRate
}

// readResult is one read of an answer of unknown length.
type readResult struct {
	data []byte
	err  error
}

// bufferedResponse reads an answer whose length is not known, in a goroutine of its own, so that what has come
// can go on while more is awaited. The goroutine ends with the answer, or once its body is closed.
type bufferedResponse struct {
	results  chan readResult
	consumed chan struct{} // the last chunk is used up
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

// readUpTo returns what comes until there are most bytes, the answer ends, or the time is up. More tells
// that it has not ended.
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
			timer.Reset(timeout) // no byte yet: nothing could go on
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

// limitKernelBuffers keeps the kernel from holding megabytes of a stream on a connection.
func limitKernelBuffers(c net.Conn) {
	if t, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// One that is refused leaves the kernel's own bound.
		_ = t.SetReadBuffer(kernelBufferSize)
		_ = t.SetWriteBuffer(kernelBufferSize)
	}
}
