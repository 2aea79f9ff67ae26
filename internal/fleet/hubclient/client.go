// Package hubclient is an agent's side of its fleet where the fleet has hubs: one stream to one hub, and what follows from the
// hub's words. An agent serves on without any of it, and without hubs it goes back to the flat fleet.
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

// Config is an agent's place in its fleet.
type Config struct {
	Name, Site, Region, Version string
	Label                       string
	Listen, Advertise           string // addresses; Advertise may be ""
	Hubs                        []Hub
	MaxAgents                   int                   // most agents that the fleet has
	AwaitAddress                bool                  // Listen may be held by an older process of this agent
	Incarnations                incarnation.Allocator // numbers the processes of the name
	Bounds                      gossip.AgeBounds
	Relayed                     bool              // lists come by way of the hub
	ListRate                    float64           // calls a second that the list service is taken to bear at first
	Residency                   *residency.Holder // nil: none
	Settings                    *settings.Holder  // nil: none
	NewMesh                     NewMesh           // nil: there is no flat fleet to fall back to
	Log                         *slog.Logger
	Trace                       io.Writer // a line for each fact used, and for each part taken; nil: none
	Dial                        Dial      // nil: from the address of Listen
}

// Dial opens connections to hubs. What it returns to a stream must be able to close one way, as a TCP connection does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewMesh makes the flat fleet of this agent at an address that is held already, by a process that began then.
type NewMesh func(door *net.TCPListener, began time.Time, told fleet.Callbacks) (*fleet.Fleet, error)

// Client is an agent's place in its fleet. It must be run.
type Client struct {
	cfg            Config
	callbacks      fleet.Callbacks
	zones          []string
	hubs           []Hub // as this agent wants them
	selector       *hubSelector
	incarnation    uint64
	startedAt      time.Time
	store          *gossip.Store
	pacer          *startup.Pacer
	documents      []*documents.Document // that it follows
	dial           Dial
	listener       *addressListener
	mesh           atomic.Pointer[fleet.Fleet] // nil: it does not run
	serving        atomic.Bool
	quotaConfirmed atomic.Bool   // nobody uses this agent's part but itself, as a hub said
	wakeup         chan struct{} // something is new, at most one waiting

	mu             sync.Mutex
	attachment     *attachment   // nil: none
	attached       chan struct{} // closed while there is a stream
	disconnectedAt time.Time     // since then there is none
	meshQuota      float64       // by the flat fleet's rule; 0: there is none
	status         Status
	rtts           []time.Duration
	lossRates      []float64
}

// Status is what an agent knows, for who looks from outside.
type Status struct {
	Hub                            string // "": none
	MeshRunning                    bool   // the flat fleet runs
	Quota                          float64
	FleetSize                      hub.FleetSize // the last
	LatenciesKnown                 bool          // how far the zones are is known
	PolicyVersion, SettingsVersion int64         // versions in force
}

// New listens, unless an older process of this agent does. zones are the sites, in the order in which the module counts
// them.
func New(cfg Config, zones []string, told fleet.Callbacks) (*Client, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if len(cfg.Hubs) == 0 {
		return nil, errors.New("fleet.hubs: none")
	}
	if cfg.Bounds == nil {
		cfg.Bounds = gossip.DefaultAgeBounds
	}
	now := time.Now()
	c := &Client{cfg: cfg, callbacks: told, zones: zones, hubs: preferenceOrder(cfg.Name, cfg.Site, cfg.Region, cfg.Hubs), startedAt: now, disconnectedAt: now,
		incarnation: cfg.Incarnations.Next(),
		wakeup:      make(chan struct{}, 1), attached: make(chan struct{}), status: Status{Quota: -1}}
	if c.dial = cfg.Dial; c.dial == nil {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1} // who is called knows by it who calls
		c.dial = dialer.DialContext
	}
	c.selector = newHubSelector(len(c.hubs), xxhash.Sum64String(cfg.Name)^c.incarnation)
	c.store = gossip.New(cfg.Name, c.incarnation, cfg.Bounds, gossip.Trace{W: cfg.Trace}.Use)
	c.pacer = startup.New(startup.Config{Rate: cfg.ListRate, HasPeers: c.fleetSizeReceived, Store: c.store})
	c.setUpDocuments()
	if c.listener, err = newAddressListener(listen, cfg.AwaitAddress); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	return c, nil
}

// Run stays in the fleet until ctx ends, and then says goodbye.
func (c *Client) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.runLoop(ctx) })
	tasks.Go(func() { c.serveAddress(ctx) })
	c.maintainAttachment(ctx)
	tasks.Wait()
	return nil
}

// Addr is where others see whether this process has ended.
func (c *Client) Addr() string { return c.listener.address() }

// hubAddr is the address of the hub that this agent is attached to; "": of none.
func (c *Client) hubAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attachment == nil {
		return ""
	}
	return c.attachment.hub.Addr
}

// wake has what follows from what is known be found out at once.
func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Status is what this agent knows now.
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
