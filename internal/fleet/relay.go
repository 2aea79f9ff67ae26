package fleet

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
	relayHeartbeatInterval = time.Second             // an empty line to those who follow here
	relayMaxServiceAge     = 3500 * time.Millisecond // since the list service was last heard by who relays
	relayTimeout           = 2500 * time.Millisecond // of a relay, after which it counts as dead
	maxRelayAttempts       = 2                       // relays asked before the service itself is
	maxRelayDeltas         = 64                      // changes kept for those who are a little behind
	largeSiteMembers       = 20                      // members from which on a site has two relays
	relayPeerWait          = time.Second             // until others can have been met: who met nobody asks for itself
)

// relay passes the list of backends on to other members, as discovery writes it, and policies.
type relay struct {
	fleet  *Fleet
	server *http.Server
	conns  chan net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu                sync.Mutex
	version           int64
	fullList          []byte          // the list, full; nil: none came from the service itself
	deltas            map[int64]delta // by the version that they start from
	deltaOrder        []int64
	serviceReceivedAt time.Time // when the service was last heard, directly
	changed           chan struct{}
}

type delta struct {
	to   int64
	line []byte
}

func newRelay(fleet *Fleet) *relay {
	r := &relay{fleet: fleet, conns: make(chan net.Conn), deltas: map[int64]delta{}, changed: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 3 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	return r
}

// serveConn takes a connection of the fleet that is an HTTP call.
func (r *relay) serveConn(c net.Conn) {
	select {
	case r.conns <- c:
	case <-r.ctx.Done():
		c.Close()
	}
}

type connListener struct{ *relay }

func (l connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (h connListener) Close() error { return nil }

func (h connListener) Addr() net.Addr { return &net.TCPAddr{} }

func (r *relay) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { r.cancel(); r.server.Close() })
	defer stop()
	_ = r.server.Serve(connListener{r}) // ends with ctx
}

// recordLiveness takes that the list service itself was heard. Lists that came by a relay are not passed on: every list here is
// one step from the service.
func (r *relay) recordLiveness() {
	r.mu.Lock()
	r.serviceReceivedAt = time.Now()
	r.mu.Unlock()
}

// recordUpdate takes a message of the service: what changed from a version on, and the list as it stands now.
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

// changesSince is what to write to one who has a version: nil: nothing new.
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

func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.fleet.serveDocument(w, req) {
		return
	}
	if req.URL.Path != "/catalog/members" {
		r.fleet.cfg.HTTPHandler.ServeHTTP(w, req)
		return
	}
	version, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64) // absent or odd: the whole list
	arrivedAt, first := time.Now(), true
	for {
		lines, to, fresh, changed := r.changesSince(version)
		if !fresh && time.Since(arrivedAt) > relayMaxServiceAge { // who waits here had better ask elsewhere
			if first {
				http.Error(w, "the list service is not heard here", http.StatusServiceUnavailable)
			}
			return
		}
		if fresh || !first {
			first = false
			version = to
			if len(lines) == 0 {
				lines = [][]byte{nil}
			}
			for _, line := range lines {
				if _, err := w.Write(append(line[:len(line):len(line)], '\n')); err != nil {
					return
				}
			}
			if http.NewResponseController(w).Flush() != nil {
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
