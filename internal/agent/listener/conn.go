package listener

// This file is a connection that Limited has accepted.

import (
	"net"
	"time"
)

// Conn is a TCP connection that holds one of a Limited listener's slots until it is closed. It keeps the methods of a
// TCP connection: without CloseWrite, net/http would close at once after the last response, and a reset could overtake
// it.
type Conn struct {
	*net.TCPConn
	release func()        // gives the slot back; may be called again
	queued  time.Duration // see Queued
}

// Queued is the longest time for which the connection may have waited in the kernel's accept queue; 0: it was accepted
// at once.
func (c *Conn) Queued() time.Duration { return c.queued }

// Close closes the connection and gives its slot back, once however often it is called.
func (c *Conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
