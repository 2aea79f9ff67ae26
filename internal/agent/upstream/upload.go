package upstream

// This file streams request bodies.

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Upload is the rest of a large body that is being forwarded from its client to one backend.
type Upload struct {
	length        int64 // bytes of the complete body; -1: unknown
	pipeWriter    *io.PipeWriter
	pipeReader    *io.PipeReader
	streamStarted atomic.Bool   // an attempt has read beyond the buffered part, so the body can't be sent again
	blocked       atomic.Bool   // Pump waits for an attempt to read
	completed     chan struct{} // closed when the last byte has been read from the client
	completedAt   time.Time     // valid once completed is closed
	failed        chan struct{} // closed if the last byte will never arrive
	err           error         // the reason; valid once failed is closed
	stalled       chan struct{} // closed if no attempt has read a byte for StallTimeout
}

// NewUpload returns the upload of a body of length bytes; -1: unknown.
func NewUpload(length int64) *Upload {
	u := &Upload{length: length, completed: make(chan struct{}), failed: make(chan struct{}),
		stalled: make(chan struct{})}
	u.pipeReader, u.pipeWriter = io.Pipe()
	return u
}

// Completed is closed when the last byte has been read from the client.
func (u *Upload) Completed() <-chan struct{} { return u.completed }

// CompletedAt returns when the last byte was read. It may be called only after Completed is closed.
func (u *Upload) CompletedAt() time.Time { return u.completedAt }

// Failed is closed if the last byte will never arrive.
func (u *Upload) Failed() <-chan struct{} { return u.failed }

// Err returns why the client failed to send the body. It may be called only after Failed is closed.
func (u *Upload) Err() error { return u.err }

// Stalled is closed if no attempt has read a byte that arrived for StallTimeout. The attempt must be cancelled then: it may
// be blocked in a write to its backend.
func (u *Upload) Stalled() <-chan struct{} { return u.stalled }

// IsBlocked reports whether Pump waits for an attempt to read. The last byte may then have arrived without being read.
func (u *Upload) IsBlocked() bool { return u.blocked.Load() }

// IsComplete reports whether the last byte has been read from the client.
func (u *Upload) IsComplete() bool {
	select {
	case <-u.completed:
		return true
	default:
		return false
	}
}

// ClientBody is a body as it is read from its client.
type ClientBody interface {
	io.Reader
	// ClearDeadline removes the client's read deadline after the body has been read to its end.
	ClearDeadline() error
}

// Pump copies the body from the client to the attempt, no faster than the attempt reads. It returns when the body is
// complete, or the client or the attempt has failed. A failure of the client closes Failed and nothing else: the receiver
// of Failed cancels the attempt, since the failure must not be attributed to the backend. If no attempt reads for
// StallTimeout, Stalled is closed.
func (u *Upload) Pump(body ClientBody, b *Buffers) {
	buf, free := b.Get()
	defer free()
	for {
		n, err := body.Read(buf)
		if errors.Is(err, io.EOF) {
			if err := body.ClearDeadline(); err != nil { // a deadline that expires later would be treated as a disconnect of the client
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

// forward waits until the attempt has read p. It returns false if the upload was stopped, also after StallTimeout.
func (u *Upload) forward(p []byte) bool {
	u.blocked.Store(true)
	defer u.blocked.Store(false)
	stallTimer := time.AfterFunc(StallTimeout, func() {
		close(u.stalled) // at most once: the upload is stopped then
		u.Stop(ErrStalled)
	})
	defer stallTimer.Stop()
	_, err := u.pipeWriter.Write(p)
	return err == nil
}

// fail sets the error of the client and closes Failed.
func (u *Upload) fail(err error) {
	u.err = err
	close(u.failed)
}

// Stop makes all further reads and writes of the body fail with err.
func (u *Upload) Stop(err error) {
	u.pipeWriter.CloseWithError(err)
	u.pipeReader.CloseWithError(err)
}

// requestBody is a streamed body for one attempt to read: the buffered part, then the upload.
type requestBody struct {
	buffered  []byte
	upload    *Upload
	remaining int64       // bytes not yet read; below 0: unknown
	fullyRead atomic.Bool // the last byte has been read
}

// NewBody returns the body for one attempt to read. buffered is the part before the upload.
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
		b.fullyRead.Store(true)
	}
	return n, err
}

func (b *requestBody) Close() error { return nil } // an attempt that has read nothing of the upload leaves it to the next attempt
