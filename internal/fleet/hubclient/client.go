// Package hubclient connects an agent to its fleet through hubs. The agent keeps one attachment, which is a stream to
// one hub. From the entries that the hub sends, the agent derives its quota of the fleet's in-flight limit, the
// latencies to all zones, the documents to fetch, and the source of its endpoint lists. Application requests never wait
// for a hub.
//
// # Ownership of state
//
// Run uses three goroutines, one of them the caller's, and two more for each attachment. Run waits for all of them:
//
//   - maintainAttachment runs in Run's goroutine and owns hubSelector, which has no lock. Only maintainAttachment sets
//     Client.attachment and Client.disconnectedAt.
//   - runLoop owns the derived state: status.Quota, status.FleetSize, status.LatenciesKnown, rtts and lossRates. Only
//     runLoop calls Callbacks, except that the full mesh reports latencies itself while it runs.
//   - serveAddress owns addressListener.ln and Client.mesh, and runs the full mesh.
//   - an attachment's readLoop merges the hub's entries into Client.store and owns slowMessages; its writeLoop sends
//     this agent's state. Both use the sequence numbers of sent states under attachment.mu. maintainAttachment waits
//     for both goroutines.
//
// Fields of a Client that several goroutines use are guarded by Client.mu, are atomic, or have their own lock
// (gossip.Store, startup.Pacer, documents.Document, the holders of settings and policy). All other fields are constant
// after New.
//
// # Age of state
//
// The agent uses an entry from a hub up to the age in Config.AgeBounds: by default 3 s for the fleet size and
// latencies, 5 s for the list service's load and 10 s for document versions. The age of an entry counts from its
// observation, over all hops. The store drops older entries, and runLoop recomputes the derived state within
// gossip.TickInterval (100 ms). A hub counts as failed if it sends nothing for 2.5 s, if its last 3 messages may each
// have been in transit for more than 1 s, or if it stops echoing the agent's states, so that the last echoed state was
// written more than 4 s ago. The agent then attaches to another hub.
//
// # Quota
//
// A new process uses a startup quota, which is a tenth of an even quota, until a hub confirms that no other agent uses
// the process's quota. Without a confirmation, the startup quota ends when the process is as old as the age bound of
// the fleet size (3 s): every report that an earlier agent of the same name is dead has then expired. After that, the
// quota is the limit divided by the larger of two counts: MaxAgents minus the agents that are confirmed dead, and the
// attached agents. When several hubs disagree, the agent uses the values that give it the smallest quota. Without a
// fresh fleet size the quota is even: 1/MaxAgents.
//
// # Loss of all hubs
//
// The agent continues to serve with its applied documents and its last endpoint list. The agent uses other state up to
// the state's age bound; afterwards the quota is even, and the agent reports latencies as unknown (zero). The agent
// retries all hubs with backoff. After 5 s without an attachment it falls back to the full mesh, if Config.NewMesh is
// set. The mesh uses the same address, which stays open throughout. While the mesh runs, the lower of both quotas
// applies; latencies, endpoint lists and the residency policy come from the mesh, and settings only from hubs. When a
// hub accepts the agent again, the agent leaves the mesh; the lower of both quotas applies until the agent has left.
package hubclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/incarnation"
	"martenbeam/internal/fleet/startup"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// Config describes an agent, its fleet and the fleet's hubs.
type Config struct {
	Name, Site, Region, Version string // of this agent; Site is its zone
	Label                       string // of the fleet; hubs reject agents with a different label
	Listen, Advertise           string // IP:port on which this process listens, and at which other processes reach it; Advertise "": Listen
	Hubs                        []Hub  // in any order; at least one
	MaxAgents                   int    // maximum number of agents in the fleet; the quota is derived from it
	AwaitAddress                bool   // wait while a predecessor of this process still listens at Listen
	Incarnations                incarnation.Allocator
	AgeBounds                   gossip.AgeBounds  // maximum age of an entry in use, by kind; nil: gossip.DefaultAgeBounds
	RelayedLists                bool              // request endpoint lists from the hub rather than from the list service
	ListRate                    float64           // initial estimate of the list service's capacity in requests per second
	Residency                   *residency.Holder // nil: the agent has no residency policy
	Settings                    *settings.Holder  // nil: the agent applies no settings from hubs
	NewMesh                     NewMesh           // nil: the agent does not fall back to the full mesh
	Log                         *slog.Logger
	Trace                       io.Writer // receives a line for each entry used or published and for each new quota; nil: no trace
	Dial                        Dial      // nil: TCP from the IP address of Listen
}

// Dial opens connections to hubs and to the sources of documents. Connections to hubs must have a CloseWrite method, as
// *net.TCPConn does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewMesh creates this agent's member of the full mesh on an open listener. On success the member closes the listener
// when its Run returns; on error the caller closes it. startedAt is the start time of this process.
type NewMesh func(listener *net.TCPListener, startedAt time.Time, callbacks fleet.Callbacks) (*fleet.Fleet, error)

