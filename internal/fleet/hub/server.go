// Package hub is the side of a fleet's hubs: who is attached, what hubs tell each other of their agents, and the sums that
// agents are told. Two tasks serve each stream, one sums up, one sees to the dead, and one has hubs know who is where.
package hub

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// Fleet is the hubs' own, as far as a hub needs it.
type Fleet interface {
	Facts() *gossip.Store
	Hubs() []member.Member    // others that are there
	Missing() []member.Member // others that are not, and may be
	Flat() map[string]bool    // agents that are members themselves
	Dead(ctx context.Context, m member.Member, within time.Duration) bool
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	Matrix() latency.Matrix
}

// Config is what a Server needs.
type Config struct {
	Name, Label, Program string
	Incarnation          uint64
	Most                 int     // most agents that the fleet has
	AdmitRate            float64 // agents a second that are taken in
	Bounds               gossip.Bounds
	Settings             *documents.Kind // nil: none
	Policy               *documents.Kind // nil: none
	PolicyAge            func() (age time.Duration, ok bool)
	Log                  *slog.Logger
	Trace                io.Writer // a line for each fact told to agents; nil: none
}

// Server is a hub. It must be run; before, nobody is taken in.
type Server struct {
	cfg   Config
	fleet Fleet
	door  *gossip.Store // what agents tell; only sums of it leave the hub
	roll  *roll
	teller
	admission
	posts

	born   time.Time    // when the process began
	ready  atomic.Bool  // it takes agents in
	open   atomic.Int32 // streams, those without a name included
	bad    atomic.Int64 // streams that ended by what makes no sense
	tasks  sync.WaitGroup
	served sync.Mutex // ready goes before tasks are begun

	mu     sync.Mutex
	awake  time.Time            // since then it has run without a stop
	named  map[string]time.Time // when a process was dead, of all names of which any hub or member told of late
	words  map[string]uint32    // agents that another hub had, by its name, as last told
	refuse map[string]time.Time // hubs that are missing whose machine refuses connections, by address, since when
	told   time.Time            // each hub has told something that it saw then or later; zero: not every one has
}

const (
	admitRate   = 200.0
	mostBesides = 64 // streams beside those of the agents that the fleet may have
)

// New returns a hub that is to be run in a fleet.
func New(cfg Config) *Server {
	if cfg.Bounds == nil {
		cfg.Bounds = gossip.DefaultBounds
	}
	if cfg.AdmitRate <= 0 {
		cfg.AdmitRate = admitRate
	}
	now := time.Now()
	return &Server{cfg: cfg, door: gossip.New(cfg.Name, cfg.Incarnation, cfg.Bounds, nil), roll: newRoll(), admission: admission{rate: cfg.AdmitRate, tokens: max(1, cfg.AdmitRate/10), at: now},
		born: now, awake: now, named: map[string]time.Time{}, words: map[string]uint32{}, refuse: map[string]time.Time{}}
}

// Run serves agents until ctx ends, and then closes their streams, so that they move at once.
func (s *Server) Run(ctx context.Context, f Fleet) {
	s.fleet = f
	ctx, end := context.WithCancel(ctx)
	defer end()
	var own sync.WaitGroup
	own.Go(func() { s.sumUp(ctx) })
	own.Go(func() { s.seeToTheDead(ctx) })
	own.Go(func() { s.postNames(ctx) })
	s.ready.Store(true)
	<-ctx.Done()
	s.served.Lock()
	s.ready.Store(false)
	s.served.Unlock()
	for _, x := range s.roll.clear() {
		x.end()
	}
	s.admission.end()
	s.tasks.Wait()
	own.Wait()
}

// ServeHTTP answers what agents and other hubs ask on the hub's fleet address.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "this hub is not ready", http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case pathHub:
		s.upgrade(w, q)
	case pathNames:
		s.takeNames(w, q)
	case pathSettings:
		s.showSettings(w, q)
	default:
		http.NotFound(w, q)
	}
}

// gone is the bound of a word that a process is dead.
func (s *Server) gone() time.Duration { return s.cfg.Bounds[gossip.Gone] }

// awakeFor is how long the hub has run without a stop: what was told before may not have been heard.
func (s *Server) awakeFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.awake)
}
