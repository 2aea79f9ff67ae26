package agent

// Streamed request bodies.

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

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
