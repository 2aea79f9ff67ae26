package clientconn

// This file implements the connection that net/http gets for one request.

import (
	"io"
	"net"
	"os"
	"time"

	"martenbeam/internal/agent/membudget"
)

// Exchange is one request on a client's connection and its response, as a connection that net/http serves. It ends after the
// response; the client's connection then waits for its next request. Its methods may be called from any goroutine.
type Exchange struct {
	*Conn
	Head   Head
	Memory *membudget.Reservation // for the request, released when the exchange is closed

	AdmittedAt time.Time     // when the memory was reserved
	Waited     time.Duration // for the memory, while the rest of a body was not read

	// The Conn's mu guards the fields below.
	unread int64 // bytes of the request that the server has not read; below 0: unknown
	ended  bool  // the response is complete, or the exchange was closed
	closed bool
}

// Read returns bytes of the request, and waits while there are none. After the last one it waits until the response is complete
// and then returns io.EOF, or until the client has disconnected.
func (x *Exchange) Read(p []byte) (int, error) {
	c := x.Conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case x.ended:
			return 0, io.EOF
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil && (len(c.readAhead) == 0 || x.unread == 0 || c.responsePending || c.requestsAnswered > 0 || c.closing):
			return 0, c.readErr
		case len(c.readAhead) > 0 && x.unread != 0:
			if x.unread > 0 {
				p = p[:min(x.unread, int64(len(p)))]
			}
			n := c.takeReadAhead(p)
			if x.unread > 0 {
				x.unread -= int64(n)
			}
			return n, nil
		}
		c.changed.Wait()
	}
}

// SetReadDeadline sets the deadline of the server's reads; zero: none. It has no effect once the response is complete.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.ended {
		x.setReadDeadline(t)
	}
	return nil
}

// SetDeadline sets the deadline of the server's reads and writes.
func (x *Exchange) SetDeadline(t time.Time) error {
	if err := x.SetReadDeadline(t); err != nil {
		return err
	}
	return x.SetWriteDeadline(t)
}

// MarkResponseComplete ends the exchange, so that its connection waits for its next request.
func (x *Exchange) MarkResponseComplete() {
	x.Conn.MarkResponseComplete()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	x.changed.Broadcast()
}

// CloseWrite shuts down the sending side after an error response. net/http has returned its buffers by then, but keeps the
// exchange open for some time.
func (x *Exchange) CloseWrite() error {
	x.Memory.Release()
	return x.Conn.CloseWrite()
}

// Close ends the exchange. The client's connection is closed too unless the response is complete and the connection stays open.
func (x *Exchange) Close() error {
	x.mu.Lock()
	if x.closed {
		x.mu.Unlock()
		return net.ErrClosed
	}
	staysOpen := x.ended
	x.closed, x.ended = true, true
	x.changed.Broadcast()
	x.mu.Unlock()
	x.Memory.Release()
	if !staysOpen {
		return x.Conn.Close()
	}
	x.Conn.awaitNextRequest()
	return nil
}
