package clientconn

// This file determines how much of a request's body has arrived at this machine, whether or not the server has read it.

import (
	"time"

	"martenbeam/internal/tcpinfo"
)

// BodyArrival is what is known of the current request's body on this machine. The kernel accepts bytes that the server
// has not read, so the body's last byte may have arrived although the server has not reached it.
type BodyArrival struct {
	EndKnown     bool      // Complete is certain; false for a chunked body, whose length the connection does not know
	Complete     bool      // the last byte has arrived
	LatestByteAt time.Time // arrival of the latest byte
}

// BodyArrival reports how much of the body of the current request has arrived. The server must be reading that body.
func (c *Conn) BodyArrival() BodyArrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrival := BodyArrival{LatestByteAt: c.lastByteAt}
	unread, known := tcpinfo.UnreadBytes(c.Conn)
	if unread > 0 {
		if at := time.Now().Add(-tcpinfo.SinceLastData(c.Conn)); at.After(arrival.LatestByteAt) {
			arrival.LatestByteAt = at
		}
	}
	arrival.EndKnown = known && !c.untracked
	arrival.Complete = arrival.EndKnown && (c.requestsRead > c.requestsAnswered || c.bodyRemaining <= int64(len(c.readAhead)+unread))
	return arrival
}
