package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/residency/gate"
)

// A backend may answer twice, the second time some milliseconds after the first. On a connection that rests that is seen,
// and ends it; once the next request is written nothing tells it from the answer to that one. A connection that has rested
// for so long goes before one that has not; where bytes came of late that no request had asked for, no other is used: it
// would be one more connection for each backend, and 6% more latency under load, where none ever come.
const (
	secondAnswer = 20 * time.Millisecond
	straysCount  = reuseHalving // for so long after the latest
)

var (
	errTimedOut  = errors.New("timed out")
	errCancelled = errors.New("cancelled")
	errNoSocket  = errors.New("no file descriptor left for another connection")
	errMoved     = errors.New("the list has changed for the backend")
	errOver      = errors.New("the request has its answer")
	errForbidden = errors.New("the residency policy does not permit it")
	errTooLarge  = errors.New("the answer is too large")
	errDetached  = errors.New("operators have detached the backend")
)

// backends holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type backends struct {
	cfg       *Config
	log       *slog.Logger
	transport *http.Transport
	buffers   *buffers
	keepIdle  time.Duration
	most      int // connections at once

	mu     sync.Mutex
	listed map[string]*listing // by backend id
	held   map[string]bool     // nothing is written to these: operators have detached them
	idle   map[string][]*conn  // by backend id, the latest used last
	open   int                 // idle, in use or being dialled
	reuse  reuse
	settle time.Duration // a connection rests for so long, if it can be, before it is used again
	strays time.Time     // when the latest bytes were found that no request had asked for
	closed bool          // no connection is kept

	residency gate.Keeper // nil: no policy
}

// conn is one connection. It carries one request at a time.
type conn struct {
	*http.ClientConn
	net   *backendConn
	addr  string
	since time.Time     // idle since then
	idle  time.Duration // before its present use; 0: new
}

func newBackends(cfg *Config, log *slog.Logger) *backends {
	b := &backends{cfg: cfg, log: log, buffers: newBuffers(cfg.MemoryMB), most: backendSockets(cfg.shareable()),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		keepIdle: cfg.Site.IdleClose * 3 / 4,
		settle:   secondAnswer,
		listed:   map[string]*listing{}, held: map[string]bool{}, idle: map[string][]*conn{}}
	b.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		// The dialled connection goes into the context's slot, which tells what was written on it.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialer := net.Dialer{KeepAlive: -1}
			if cfg.DialFrom != "" {
				dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.DialFrom)}
			}
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := newBackendConn(c)
			if slot, ok := ctx.Value(slotKey{}).(*dialSlot); ok {
				slot.conn = conn
			}
			return conn, nil
		},
	}
	return b
}

type (
	slotKey  struct{}
	dialSlot struct{ conn *backendConn }
)

// listing is what the list says of a backend, as far as it binds an attempt that is decided and not yet written. A change
// makes a new one.
type listing struct {
	addr       string
	zone, cell int
	draining   bool
}

// update takes a change of the list. Connections that rest at a backend that is gone, drains or has moved are
// closed: under its new address another process answers, and one that drains wants nothing new.
func (b *backends) update(e discovery.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Endpoints.Kind != balancer.ListDelta && e.Endpoints.Kind != balancer.ListFailed {
		for id := range b.listed {
			if _, listed := e.Addrs[id]; !listed {
				b.forget(id)
			}
		}
	}
	for _, m := range e.Endpoints.Backends {
		addr, ok := e.Addrs[m.ID]
		if !ok {
			b.forget(m.ID)
			continue
		}
		now := listing{addr: addr, zone: m.Zone, cell: m.Cell, draining: m.State != balancer.Up}
		if old := b.listed[m.ID]; old == nil || *old != now {
			b.listed[m.ID] = &now
			if old != nil && (old.addr != addr || now.draining) {
				b.dropIdle(m.ID)
			}
		}
	}
}

// detach has nothing written to a backend any more, or again. Its kept connections are dropped
// both times: operators restart it in between.
func (b *backends) detach(id string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if on {
		b.held[id] = true
	} else {
		delete(b.held, id)
	}
	b.dropIdle(id)
}

// forget drops a backend's address and its idle connections. The lock is held.
func (b *backends) forget(id string) {
	delete(b.listed, id)
	b.dropIdle(id)
}

// dropIdle closes a backend's idle connections. The lock is held.
func (b *backends) dropIdle(id string) {
	for _, c := range b.idle[id] {
		b.drop(c)
	}
	delete(b.idle, id)
}

