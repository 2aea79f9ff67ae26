// Package hubclient connects an agent to its fleet through hubs. The agent keeps one attachment, a stream to one hub,
// and derives from the entries that the hub sends its quota of the fleet's in-flight limit, the latencies to all
// zones, the documents to fetch, and where to ask for endpoint lists. No request waits for any of it.
//
// # Ownership of state
//
// Run uses three goroutines, its own for maintainAttachment, and two more for each attachment. It waits for all of them:
//
//   - maintainAttachment owns hubSelector, which has no lock. It alone sets Client.attachment and
//     Client.disconnectedAt.
//   - runLoop owns what is derived: status.Quota, status.FleetSize, status.LatenciesKnown, rtts and lossRates. Only
//     it calls Callbacks, except that the full mesh, while it runs, reports latencies itself.
//   - serveAddress owns addressListener.ln and Client.mesh, and runs the full mesh.
//   - an attachment's readLoop merges the hub's entries into Client.store and owns slowMessages; its writeLoop sends
//     this agent's state. They share the numbers of sent states under attachment.mu. maintainAttachment waits for
//     both.
//
// Fields of a Client that several goroutines use are below Client.mu, atomic, or have a lock of their own
// (gossip.Store, startup.Pacer, documents.Document, the holders of settings and policy). Everything else is constant
// after New.
//
// # Age of state
//
// What a hub sent is used up to Config.Bounds, by default 3 s for the fleet size and latencies, 5 s for the list
// service's load and 10 s for versions of documents; ages count from the observation, over all hops. The store drops
// what is older, and runLoop notices within gossip.TickInterval (100 ms). A hub that sends nothing for 2.5 s, or that
// has not echoed a state written in the last 4 s, counts as failed, and the agent attaches to another.
//
// # Quota
//
// A new process takes a startup quota, a tenth of an even one, until a hub confirms that nobody else uses its quota,
// or until every report of an earlier death of its name has expired. Then the limit is divided evenly by MaxAgents
// less the agents that are confirmed dead, or by the attached agents if these are more. When several hubs disagree,
// the values that give this agent the smallest quota count. Without a fresh fleet size the quota is even:
// 1/MaxAgents.
//
// # Loss of all hubs
//
// The agent serves on, with applied documents, with the last endpoint list, and with other state up to its bounds:
// then the quota is even, and latencies are reported as unknown (zero). It retries all hubs with backoff. After 5 s
// without an attachment it falls back to the full mesh, if Config.NewMesh is set, at the same address, which is never
// released meanwhile. While the mesh runs, the lower of both quotas counts, and latencies, endpoint lists and the
// residency policy come from the mesh; settings come from hubs alone. Once a hub has accepted the agent again it
// leaves the mesh, and the mesh's quota counts until it has left.
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
	Label                       string // of the fleet; hubs reject agents with another
	Listen, Advertise           string // IP:port of this process, and as others reach it; Advertise "": as Listen
	Hubs                        []Hub  // in any order; at least one
	MaxAgents                   int    // agents that the fleet may have; the quota is derived from it
	AwaitAddress                bool   // an older process of this agent may still listen at Listen: wait for it to close
	Incarnations                incarnation.Allocator
	AgeBounds                   gossip.AgeBounds  // maximum age of an entry in use, by kind; nil: gossip.DefaultAgeBounds
	RelayedLists                bool              // endpoint lists are requested from the hub rather than from the list service
	ListRate                    float64           // requests per second that the list service is assumed to sustain at first
	Residency                   *residency.Holder // nil: the agent has no residency policy
	Settings                    *settings.Holder  // nil: the agent takes no settings from hubs
	NewMesh                     NewMesh           // nil: there is no full mesh to fall back to
	Log                         *slog.Logger
	Trace                       io.Writer // gets a line for each entry used and for each new quota; nil: no trace
	Dial                        Dial      // nil: TCP from the IP address of Listen
}

