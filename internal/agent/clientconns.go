package agent

// Tracks the connections of clients: their number, their memory, and which of them a reply closes.

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/membudget"
)

type exchangeKey struct{}

// exchangeContext returns the context of the request that arrived on a connection, which ends once the client has disconnected.
func exchangeContext(ctx context.Context, c net.Conn) context.Context {
	x, ok := c.(*clientconn.Exchange)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, exchangeKey{}, x))
	context.AfterFunc(x.Context(), cancel)
	return ctx
}

// exchangeOf returns the exchange of a request, or nil if this frontend did not accept its connection.
func exchangeOf(httpReq *http.Request) *clientconn.Exchange {
	x, _ := httpReq.Context().Value(exchangeKey{}).(*clientconn.Exchange)
	return x
}

// clientConnOf returns the connection on which a request arrived, or nil if this frontend did not accept it.
func clientConnOf(httpReq *http.Request) *clientconn.Conn {
	if x := exchangeOf(httpReq); x != nil {
		return x.Conn
	}
	return nil
}

// lastByteAt returns when a request's most recent byte arrived, or the current time if this frontend did not accept its
// connection.
func lastByteAt(httpReq *http.Request) time.Time {
	if c := clientConnOf(httpReq); c != nil {
		return c.LastByteAt()
	}
	return time.Now()
}

// newGate returns the gate for the frontend's clients.
func (f *frontend) newGate() *clientconn.Gate {
	cfg := &clientconn.GateConfig{Admission: f, IdleConns: f.idleConns, MaxHeader: f.cfg.maxHeader(),
		HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, RejectionBody: rejectionText,
		Refused: f.rejections.countRefusal,
		Opened: func() {
			f.connCount.Add(1)
			f.loop.pool.Memory.Add(membudget.ConnMemory)
		},
		Closed: func() {
			f.connCount.Add(-1)
			f.loop.pool.Memory.Remove(membudget.ConnMemory)
		}}
	if f.cfg.Settings.RetryAfter {
		cfg.RetryAfter = "Retry-After: " + strconv.FormatFloat(min(memoryRetryAfter, f.cfg.Settings.MaxRetryAfter).Seconds(), 'f', 3, 64) + "\r\n"
	}
	return clientconn.NewGate(cfg)
}

// trackExchange ends an exchange after its response, so that its connection may be closed as idle.
func (f *frontend) trackExchange(c net.Conn, state http.ConnState) {
	if x, ok := c.(*clientconn.Exchange); ok && state == http.StateIdle {
		x.MarkResponseComplete() // before Track adds its connection to the set
		f.idleConns.Track(x.Conn, state)
	}
}

// atCapacity reports whether more than maxOpen connections are open.
func (f *frontend) atCapacity() bool { return f.connCount.Load() > f.maxOpen.Load() }

// hasConnections reports whether any connection is open.
func (f *frontend) hasConnections() bool { return f.connCount.Load() > 0 }

// closeAfterReply makes the reply close its connection if too many connections are open or the agent is draining.
func (f *frontend) closeAfterReply(w http.ResponseWriter) {
	if f.atCapacity() || f.draining() {
		w.Header().Set("Connection", "close")
	}
}