// drop closes a connection. The lock is held; closing a socket does not block.
func (b *backends) drop(c *conn) {
	b.open--
	if c.net.strayed() {
		b.strays = time.Now()
	}
	c.Close()
}

// take returns an idle connection to a backend, or the address at which to dial one.
func (b *backends) take(id string) (*conn, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.listed[id]
	switch {
	case at == nil:
		return nil, "", errMoved
	case b.held[id]:
		return nil, "", errDetached
	}
	b.idle[id] = slices.DeleteFunc(b.idle[id], func(c *conn) bool {
		usable := b.usable(c)
		if !usable {
			b.drop(c)
		}
		return !usable
	})
	if i := b.rested(b.idle[id]); i >= 0 {
		c := b.idle[id][i]
		b.idle[id] = slices.Delete(b.idle[id], i, i+1)
		c.idle = max(1, time.Since(c.since))
		return c, at.addr, nil
	}
	if b.open >= b.most && !b.evict() {
		return nil, "", errNoSocket
	}
	b.open++
	return nil, at.addr, nil
}

// rested returns which of a backend's idle connections is to be used: the latest that has rested, else the latest; below 0:
// none. The lock is held.
func (b *backends) rested(idle []*conn) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if time.Since(idle[i].since) >= b.settle {
			return i
		}
	}
	if time.Since(b.strays) < straysCount {
		return -1
	}
	return len(idle) - 1
}

// usable reports whether an idle connection may carry a request. The lock is held.
func (b *backends) usable(c *conn) bool {
	idle := time.Since(c.since)
	return c.Err() == nil && idle < b.keepIdle && !b.reuse.doubtful(idle)
}

// standing is what the list says of a backend now; nil: nothing.
func (b *backends) standing(id string) *listing {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[id]
}

// clear reports why an attempt that was decided may not be written now: a request that has its answer, or a backend that
// the list or operators have taken out since, or moved to where a repeat is none. nil: it may.
func (b *backends) clear(t *try) error {
	select {
	case <-t.over:
		return errOver
	default:
	}
	b.mu.Lock()
	held, at := b.held[t.id], b.listed[t.id]
	b.mu.Unlock()
	switch {
	case held:
		return errDetached
	case at == nil || t.at != nil && t.at != at:
		return errMoved
	case !t.last.IsZero() && !time.Now().Before(t.last):
		return errTooLate
	case !b.permitted(t.rule, t.id):
		return errForbidden
	}
	return nil
}

// learn takes whether the connection broke under its request before any answer.
func (b *backends) learn(c *conn, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reuse.learn(c.idle, broken)
}

// allow changes how many connections may be open at once. Idle ones past it are closed.
func (b *backends) allow(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	for b.open > b.most && b.evict() {
	}
}

// evict closes the connection that has been idle longest, whosever it is.
func (b *backends) evict() bool {
	var oldest string
	for id, list := range b.idle {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(b.idle[oldest][0].since)) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	b.drop(b.idle[oldest][0])
	b.idle[oldest] = b.idle[oldest][1:]
	return true
}

// give puts a connection back, or closes it where it is no longer of use.
func (b *backends) give(id string, c *conn, reusable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.listed[id]; !reusable || b.closed || c.Err() != nil || at == nil || at.addr != c.addr || at.draining || b.held[id] {
		b.drop(c)
		return
	}
	b.idle[id] = append(b.idle[id], c)
}

// close ends the connections that rest, and has no other kept.
func (b *backends) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for id := range b.idle {
		b.dropIdle(id)
	}
}

// reap closes what has been idle for too long, until ctx ends.
func (b *backends) reap(ctx context.Context) {
	every := max(b.keepIdle/8, time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		b.reuse.fade(every)
		for id, list := range b.idle {
			kept := list[:0]
			for _, c := range list {
				if b.usable(c) {
					kept = append(kept, c)
				} else {
					b.drop(c)
				}
			}
			clear(list[len(kept):])
			b.idle[id] = kept
		}
		b.mu.Unlock()
	}
}

// dial opens a connection within the connect time-out and ctx. Its place is already counted.
func (b *backends) dial(ctx context.Context, addr string) (*conn, error) {
	slot := &dialSlot{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, slotKey{}, slot), b.cfg.Settings.ConnectTimeout)
	defer cancel()
	cc, err := b.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		return nil, err
	}
	return &conn{ClientConn: cc, net: slot.conn, addr: addr, since: time.Now()}, nil
}
