package upstream

// Streamed request bodies.

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Upload is the remainder of a large body, on its way from its client to one backend.
type Upload struct {
	length        int64 // bytes of the complete body; -1: unknown
	pipeWriter    *io.PipeWriter
	pipeReader    *io.PipeReader
	streamStarted atomic.Bool   // an attempt has read beyond the buffered part, so that the body can't be sent again
	completed     chan struct{} // closed when the last byte has arrived
	completedAt   time.Time     // valid once completed is closed
	failed        chan struct{} // closed if the last byte will never arrive
	err           error         // the reason; valid once failed is closed
}

// NewUpload returns the upload of a body of length bytes; -1: unknown.
func NewUpload(length int64) *Upload {
	u := &Upload{length: length, completed: make(chan struct{}), failed: make(chan struct{})}
	u.pipeReader, u.pipeWriter = io.Pipe()
	return u
}

// Completed is closed when the last byte has arrived.
func (u *Upload) Completed() <-chan struct{} { return u.completed }

// CompletedAt returns when the last byte arrived. It may be called once Completed is closed.
func (u *Upload) CompletedAt() time.Time { return u.completedAt }

// Failed is closed if the last byte will never arrive.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Err returns why the client failed to send the body. It may be called once Failed is closed.
func (u *Upload) Err() error { return u.err }

// IsComplete reports whether the last byte has arrived.
func (u *Upload) IsComplete() bool {
	select {
	case <-u.completed:
		return true
	default:
		return false
	}
}

// ClientBody is a body as it arrives from its client.
type ClientBody interface {
	io.Reader
	// ClearDeadline ends the deadline for the client, once the body has been read to its end.
	ClearDeadline() error
}

// Pump copies the body from the client to the attempt, no faster than the attempt reads, and returns when it is complete, or
// can't be. If the client fails only Failed tells: whoever waits for it cancels the attempt, since the backend is not to blame.
func (u *Upload) Pump(body ClientBody, b *Buffers) {
	buf, free := b.Get()
	defer free()
	for {
		n, err := body.Read(buf)
		if errors.Is(err, io.EOF) {
			if err := body.ClearDeadline(); err != nil { // left running it would look like a disconnected client
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
func (u *Upload) forward(p []byte) bool {
	stallTimer := time.AfterFunc(StallTimeout, func() { u.Stop(ErrStalled) })
	defer stallTimer.Stop()
	_, err := u.pipeWriter.Write(p)
	return err == nil
}

func (u *Upload) fail(err error) {
	u.err = err
	close(u.failed)
}

// Stop makes all further reads and writes of the body fail with err.
func (u *Upload) Stop(err error) {
	u.pipeWriter.CloseWithError(err)
	u.pipeReader.CloseWithError(err)
}

// requestBody is a streamed body as one attempt reads it: the buffered part, then the upload.
type requestBody struct {
	buffered  []byte
	upload    *Upload
	remaining int64       // bytes still to be read; below 0: unknown
	consumed  atomic.Bool // the last byte was handed out
}

// NewBody returns the body as one attempt reads it; buffered is its beginning.
func (u *Upload) NewBody(buffered []byte) io.ReadCloser { return u.newBody(buffered) }

func (u *Upload) newBody(buffered []byte) *requestBody {
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
