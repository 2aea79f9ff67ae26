package fleet

// This file is the HTTP server on the fleet's address, which relays the endpoint list to other members.

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	relayHeartbeatInterval = time.Second             // between two empty lines to a follower, a client of the list, while the list does not change
	relayMaxServiceAge     = 3500 * time.Millisecond // a relay that received nothing from the list service for this time sends no list
	maxRelayDeltas         = 64                      // changes kept for followers that are a few versions behind
)

// relay serves HTTP requests of other members: for the endpoint list, in the format of the list service, for documents, and
// for all other paths through Config.HTTPHandler. It relays only lists that this process received from the list service
// itself, never from another relay, so that a list passes through at most one relay.
type relay struct {
	fleet  *Fleet
	server *http.Server
	conns  chan net.Conn // from serveConn to the server
	ctx    context.Context
	cancel context.CancelFunc

	mu                sync.Mutex // protects all below
	version           int64
	fullList          []byte          // JSON of the list at version; nil: none was received from the list service
	deltas            map[int64]delta // changes by the version that they start from
	deltaOrder        []int64         // the keys of deltas, oldest first
	serviceReceivedAt time.Time       // when anything was last received from the list service
	changed           chan struct{}   // closed and replaced with each update
}

// delta is a change of the list.
type delta struct {
	to   int64  // the version that it leads to
	line []byte // JSON
}

// newRelay returns a relay without a list.
func newRelay(fleet *Fleet) *relay {
	r := &relay{fleet: fleet, conns: make(chan net.Conn), deltas: map[int64]delta{}, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 3 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	return r
}

// serveConn passes a connection with an HTTP request to the server. It waits until the server accepts the connection or has
// ended.
func (r *relay) serveConn(c net.Conn) {
	select {
	case r.conns <- c:
	case <-r.ctx.Done():
		c.Close()
	}
}

// connListener is the listener of the server: its connections come from serveConn.
type connListener struct{ *relay }

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close does nothing: the member list owns the socket.
func (l connListener) Close() error { return nil }

// Addr returns no address; the server only logs it.
func (l connListener) Addr() net.Addr { return &net.TCPAddr{} }

// run serves until ctx ends.
func (r *relay) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { r.cancel(); r.server.Close() })
	defer stop()
	_ = r.server.Serve(connListener{r}) // returns an error once the server is closed, which happens when ctx ends
}

// recordLiveness records that something was received from the list service itself.
func (r *relay) recordLiveness() {
	r.mu.Lock()
	r.serviceReceivedAt = time.Now()
	r.mu.Unlock()
}

// recordUpdate records an update from the list service: the change between two versions, nil if the service sent the full
// list, and the full list at the later version. It discards the kept changes on a full list, or if there are more than
// maxRelayDeltas, and notifies all followers.
func (r *relay) recordUpdate(from, to int64, change, fullList []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change == nil || len(r.deltaOrder) > maxRelayDeltas {
		clear(r.deltas)
		r.deltaOrder = nil
	}
	if change != nil {
		r.deltas[from] = delta{to, change}
		r.deltaOrder = append(r.deltaOrder, from)
	}
	r.version, r.fullList = to, fullList
	close(r.changed)
	r.changed = make(chan struct{})
}

// changesSince returns the lines that bring a follower from its version to the latest one: the changes between them or, if
// not all changes are kept, the full list; nil if the follower has the latest version or there is no list. fresh reports
// whether this process has a list and received anything from the list service within relayMaxServiceAge. changed is closed
// with the next update.
func (r *relay) changesSince(version int64) (lines [][]byte, to int64, fresh bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh = r.fullList != nil && time.Since(r.serviceReceivedAt) < relayMaxServiceAge
	if r.fullList == nil || version == r.version {
		return nil, version, fresh, r.changed
	}
	for next := version; next != r.version; {
		d, known := r.deltas[next]
		if !known || len(lines) > maxRelayDeltas {
			return [][]byte{r.fullList}, r.version, fresh, r.changed
		}
		lines, next = append(lines, d.line), d.to
	}
	return lines, r.version, fresh, r.changed
}

// listPath is the path of the endpoint list, as at the list service.
const listPath = "/catalog/members"

// ServeHTTP serves documents, the endpoint list and Config.HTTPHandler.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case r.fleet.serveDocument(w, req):
	case req.URL.Path == listPath:
		r.serveList(w, req)
	default:
		r.fleet.cfg.HTTPHandler.ServeHTTP(w, req)
	}
}

// serveList sends the list and its changes to a follower until the follower disconnects, or nothing was received from the
// list service for relayMaxServiceAge. A follower to which nothing was sent by then receives status 503.
func (r *relay) serveList(w http.ResponseWriter, req *http.Request) {
	version, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64) // if it is absent or malformed the full list is sent
	arrivedAt, nothingSent := time.Now(), true
	for {
		lines, to, fresh, changed := r.changesSince(version)
		if !fresh && time.Since(arrivedAt) > relayMaxServiceAge { // the follower should use another source
			if nothingSent {
				http.Error(w, "the list service is not heard here", http.StatusServiceUnavailable)
			}
			return
		}
		if fresh || !nothingSent {
			nothingSent = false
			version = to
			if writeLines(w, lines) != nil {
				return
			}
		}
		heartbeat := time.NewTimer(relayHeartbeatInterval)
		select {
		case <-heartbeat.C:
		case <-changed:
			heartbeat.Stop()
		case <-req.Context().Done():
			heartbeat.Stop()
			return
		}
	}
}

// writeLines sends lines to a follower, or an empty line as a heartbeat if there are none.
func writeLines(w http.ResponseWriter, lines [][]byte) error {
	if len(lines) == 0 {
		lines = [][]byte{nil}
	}
	for _, line := range lines {
		if _, err := w.Write(append(line[:len(line):len(line)], '\n')); err != nil {
			return err
		}
	}
	return http.NewResponseController(w).Flush()
}
