package fleet

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/source"
)

const (
	relayBeat    = time.Second             // an empty line to those who follow here
	relayFresh   = 3500 * time.Millisecond // since the list service was last heard by who relays
	relaySilence = 2500 * time.Millisecond // of a relay, after which it counts as dead
	relayTries   = 2                       // relays asked before the service itself is
	relayDeltas  = 64                      // changes kept for those who are a little behind
	largeSite    = 20                      // members from which on a site has two relays
	relayMet     = time.Second             // until others can have been met: who met nobody asks for itself
)

// relay passes the list of backends on to other members, as discovery writes it, and policies.
type relay struct {
	f      *Fleet
	server *http.Server
	conns  chan net.Conn
	ctx    context.Context
	end    context.CancelFunc

	mu      sync.Mutex
	version int64
	whole   []byte          // the list, full; nil: none came from the service itself
	deltas  map[int64]delta // by the version that they start from
	order   []int64
	heard   time.Time // when the service was last heard, directly
	changed chan struct{}
}

type delta struct {
	to   int64
	text []byte
}

func newRelay(f *Fleet) *relay {
	r := &relay{f: f, conns: make(chan net.Conn), deltas: map[int64]delta{}, changed: make(chan struct{})}
	r.ctx, r.end = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 3 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	return r
}

// serve takes a connection of the fleet that is an HTTP call.
func (r *relay) serve(c net.Conn) {
	select {
	case r.conns <- c:
	case <-r.ctx.Done():
		c.Close()
	}
}

type handed struct{ *relay }

func (h handed) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (h handed) Close() error   { return nil }
func (h handed) Addr() net.Addr { return &net.TCPAddr{} }

func (r *relay) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { r.end(); r.server.Close() })
	defer stop()
	_ = r.server.Serve(handed{r}) // ends with ctx
}

// alive takes that the list service itself was heard. Lists that came by a relay are not passed on: every list here is
// one step from the service.
func (r *relay) alive() {
	r.mu.Lock()
	r.heard = time.Now()
	r.mu.Unlock()
}

// listed takes a message of the service: what changed from a version on, and the list as it stands now.
func (r *relay) listed(from, to int64, change, whole []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change == nil || len(r.order) > relayDeltas {
		clear(r.deltas)
		r.order = nil
	}
	if change != nil {
		r.deltas[from] = delta{to, change}
		r.order = append(r.order, from)
	}
	r.version, r.whole = to, whole
	close(r.changed)
	r.changed = make(chan struct{})
}

// since is what to write to one who has a version: nil: nothing new.
func (r *relay) since(v int64) (lines [][]byte, to int64, fresh bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh = r.whole != nil && time.Since(r.heard) < relayFresh
	if r.whole == nil || v == r.version {
		return nil, v, fresh, r.changed
	}
	for at := v; at != r.version; {
		d, known := r.deltas[at]
		if !known || len(lines) > relayDeltas {
			return [][]byte{r.whole}, r.version, fresh, r.changed
		}
		lines, at = append(lines, d.text), d.to
	}
	return lines, r.version, fresh, r.changed
}

func (r *relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.f.serveText(w, q) {
		return
	}
	if q.URL.Path != "/catalog/members" {
		r.f.cfg.Calls.ServeHTTP(w, q)
		return
	}
	at, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64) // absent or odd: the whole list
	began, first := time.Now(), true
	for {
		lines, to, fresh, changed := r.since(at)
		if !fresh && time.Since(began) > relayFresh { // who waits here had better ask elsewhere
			if first {
				http.Error(w, "the list service is not heard here", http.StatusServiceUnavailable)
			}
			return
		}
		if fresh || !first {
			first = false
			at = to
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
		beat := time.NewTimer(relayBeat)
		select {
		case <-beat.C:
		case <-changed:
			beat.Stop()
		case <-q.Context().Done():
			beat.Stop()
			return
		}
	}
}

// relays are the members of this site that ask the service for the others, the same at every member that sees the same.
func (f *Fleet) relays() (list []member.Member) {
	site := slices.DeleteFunc(slices.Collect(f.list.View().Of(f.cfg.Site).All()), func(m member.Member) bool { return m.Hub })
	subject := "relay " + f.cfg.Site
	for range relaysOf(len(site)) {
		best := -1
		for i, m := range site {
			if best < 0 || member.Score(subject, m.Name) < member.Score(subject, site[best].Name) {
				best = i
			}
		}
		list = append(list, site[best])
		site = append(site[:best], site[best+1:]...)
	}
	return list
}

// Next waits until the list may be asked for, and says where: of a relay first, where lists are relayed and this process
// is none itself, and of the service in this process's turn. fails counts openings that came to nothing. It reports false
// once ctx ends.
func (f *Fleet) Next(ctx context.Context, fails int) (source.Source, bool) {
	starters := f.starters
	if f.cfg.Relayed {
		for f.list.Met() == 0 && time.Since(f.born) < relayMet {
			select {
			case <-ctx.Done():
				return source.Source{}, false
			case <-time.After(20 * time.Millisecond):
			}
		}
		list, mine := f.relays(), false
		for _, m := range list {
			mine = mine || m.Name == f.cfg.Name
		}
		if turn := fails % (relayTries + 1); !mine && turn < relayTries && len(list) > 0 {
			m := list[turn%len(list)]
			return source.Source{Addr: m.Addr.String(), Silence: relaySilence, Relayed: true}, true
		}
		if mine {
			starters = f.startingRelays
		}
	}
	return source.Source{}, f.pacer.Turn(ctx, starters)
}

// startingRelays counts those who ask the service for their sites: the others wait for them, and not in turn.
func (f *Fleet) startingRelays() (n int) {
	for _, members := range f.list.View().Sites() {
		n += relaysOf(members.Len())
	}
	return max(1, n)
}

// relaysOf is how many relays a site of so many members has.
func relaysOf(members int) int {
	if members >= largeSite {
		return 2
	}
	return min(1, members)
}

// Answered takes how an opening went: after how long the first word came, or that none did, and from which version on.
func (f *Fleet) Answered(s source.Source, waited time.Duration, failed bool, version int64) {
	if !s.Relayed {
		f.pacer.Answered(waited, failed, version)
	}
}

// Dial opens a connection to another member.
func (f *Fleet) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return f.list.Dial(ctx, network, addr)
}

// Heard takes a sign of life of a source.
func (f *Fleet) Heard(s source.Source) {
	if !s.Relayed {
		f.relay.alive()
	}
}

// Listed takes a message of a source; see relay.listed.
func (f *Fleet) Listed(s source.Source, from, to int64, change, whole []byte) {
	if !s.Relayed {
		f.relay.listed(from, to, change, whole)
	}
	f.Ready()
}

// Behind reports whether others have told of a later version of the list than the one known here.
func (f *Fleet) Behind(version int64) bool { return f.pacer.Version() > version }
