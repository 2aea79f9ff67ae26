package listener

// This file implements the connections that Limited accepts.

import (
	"net"
	"time"
)

// Conn is a TCP connection that uses one of a Limited listener's slots until it is closed. It has all methods of a TCP
// connection: without CloseWrite, net/http would close the connection right after the last response, and a reset could
// overtake the response.
type Conn struct {
	*net.TCPConn
	freeSlot func()        // frees the slot; calls after the first do nothing
	queued   time.Duration // see Queued
}

// Queued returns the longest time that the connection may have waited in the kernel's accept queue; 0 if it was accepted
// at once.
func (c *Conn) Queued() time.Duration { return c.queued }

// Close closes the connection and frees its slot. It may be called more than once; the slot is freed only once.
func (c *Conn) Close() error {
	defer c.freeSlot()
	return c.TCPConn.Close()
}
