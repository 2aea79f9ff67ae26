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
	Most                        int                // most agents that the fleet has
	Await                       bool               // Listen may be held by an older process of this agent
	Incarnations                incarnation.Source // numbers the processes of the name
	Bounds                      gossip.Bounds
	Relayed                     bool              // lists come by way of the hub
	ListRate                    float64           // calls a second that the list service is taken to bear at first
	Residency                   *residency.Holder // nil: none
	Settings                    *settings.Holder  // nil: none
	Flat                        Flat              // nil: there is no flat fleet to fall back to
	Log                         *slog.Logger
	Trace                       io.Writer // a line for each fact used, and for each part taken; nil: none
	Dial                        Dial      // nil: from the address of Listen
}

// Dial opens connections to hubs. What it returns to a stream must be able to close one way, as a TCP connection does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Flat makes the flat fleet of this agent at an address that is held already, by a process that began then.
type Flat func(door *net.TCPListener, began time.Time, told fleet.Told) (*fleet.Fleet, error)

// Spoke is an agent's place in its fleet. It must be run.
type Spoke struct {
	cfg         Config
	told        fleet.Told
	zones       []string
	hubs        []Hub // as this agent wants them
	choose      *chooser
	incarnation uint64
	born        time.Time
	facts       *gossip.Store
	pacer       *startup.Pacer
	texts       []*documents.Kind // that it follows
	dial        Dial
	door        *door
	flat        atomic.Pointer[fleet.Fleet] // nil: it does not run
	serving     atomic.Bool
	sure        atomic.Bool   // nobody uses this agent's part but itself, as a hub said
	turn        chan struct{} // something is new, at most one waiting

	mu       sync.Mutex
	stream   *stream       // nil: none
	attached chan struct{} // closed while there is a stream
	lost     time.Time     // since then there is none
	flatPart float64       // by the flat fleet's rule; 0: there is none
	known    Known
	trips    []time.Duration
	losses   []float64
}

// Known is what an agent knows, for who looks from outside.
type Known struct {
	Hub              string // "": none
	Flat             bool   // the flat fleet runs
	Part             float64
	Census           hub.Census // the last
	Row              bool       // how far the zones are is known
	Policy, Settings int64      // versions in force
}

// New listens, unless an older process of this agent does. zones are the sites, in the order in which the module counts
// them.
func New(cfg Config, zones []string, told fleet.Told) (*Spoke, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if len(cfg.Hubs) == 0 {
		return nil, errors.New("fleet.hubs: none")
	}
	if cfg.Bounds == nil {
		cfg.Bounds = gossip.DefaultBounds
	}
	now := time.Now()
	s := &Spoke{cfg: cfg, told: told, zones: zones, hubs: order(cfg.Name, cfg.Site, cfg.Region, cfg.Hubs), born: now, lost: now,
		incarnation: cfg.Incarnations.Next(),
		turn:        make(chan struct{}, 1), attached: make(chan struct{}), known: Known{Part: -1}}
	if s.dial = cfg.Dial; s.dial == nil {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: listen.Addr().AsSlice()}, KeepAlive: -1} // who is called knows by it who calls
		s.dial = d.DialContext
	}
	s.choose = newChooser(len(s.hubs), xxhash.Sum64String(cfg.Name)^s.incarnation)
	s.facts = gossip.New(cfg.Name, s.incarnation, cfg.Bounds, gossip.Trace{W: cfg.Trace}.Use)
	s.pacer = startup.New(startup.Config{Rate: cfg.ListRate, Met: s.met, Facts: s.facts})
	s.follow()
	if s.door, err = newDoor(listen, cfg.Await); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	return s, nil
}

// Run stays in the fleet until ctx ends, and then says goodbye.
func (s *Spoke) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.act(ctx) })
	tasks.Go(func() { s.keepDoor(ctx) })
	s.attach(ctx)
	tasks.Wait()
	return nil
}

// Addr is where others see whether this process has ended.
func (s *Spoke) Addr() string { return s.door.address() }

// hub is the address of the hub that this agent is attached to; "": of none.
func (s *Spoke) hub() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil {
		return ""
	}
	return s.stream.hub.Addr
}

// nudge has what follows from what is known be found out at once.
func (s *Spoke) nudge() {
	select {
	case s.turn <- struct{}{}:
	default:
	}
}

// Known is what this agent knows now.
func (s *Spoke) Known() Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known
	if s.stream != nil {
		k.Hub = s.stream.name
	}
	k.Flat = s.flat.Load() != nil
	if s.cfg.Residency != nil {
		k.Policy = s.cfg.Residency.State().Version
	}
	if s.cfg.Settings != nil {
		k.Settings = s.cfg.Settings.State().Version
	}
	return k
}