// Client is an agent's membership in a fleet with hubs. The caller must call Run once after New. Any goroutine may call
// the other methods, before and during Run. The package comment lists which goroutine owns which field.
type Client struct {
	cfg               Config
	callbacks         fleet.Callbacks
	zones             []string // in the order of rtts and lossRates
	hubs              []Hub    // in this agent's order of preference, its preferred hub first
	selector          *hubSelector
	incarnation       uint64
	startedAt         time.Time
	store             *gossip.Store // entries received from hubs, and this agent's own
	pacer             *startup.Pacer
	documents         []*documents.Document // settings and policy, as far as configured
	dial              Dial
	listener          *addressListener
	mesh              atomic.Pointer[fleet.Fleet] // the full mesh fallback; nil: not running
	serving           atomic.Bool                 // the agent has an endpoint list
	quotaConfirmed    atomic.Bool                 // a hub has confirmed that no other agent uses this agent's quota; never reset to false
	recomputeRequests chan struct{}               // requests an immediate pass of runLoop; buffers one request

	mu             sync.Mutex
	attachment     *attachment     // nil: not attached
	attached       chan struct{}   // closed while attached; replaced when an attachment is lost
	disconnectedAt time.Time       // time of the last loss, or of the start; valid while attachment is nil
	meshQuota      float64         // the quota by the full mesh's rule; 0: the mesh is not running
	status         Status          // Client.Status fills in Hub, MeshRunning and the versions
	rtts           []time.Duration // last reported, by zone; nil: report all again
	lossRates      []float64       // last reported, by zone
}

// Status is a snapshot of an agent's view of its fleet.
type Status struct {
	Hub                            string        // name of the hub that the agent is attached to; "": not attached
	MeshRunning                    bool          // the agent has fallen back to the full mesh
	Quota                          float64       // share of the fleet's in-flight limit, 0 to 1; -1: not computed yet
	FleetSize                      hub.FleetSize // last fresh one, kept after it expires; see Client.fleetSize
	LatenciesKnown                 bool          // the agent has a latency row within its age bound
	PolicyVersion, SettingsVersion int64         // applied versions; 0: none
}

// New returns a client and listens on cfg.Listen. If cfg.AwaitAddress is set and a predecessor of this process still
// uses the address, Run listens once the address is free. Run closes the listener. zones lists all zones, in the order
// in which callbacks.Latencies reports them. The callbacks must not block. An error names the invalid configuration
// key.
func New(cfg Config, zones []string, callbacks fleet.Callbacks) (*Client, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if len(cfg.Hubs) == 0 {
		return nil, errors.New("fleet.hubs: at least one hub is required")
	}
	if cfg.AgeBounds == nil {
		cfg.AgeBounds = gossip.DefaultAgeBounds
	}
	now := time.Now()
	c := &Client{cfg: cfg, callbacks: callbacks, zones: zones, hubs: preferenceOrder(cfg.Name, cfg.Site, cfg.Region, cfg.Hubs),
		startedAt: now, disconnectedAt: now, incarnation: cfg.Incarnations.Next(),
		recomputeRequests: make(chan struct{}, 1), attached: make(chan struct{}), status: Status{Quota: -1}}
	if c.dial = cfg.Dial; c.dial == nil {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1} // peers see the IP address of Listen
		c.dial = dialer.DialContext
	}
	c.selector = newHubSelector(len(c.hubs), xxhash.Sum64String(cfg.Name)^c.incarnation)
	c.store = gossip.New(cfg.Name, c.incarnation, cfg.AgeBounds, gossip.Trace{W: cfg.Trace}.Use)
	c.pacer = startup.New(startup.Config{Rate: cfg.ListRate, HasPeers: c.fleetSizeReceived, Store: c.store})
	c.setUpDocuments()
	if c.listener, err = newAddressListener(listen, cfg.AwaitAddress); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	return c, nil
}

// Run keeps the agent attached to a hub until ctx ends, and then sends the hub a Leave frame. The caller may call Run
// only once. Run waits for the client's goroutines with two exceptions: document fetches end with ctx, and connections
// accepted at the fleet address close within connTimeout. Run always returns nil.
func (c *Client) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.runLoop(ctx) })
	tasks.Go(func() { c.serveAddress(ctx) })
	c.maintainAttachment(ctx)
	tasks.Wait()
	return nil
}

// Addr returns this process's fleet address as IP:port. Other processes treat a refused connection to this address as
// the end of this process.
func (c *Client) Addr() string { return c.listener.address() }

// hubAddr returns the address of the hub that this agent is attached to, or "" when it is not attached.
func (c *Client) hubAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attachment == nil {
		return ""
	}
	return c.attachment.hub.Addr
}

// requestRecompute makes runLoop recompute the derived state now rather than at its next tick. It never blocks.
func (c *Client) requestRecompute() {
	select {
	case c.recomputeRequests <- struct{}{}:
	default:
	}
}

// Status returns a snapshot of this agent's view of its fleet.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status
	if c.attachment != nil {
		status.Hub = c.attachment.hubName
	}
	status.MeshRunning = c.mesh.Load() != nil
	if c.cfg.Residency != nil {
		status.PolicyVersion = c.cfg.Residency.State().Version
	}
	if c.cfg.Settings != nil {
		status.SettingsVersion = c.cfg.Settings.State().Version
	}
	return status
}
