package clientconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A closed connection whose client never closes is read on for lingerTimeout, and no longer.
func TestLingeringConnectionIsClosedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		c := New(&halfPipe{Conn: far})
		done := make(chan struct{})
		go func() { c.readLoop(); close(done) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		if _, err := c.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		at := time.Now()
		c.Close()
		if <-done; time.Since(at) != lingerTimeout {
			t.Errorf("closed after %v", time.Since(at))
		}
		if _, err := far.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the socket is open: %v", err)
		}
	})
}

// halfPipe is a pipe that seems to be able to end its sending alone, as a TCP connection is.
type halfPipe struct{ net.Conn }

func (halfPipe) CloseWrite() error { return nil }
