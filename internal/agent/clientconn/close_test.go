package clientconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// If the client never closes its side, the read loop continues for lingerTimeout after Close, and then closes the socket.
func TestLingeringConnectionIsClosedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		c := New(&halfPipe{Conn: server})
		done := make(chan struct{})
		go func() { c.readLoop(); close(done) }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		if _, err := c.Write([]byte("response")); err != nil {
			t.Fatal(err)
		}
		closedAt := time.Now()
		c.Close()
		if <-done; time.Since(closedAt) != lingerTimeout {
			t.Errorf("connection closed after %v, want lingerTimeout (500 ms)", time.Since(closedAt))
		}
		if _, err := server.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("write after the lingering: error %v, want io.ErrClosedPipe", err)
		}
	})
}

// halfPipe is a pipe with a CloseWrite method, as a TCP connection has. The method does nothing.
type halfPipe struct{ net.Conn }

func (halfPipe) CloseWrite() error { return nil }
