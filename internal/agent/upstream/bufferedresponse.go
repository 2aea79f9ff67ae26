package upstream

// This file reads responses of unknown length. A response is streamed only if it is longer than MaxBufferedBody, or has
// not ended after bufferingTimeout.

import (
	"errors"
	"io"
	"time"
)

// readResult is the result of one read of a response of unknown length.
type readResult struct {
	data []byte
	err  error
}

// bufferedResponse reads a response of unknown length in its own goroutine, so that bytes that have arrived can be
// forwarded while a read is blocked. The goroutine ends with the response, or once done is closed.
type bufferedResponse struct {
	results    chan readResult
	bufferFree chan struct{} // receives a value when the data of the last result is no longer in use
	done       <-chan struct{}
	unread     readResult // rest of the last result, not yet returned by Read
}

// bufferResponse starts a goroutine that reads r into buf until r ends or done is closed, and returns a reader of the
// bytes that arrive.
func bufferResponse(r io.Reader, buf []byte, done <-chan struct{}) *bufferedResponse {
	b := &bufferedResponse{results: make(chan readResult), bufferFree: make(chan struct{}), done: done}
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
			case <-b.bufferFree:
			case <-done:
				return
			}
		}
	}()
	return b
}

// readUpTo returns the bytes that arrive until they exceed limit or the response ends. After the timeout it returns as
// soon as at least one byte has arrived. more reports that the response has not ended. err is the error of a
// read from the backend, or ErrRequestEnded once done is closed.
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
			case b.bufferFree <- struct{}{}:
			case <-b.done:
				return buffered, false, ErrRequestEnded
			}
		case <-timer.C:
			if len(buffered) > 0 {
				return buffered, true, nil
			}
			timer.Reset(timeout) // no byte has arrived that could be forwarded
		case <-b.done:
			return buffered, false, ErrRequestEnded
		}
	}
	return buffered, true, nil
}

// Read returns the bytes after those that readUpTo returned.
func (b *bufferedResponse) Read(p []byte) (int, error) {
	if len(b.unread.data) == 0 && b.unread.err == nil {
		select {
		case b.unread = <-b.results:
		case <-b.done:
			return 0, ErrRequestEnded
		}
	}
	n := copy(p, b.unread.data)
	if b.unread.data = b.unread.data[n:]; len(b.unread.data) > 0 {
		return n, nil
	}
	if b.unread.err == nil {
		select {
		case b.bufferFree <- struct{}{}:
		case <-b.done:
			return n, ErrRequestEnded
		}
	}
	return n, b.unread.err
}
