// Package hub is the hub's side of a fleet. A hub is a process that carries membership, quotas and versioned
// documents to the agents attached to it. Agents hold one stream to one hub; hubs exchange what they know through
// gossip and over HTTP.
//
// A hub publishes sums, never single observations: the fleet size, from which each agent computes its quota of the
// fleet's in-flight limit; the load of the list service; the latency row of the agent's zone; and the versions of the
// settings and of the residency policy. Each entry is as old as the oldest observation in it.
//
// State, its owner and its age:
//
//   - registry, under its mutex: which agents are attached here, attached to another hub, or disconnected. What other
//     hubs report arrives every 250 ms and is used for at most 30 s (remoteMaxAge).
//   - attachment, one per stream: the reading goroutine owns the reader, the writing goroutine the writes; the
//     agent's last State, which it sends each second, is under the attachment's mutex. A stream that is silent for
//     three seconds ends.
//   - evidence, under its mutex: what is known of other hubs and of dead processes, to count free quotas and to
//     confirm an agent's own. Reports of dead processes are used up to the age bound of gossip.DeadProcesses.
//   - loadReports: the agents' observations of the list service, a gossip.Store that is locked by itself. Its entries
//     stay in this hub; only aggregates of them leave it. Bounded by the age bound of gossip.ListServiceLoad.
//   - publisher and the progress of attachment reports: local to the one goroutine that uses each, without a lock.
//   - admission, under its mutex: the rate limit of new streams, and the connections in a handshake.
//
// Goroutines: Run starts three and waits for them: publishLoop sums up and publishes, failureDetector finds out which
// disconnected agents are dead, reportAttachments reports to the other hubs who attached here. Each stream has two, one
// that reads (from the handshake on) and one that writes; Run waits for these, too. Every handler of ServeHTTP runs
// on the caller's goroutine and ends with its request, except for an upgraded stream.
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

// Fleet is the hub's own place among the hubs; *fleet.Fleet implements it. Its methods may be called from any
// goroutine.
type Fleet interface {
	// Gossip returns the entries that the hubs share.
	Gossip() *gossip.Store
	// Hubs returns the other hubs that are members now.
	Hubs() []member.Member
	// MissingHubs returns the other hubs that are no members now and may be running.
	MissingHubs() []member.Member
	// MeshAgents returns the names of the agents that are members themselves, because they have no hub.
	MeshAgents() map[string]bool
	// ConfirmDead reports whether a process is dead for certain: its machine refuses connections to its address. A call
	// that is not answered within timeout proves nothing.
	ConfirmDead(ctx context.Context, m member.Member, timeout time.Duration) bool
	// Dial opens a connection to another hub.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// LatencyMatrix returns the round trips between zones that are known now.
	LatencyMatrix() latency.Matrix
}

// Config configures a Server. Name, Label, Incarnation, MaxAgents and Log are required.
type Config struct {
	Name, Label    string // of this hub, and of its fleet
	ProgramVersion string // sent in each Welcome
	Incarnation    uint64 // higher than that of each earlier process of the name
	// MaxAgents is an upper bound of the agents that the fleet has at a time. Quotas are computed from it.
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

// Server is a hub. Create it with New; it takes agents in while Run runs.
type Server struct {
	cfg         Config
	fleet       Fleet         // set by Run before ready
	loadReports *gossip.Store // the agents' observations of the list service
	registry    *registry
	evidence    *evidence
	admission   *admission
	startedAt   time.Time // origin of the clock in messages to agents

	ready          atomic.Bool    // agents are taken in
	readyMu        sync.Mutex     // held while a stream is added to streams, and while ready is cleared
	streams        sync.WaitGroup // goroutines of streams
	openStreams    atomic.Int32   // those in a handshake included
	protocolErrors atomic.Int64   // streams that ended by a violation of the protocol
}

const (
	defaultAdmitRate = 200.0 // new streams per second
	maxExtraStreams  = 64    // beyond MaxAgents: of agents that move, and of clients that are no agents
)

// New returns a hub that takes agents in once Run is called.
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

// Run serves agents until ctx ends, then closes their streams, so that the agents move at once, and waits for all
// goroutines of the hub. It may be called once.
func (s *Server) Run(ctx context.Context, fleet Fleet) {
	s.fleet = fleet
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { s.publishLoop(ctx) })
	loops.Go(func() { s.failureDetector(ctx) })
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

// ServeHTTP serves agents and other hubs on the hub's fleet address. Before and after Run it answers 503.
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