// Dial opens connections to hubs and to the sources of documents. Connections to hubs must have a CloseWrite method,
// as *net.TCPConn has.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewMesh creates this agent's member of the full mesh on an open listener. On success the member closes the listener
// when it has run; on error the caller does. cutAt is when this process started.
type NewMesh func(listener *net.TCPListener, startedAt time.Time, callbacks fleet.Callbacks) (*fleet.Fleet, error)

// Client is an agent's membership in a fleet with hubs. After New it must be run once; the other methods may be
// called from any goroutine, before and while it runs. The package comment says which goroutine owns which field.
type Client struct {
	cfg            Config
	callbacks      fleet.Callbacks
	zones          []string // in the order of rtts and lossRates
	hubs           []Hub    // in this agent's order of preference; the first is its preferred hub
	selector       *hubSelector
	incarnation    uint64
	startedAt      time.Time
	store          *gossip.Store // entries received from hubs, and this agent's own
	pacer          *startup.Pacer
	documents      []*documents.Document // settings and policy, where the agent has them
	dial           Dial
	listener       *addressListener
	mesh           atomic.Pointer[fleet.Fleet] // the full mesh fallback; nil: it does not run
	serving        atomic.Bool                 // the agent has an endpoint list
	quotaConfirmed atomic.Bool                 // a hub said that nobody else uses this agent's quota; never unset
	wakeup         chan struct{}               // asks runLoop to run at once; holds at most one request

	mu             sync.Mutex
	attachment     *attachment     // nil: not attached
	attached       chan struct{}   // closed while attached; replaced at each loss
	disconnectedAt time.Time       // the last loss, or the start; valid while attachment is nil
	meshQuota      float64         // the quota by the full mesh's rule; 0: the mesh does not run
	status         Status          // Hub, MeshRunning and the versions are filled in by Client.Status
	rtts           []time.Duration // last reported, by zone; nil: report again
	lossRates      []float64       // last reported, by zone
}

// Status is a snapshot of what an agent knows of its fleet.
type Status struct {
	Hub                            string        // name of the hub it is attached to; "": none
	MeshRunning                    bool          // it has fallen back to the full mesh
	Quota                          float64       // share of the fleet's in-flight limit, 0 to 1; -1: none was computed yet
	FleetSize                      hub.FleetSize // last received, of any age
	LatenciesKnown                 bool          // a latency row within its age bound is known
	PolicyVersion, SettingsVersion int64         // applied versions; 0: none
}

// New returns a client, and listens on cfg.Listen, unless cfg.AwaitAddress allows an older process to have the
// address still. Run closes the listener. zones names all zones, in the order in which callbacks.Latencies reports
// them. The callbacks must not block. The error names the key of the configuration that can't be used.
func New(cfg Config, zones []string, callbacks fleet.Callbacks) (*Client, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if len(cfg.Hubs) == 0 {
		return nil, errors.New("fleet.hubs: none")
	}
	if cfg.AgeBounds == nil {
		cfg.AgeBounds = gossip.DefaultAgeBounds
	}
	now := time.Now()
	c := &Client{cfg: cfg, callbacks: callbacks, zones: zones, hubs: preferenceOrder(cfg.Name, cfg.Site, cfg.Region, cfg.Hubs),
		startedAt: now, disconnectedAt: now, incarnation: cfg.Incarnations.Next(),
		wakeup: make(chan struct{}, 1), attached: make(chan struct{}), status: Status{Quota: -1}}
	if c.dial = cfg.Dial; c.dial == nil {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1} // peers see this agent's own IP
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

// Run keeps the agent attached to a hub until ctx ends, and then tells the hub that the agent leaves for good. It may
// be called once, waits for all goroutines of the client except document fetches, which end with ctx, and always
// returns nil.
func (c *Client) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.runLoop(ctx) })
	tasks.Go(func() { c.serveAddress(ctx) })
	c.maintainAttachment(ctx)
	tasks.Wait()
	return nil
}

// Addr returns the IP:port at which a refused connection shows that this process has ended.
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

// wake makes runLoop recompute now rather than at its next tick. It never blocks.
func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Status returns what this agent knows now.
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
