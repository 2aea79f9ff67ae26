package listener

import (
	"net"
	"time"
)

// Conn is a connection that Limited has accepted. It keeps the methods of a ListenTCP connection: with no CloseWrite, net/http
// would close at once after a last answer, and a reset could overtake it.
type Conn struct {
	*net.TCPConn
	release func()
	queued  time.Duration
}

// Queued is how long the connection may have waited in the kernel's queue at the most; 0: it was accepted at once.
func (c *Conn) Queued() time.Duration { return c.queued }

// Close ends the connection and gives its slot back.
func (c *Conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
