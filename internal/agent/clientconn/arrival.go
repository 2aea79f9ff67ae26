package clientconn

// This file follows the arrival of a request, and decides when it is passed to net/http.

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"martenbeam/internal/tcpinfo"
)

// phase is the state of a connection of a Gate.
type phase int

const (
	arriving phase = iota // no request has arrived completely
	arrived               // a request has arrived, and waits for memory
	serving               // net/http serves it
	refused               // it is answered without net/http, and the connection is closed
)

// unreservedArrival is how many bytes of a request a connection may hold without a reservation.
const unreservedArrival = 2 << 10

// awaitRequest starts the wait for a request, whose first bytes may have arrived already.
func (c *Conn) awaitRequest(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.next = arriving, arrival{}
	c.next.add(c.readAhead)
	c.setReadDeadline(time.Now().Add(timeout))
	if c.next.complete {
		c.setReadDeadline(c.requestStartedAt().Add(c.gate.BodyTimeout))
	}
}

// awaitNextRequest continues after a response, with the bytes that have arrived since.
func (c *Conn) awaitNextRequest() {
	c.awaitRequest(c.gate.HeaderTimeout)
	c.mu.Lock()
	disconnected := c.readErr != nil || c.ctx.Err() != nil
	ready := !disconnected && c.becomeReady()
	c.changed.Broadcast() // the read loop may wait for space
	c.mu.Unlock()
	switch {
	case ready:
		c.admit()
	case disconnected:
		c.Close()
	}
}

// observeArrival parses bytes that were stored. The caller holds mu.
func (c *Conn) observeArrival(p []byte) {
	if c.gate == nil || c.phase != arriving {
		return
	}
	headWasComplete := c.next.complete
	if c.next.Size == 0 && c.requestsAnswered > 0 { // the idle timeout ends
		c.setReadDeadline(time.Now().Add(c.gate.HeaderTimeout))
	}
	c.next.add(p)
	if c.next.complete && !headWasComplete {
		c.setReadDeadline(c.requestStartedAt().Add(c.gate.BodyTimeout))
	}
}

// becomeReady starts the admission of a request that has arrived, and reports whether the caller has to carry it out with
// admit, without mu. The caller holds mu.
func (c *Conn) becomeReady() bool {
	if c.gate == nil || c.closing || c.phase != arriving || !c.next.isReady() {
		return false
	}
	if c.readErr != nil && c.requestsAnswered > 0 { // nobody would read the response
		return false
	}
	c.phase = arrived
	c.setReadDeadline(time.Time{})
	return true
}

// admit reserves the memory of a request that has arrived and passes it to net/http, or rejects it.
func (c *Conn) admit() {
	gate, head, size, timeLeft := c.gate, c.next.Head, c.next.wireSize(), time.Until(c.RequestStartedAt().Add(c.gate.BodyTimeout))
	startedAt := time.Now()
	memory := gate.Admission.ReserveRequest(c.ctx, head, timeLeft)
	if memory == nil {
		c.rejectForMemory()
		return
	}
	admittedAt := time.Now()
	waited := admittedAt.Sub(startedAt)
	if waited > disconnectCheckInterval && c.peerClosed() { // the read loop may have waited here
		c.cancelCtx()
	}
	x := &Exchange{Conn: c, Head: head, Memory: memory, AdmittedAt: admittedAt, unread: size}
	if !head.BodyArrived {
		x.Waited = waited
	}
	c.mu.Lock()
	c.phase = serving
	c.releaseArrival()
	c.changed.Broadcast() // the read loop may wait for space
	c.mu.Unlock()
	gate.serve(x)
}

// growArrival makes room for more bytes of a request than arrivalLimit. It returns false if the connection was closed because the
// header is too long or no memory was left. Only the read loop calls it.
func (c *Conn) growArrival() bool {
	c.mu.Lock()
	limit, head := c.arrivalLimit(), c.gate.MaxHeader+headSlack
	deadline := c.readDeadline
	c.growing = true
	tooLong := !c.next.complete && limit >= head
	c.mu.Unlock()
	if tooLong {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "", "the header is too long")
		return false
	}
	size := min(2*limit, head+MaxAwaitedBody+1)
	ctx, cancel := context.WithDeadline(c.ctx, deadline)
	defer cancel()
	memory := c.gate.Admission.ReserveArrival(ctx, size)
	if memory == nil {
		c.rejectForMemory()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.growing = false
	c.releaseArrival()
	if c.phase != arriving { // a request has been passed on meanwhile, and its own reservation includes these bytes
		memory.Release()
		return true
	}
	c.setReadDeadline(deadline) // it may have passed meanwhile
	c.arrivalMemory, c.arrivalSize = memory, size
	return true
}

// releaseArrival returns the memory that is reserved for what has arrived. The caller holds mu.
func (c *Conn) releaseArrival() {
	c.arrivalMemory.Release()
	c.arrivalMemory = nil
}

// arrivalLimit returns how many bytes may be buffered of a request that arrives. The caller holds mu.
func (c *Conn) arrivalLimit() int {
	if c.arrivalMemory == nil {
		return unreservedArrival
	}
	return c.arrivalSize
}

// expire closes a connection whose request has not arrived in time, or that has been idle for too long.
func (c *Conn) expire() {
	c.mu.Lock()
	expired := c.gate != nil && c.phase == arriving && !c.growing && !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	partial := len(c.readAhead) > 0
	c.mu.Unlock()
	switch {
	case !expired:
	case partial:
		c.refuse(http.StatusRequestTimeout, "", "the request comes too slowly")
	case !c.closeUnlessInRequest(): // bytes have just arrived
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase == arriving && c.next.Size == 0 {
			c.setReadDeadline(time.Now().Add(disconnectCheckInterval))
		}
	}
}

// rejectForMemory answers that the request may be sent again, and closes the connection.
func (c *Conn) rejectForMemory() {
	c.refuse(http.StatusServiceUnavailable, c.gate.RetryAfter, c.gate.RejectionBody)
}

// refuse answers a request that net/http has not got, and closes the connection. Calls after the first do nothing.
func (c *Conn) refuse(status int, fields, text string) {
	c.mu.Lock()
	if c.closing || c.phase == serving || c.phase == refused {
		c.mu.Unlock()
		return
	}
	c.phase = refused
	c.mu.Unlock()
	c.gate.Refused(status)
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), fields, len(text)+1, text) // fails only if the client has disconnected
	c.Close()
}

// peerClosed reports whether the client has disconnected, even if bytes of it are still unread.
func (c *Conn) peerClosed() bool { return tcpinfo.PeerClosed(c.Conn) }
