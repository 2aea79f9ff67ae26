// Package hub implements the hub of a fleet. A hub is a process that distributes membership data, quotas and versioned
// documents to the agents attached to it. Each agent has one stream to one hub; hubs exchange data through gossip and
// over HTTP.
//
// A hub publishes aggregates to its agents instead of the observations of each agent: the fleet size, from which each
// agent computes its quota of the fleet's in-flight limit; the load of the list service; and the latency row of the
// agent's zone. It also publishes the versions of the settings and of the residency policy. The age of an aggregate is the
// age of the oldest observation in it.
//
// State, its owner and its age:
//
//   - registry, under its mutex: which agents are attached to this hub, attached to another hub, or disconnected. Other
//     hubs report new attachments every 250 ms; a report is used for at most 30 s (remoteMaxAge).
//   - attachment, one per stream: the reading goroutine owns the reader; after the handshake, only the writing
//     goroutine writes. The attachment's mutex guards the last State; the agent sends a State every second. The hub ends a
//     stream on which nothing arrives for three seconds.
//   - evidence, under its mutex: the reports about other hubs and dead processes, from which the hub counts unused quotas
//     and confirms that an agent is the only user of its quota. Reports of dead processes are used up to the age bound of
//     gossip.DeadProcesses. The number of agents that a hub last reported has no age bound.
//   - loadReports: the agents' observations of the list service, in a gossip.Store with its own lock. The entries stay
//     in this hub, which publishes only aggregates of them. Their age is at most the age bound of gossip.ListServiceLoad.
//   - publisher and the progress of attachment reports: each local to the one goroutine that uses it, without a lock.
//   - admission, under its mutex: the rate limit of new streams, and the connections in a handshake.
//
// Goroutines: Run starts three and waits for them: publishLoop computes and publishes aggregates, detectFailures detects
// which disconnected agents are dead, and reportAttachments reports to the other hubs which agents attached to this hub.
// The last two wait for the goroutines of their calls. Each stream has two goroutines, one that reads (from the handshake
// on) and one that writes; Run also waits for the goroutines of all streams. ServeHTTP runs on the caller's goroutine. The
// goroutines of an upgraded stream continue after ServeHTTP returns.
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

// Fleet is the hub's membership in the fleet; *fleet.Fleet implements it. Its methods may be called from any goroutine.
type Fleet interface {
	// Gossip returns the entries that the hubs share.
	Gossip() *gossip.Store
	// Hubs returns the other hubs that are members now.
	Hubs() []member.Member
	// MissingHubs returns the other hubs that are not members now but may be running.
	MissingHubs() []member.Member
	// MeshAgents returns the names of the agents that are members themselves, because they have no hub.
	MeshAgents() map[string]bool
	// ConfirmDead reports whether the process of m is certainly dead, that is, whether the machine refuses connections to
	// the address of m. It returns false if the machine does not respond within timeout: the process may be running.
	ConfirmDead(ctx context.Context, m member.Member, timeout time.Duration) bool
	// Dial opens a connection to another hub.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// LatencyMatrix returns the current round-trip times between zones.
	LatencyMatrix() latency.Matrix
}

// Config configures a Server. Name, Label, Incarnation, MaxAgents and Log are required.
type Config struct {
	Name, Label    string // the name of this hub, and the label of its fleet
	ProgramVersion string // sent in each Welcome
	Incarnation    uint64 // higher than the incarnation of each earlier process with this name
	// MaxAgents is the maximum number of agents in the fleet at a time. Quotas are computed from this number, and it
	// limits the open streams of the hub.
	MaxAgents int
	AdmitRate float64             // new streams per second; 0: defaultAdmitRate
	AgeBounds gossip.AgeBounds    // nil: gossip.DefaultAgeBounds
	Settings  *documents.Document // nil: none
	Policy    *documents.Document // nil: none
	// PolicyAge returns how long ago a source last confirmed Policy, and false if none has. It is required with Policy.
	PolicyAge func() (age time.Duration, ok bool)
	Log       *slog.Logger
	Trace     io.Writer // receives a line for each entry published to agents; nil: none
}

// Server is a hub. Create it with New; it accepts agents while Run runs.
type Server struct {
	cfg         Config
	fleet       Fleet         // set by Run before ready
	loadReports *gossip.Store // the agents' observations of the list service
	registry    *registry
	evidence    *evidence
	admission   *admission
	startedAt   time.Time // origin of the clock in messages to agents

	ready          atomic.Bool    // the hub accepts agents
	readyMu        sync.Mutex     // locked to add a stream to streams, and to clear ready
	streams        sync.WaitGroup // goroutines of streams
	openStreams    atomic.Int32   // including streams in a handshake
	protocolErrors atomic.Int64   // streams that ended because the agent violated the protocol
}

const (
	defaultAdmitRate = 200.0 // new streams per second
	maxExtraStreams  = 64    // beyond MaxAgents: for agents that move between hubs, and for clients that are not agents
)

// New returns a hub that accepts agents once Run is called.
func New(cfg Config) *Server {
	if cfg.AgeBounds == nil {
		cfg.AgeBounds = gossip.DefaultAgeBounds
	}
	if cfg.AdmitRate <= 0 {
		cfg.AdmitRate = defaultAdmitRate
	}
	now := time.Now()
	return &Server{
		cfg:         cfg,
		loadReports: gossip.New(cfg.Name, cfg.Incarnation, cfg.AgeBounds, nil),
		registry:    newRegistry(),
		evidence:    newEvidence(cfg.AgeBounds[gossip.DeadProcesses], cfg.MaxAgents, now),
		admission:   newAdmission(cfg.AdmitRate, now),
		startedAt:   now,
	}
}

// Run serves agents until ctx ends, then closes their streams, so that the agents move to another hub immediately, and
// waits for all goroutines of the hub. It may be called once.
func (s *Server) Run(ctx context.Context, fleet Fleet) {
	s.fleet = fleet
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { s.publishLoop(ctx) })
	loops.Go(func() { s.detectFailures(ctx) })
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
	s.streams.Wait()
	loops.Wait()
}

// ServeHTTP serves agents and other hubs on the hub's fleet address. Before and after Run it responds with status
// 503.
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
