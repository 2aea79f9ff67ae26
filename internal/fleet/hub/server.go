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
	Gossip() *gossip.Store
	Hubs() []member.Member        // others that are there
	MissingHubs() []member.Member // others that are not, and may be
	MeshAgents() map[string]bool  // agents that are members themselves
	ConfirmDead(ctx context.Context, m member.Member, within time.Duration) bool
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	LatencyMatrix() latency.Matrix
}

// Config is what a Server needs.
type Config struct {
	Name, Label, ProgramVersion string
	Incarnation                 uint64
	MaxAgents                   int     // most agents that the fleet has
	AdmitRate                   float64 // agents a second that are taken in
	Bounds                      gossip.AgeBounds
	Settings                    *documents.Document // nil: none
	Policy                      *documents.Document // nil: none
	PolicyAge                   func() (age time.Duration, ok bool)
	Log                         *slog.Logger
	Trace                       io.Writer // a line for each fact told to agents; nil: none
}

// Server is a hub. It must be run; before, nobody is taken in.
type Server struct {
	cfg         Config
	fleet       Fleet
	loadReports *gossip.Store // what agents tell; only sums of it leave the hub
	registry    *registry
	publisher
	admission
	reportProgress

	startedAt      time.Time    // when the process began
	ready          atomic.Bool  // it takes agents in
	openStreams    atomic.Int32 // streams, those without a name included
	protocolErrors atomic.Int64 // streams that ended by what makes no sense
	tasks          sync.WaitGroup
	readyMu        sync.Mutex // ready goes before tasks are begun

	mu            sync.Mutex
	resumedAt     time.Time            // since then it has run without a stop
	reportedDead  map[string]time.Time // when a process was dead, of all names of which any hub or member told of late
	attachedByHub map[string]uint32    // agents that another hub had, by its name, as last told
	hubsDeadAt    map[string]time.Time // hubs that are missing whose machine refuses connections, by address, since when
	allReportedAt time.Time            // each hub has told something that it saw then or later; zero: not every one has
}

const (
	defaultAdmitRate = 200.0
	maxExtraStreams  = 64 // streams beside those of the agents that the fleet may have
)

// New returns a hub that is to be run in a fleet.
func New(cfg Config) *Server {
	if cfg.Bounds == nil {
		cfg.Bounds = gossip.DefaultAgeBounds
	}
	if cfg.AdmitRate <= 0 {
		cfg.AdmitRate = defaultAdmitRate
	}
	now := time.Now()
	return &Server{cfg: cfg, loadReports: gossip.New(cfg.Name, cfg.Incarnation, cfg.Bounds, nil), registry: newRegistry(), admission: admission{rate: cfg.AdmitRate, tokens: max(1, cfg.AdmitRate/10), refilledAt: now},
		startedAt: now, resumedAt: now, reportedDead: map[string]time.Time{}, attachedByHub: map[string]uint32{}, hubsDeadAt: map[string]time.Time{}}
}

// Run serves agents until ctx ends, and then closes their streams, so that they move at once.
func (s *Server) Run(ctx context.Context, fleet Fleet) {
	s.fleet = fleet
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { s.publishSums(ctx) })
	loops.Go(func() { s.confirmDead(ctx) })
	loops.Go(func() { s.reportAttachments(ctx) })
	s.ready.Store(true)
	<-ctx.Done()
	s.readyMu.Lock()
	s.ready.Store(false)
	s.readyMu.Unlock()
	for _, a := range s.registry.clear() {
		a.close()
	}
	s.admission.close()
	s.tasks.Wait()
	loops.Wait()
}

// ServeHTTP answers what agents and other hubs ask on the hub's fleet address.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "this hub is not ready", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case pathHub:
		s.handleUpgrade(w, r)
	case pathAttachments:
		s.handleReport(w, r)
	case pathSettings:
		s.handleSettings(w, r)
	default:
		http.NotFound(w, r)
	}
}

// deadMaxAge is the bound of a word that a process is dead.
func (s *Server) deadMaxAge() time.Duration { return s.cfg.Bounds[gossip.DeadProcesses] }

// uptime is how long the hub has run without a stop: what was told before may not have been heard.
func (s *Server) uptime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.resumedAt)
}
