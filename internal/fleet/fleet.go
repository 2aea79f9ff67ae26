// Package fleet is what an agent shares with the others of its fleet: who is there (member), what they know together
// and how old that is (fact), whose turn it is at the list service (start), how far sites are from each other
// (distance), which part of the in-flight limit is whose, and which residency policy is in force.
//
// Each of these is a task of its own, written straight down. An agent serves without any of them: nothing on a
// request's path waits here, and what is told to the agent has an age and a bound.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/incarnation"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/startup"
	"martenbeam/internal/residency"
)

// Config is a process's place in its fleet.
type Config struct {
	Name, Site, Version string
	Listen, Advertise   string   // addresses, UDP and TCP; Advertise may be ""
	Seeds               []string // addresses
	Label               string
	Most                int  // most processes that the fleet has
	Await               bool // Listen may be held by an older process of this agent
	Bounds              gossip.Bounds
	Relayed             bool               // lists come by way of a few members of a site
	ListRate            float64            // calls a second that the list service is taken to bear at first
	Matrix              bool               // round trips are measured, and told
	Incarnations        incarnation.Source // numbers the processes of the name
	Log                 *slog.Logger
	Trace               io.Writer // a line for each fact used or told, and for each part taken; nil: none

	Residency *residency.Holder // nil: none
	Source    bool              // of the residency policy
	Settings  *documents.Kind   // that this process holds for others; nil: none

	Hub   bool         // this process is a hub, and no agent
	Calls http.Handler // of HTTP on the fleet's address, but for texts and lists; nil: none

	Door  *net.TCPListener // at Listen, if it is held already: the fleet closes it
	Since time.Time        // when this process began; zero: now
	Wire  member.Wire      // nil: sockets are used as they are
}

// Told is what a fleet tells its agent, by tasks of its own. Each must not wait.
type Told struct {
	Part      func(part float64)                         // of the fleet's in-flight limit, from 0 to 1
	Distances func(trip []time.Duration, loss []float64) // from this site to each zone; 0: not known, the loss too
}

// Fleet is a process's place in its fleet. It must be run.
type Fleet struct {
	cfg    Config
	told   Told
	zones  []string
	facts  *gossip.Store
	list   *member.List
	prober *latency.Prober
	pacer  *startup.Pacer
	relay  *relay
	turn   chan struct{} // who is there has changed, at most one waiting
	born   time.Time
	gossip atomic.Int64 // bytes
	texts  []shared

	mu      sync.Mutex
	met     time.Time // when anyone was first met
	part    float64
	trips   []time.Duration
	losses  []float64
	matrix  latency.Matrix
	madeOf  *member.View // the matrix was, and of facts that have changed so often
	changes uint64
	made    int
	ready   bool
}

// New listens. zones are the sites, in the order in which the module counts them.
func New(cfg Config, zones []string, told Told) (*Fleet, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	var advertise netip.AddrPort
	if cfg.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(cfg.Advertise); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	if cfg.Bounds == nil {
		cfg.Bounds = gossip.DefaultBounds
	}
	if cfg.Calls == nil {
		cfg.Calls = http.NotFoundHandler()
	}
	f := &Fleet{cfg: cfg, texts: cfg.shared(), told: told, zones: zones, turn: make(chan struct{}, 1), born: cmp.Or(cfg.Since, time.Now()), part: -1}
	number := cfg.Incarnations.Next()
	f.facts = gossip.New(cfg.Name, number, cfg.Bounds, f.traceUse)
	f.relay = newRelay(f)
	f.list, err = member.New(member.Config{Name: cfg.Name, Listen: listen, Advertise: advertise, Seeds: cfg.Seeds, Label: cfg.Label, Most: cfg.Most, Await: cfg.Await, Door: cfg.Door,
		Meta: member.Meta{Site: cfg.Site, Version: cfg.Version, Started: number, Hub: cfg.Hub}, Log: cfg.Log,
		Hear: func(data []byte) {
			if err := f.facts.Hear(data); err != nil {
				cfg.Log.Debug("a message of the fleet makes no sense", "error", err)
			}
		},
		Gossip: func(limit, members int) []byte {
			data := f.facts.Gossip(limit, members)
			f.gossip.Add(int64(len(data)))
			return data
		},
		Trip: f.facts.Trip,
		Turn: func() {
			select {
			case f.turn <- struct{}{}:
			default:
			}
		},
		Probe: func(data []byte, from netip.AddrPort, at time.Time) { f.prober.Heard(data, from, at) },
		Call:  f.relay.serve,
		Wire:  cfg.Wire,
	})
	if err != nil {
		return nil, err
	}
	f.prober = latency.New(latency.Config{Self: cfg.Name, Site: cfg.Site, Label: cfg.Label, View: f.list.View, Write: f.list.Write, Facts: f.facts})
	f.pacer = startup.New(startup.Config{Rate: cfg.ListRate, Met: func() bool { return f.list.Met() > 0 }, Facts: f.facts})
	return f, nil
}

// Addr is where others reach this process.
func (f *Fleet) Addr() string { return f.list.Addr().String() }

// Run stays in the fleet until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, end := context.WithCancel(ctx)
	defer end()
	tasks.Go(func() { f.tick(ctx) })
	tasks.Go(func() { f.bury(ctx) })
	tasks.Go(func() { f.relay.run(ctx) })
	if f.cfg.Matrix {
		tasks.Go(func() { f.prober.Run(ctx) })
	}
	if len(f.texts) > 0 {
		tasks.Go(func() { f.shareTexts(ctx) })
	}
	err := f.list.Run(ctx)
	if ctx.Err() == nil && err == nil { // it left for another with its name
		<-ctx.Done()
	}
	return err
}

// Ready tells the others that this process has a list, and serves.
func (f *Fleet) Ready() {
	f.mu.Lock()
	was := f.ready
	f.ready = true
	f.mu.Unlock()
	if !was {
		f.list.Reached(member.Serving)
		f.cfg.Log.Info("start", "step", "serving", "members", f.list.View().Len(), "took", time.Since(f.born))
	}
}

// starters counts who is seen to start, this process included.
func (f *Fleet) starters() int { return max(1, f.list.View().Starting()) }

const summaryEvery = 10 * time.Second

// tick keeps ages, and what follows from who is there and what is known.
func (f *Fleet) tick(ctx context.Context) {
	tick := time.NewTicker(gossip.TickEvery)
	defer tick.Stop()
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	past := time.NewTimer(0) // a row may have gone past its bound: no matrix that rests on it stands for another tick
	defer past.Stop()
	for n := 0; ; n++ {
		due := n%2 == 0
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			f.summarize()
		case <-f.turn:
		case <-tick.C:
		case <-past.C:
			due = true
		}
		f.facts.Tick()
		f.reckon()
		if f.cfg.Matrix && due {
			f.measure()
			_, until := f.facts.Changes(gossip.Distance)
			past.Reset(max(time.Millisecond, time.Until(until)))
		}
	}
}

// measure tells the agent how far the sites are, where that has changed. The matrix stands until a row says something
// else or goes past its bound, or who is there changes.
func (f *Fleet) measure() {
	changes, _ := f.facts.Changes(gossip.Distance)
	view := f.list.View()
	f.mu.Lock()
	stands, m := f.madeOf == view && f.changes == changes, f.matrix
	f.mu.Unlock()
	var rows []gossip.Fact
	if !stands || f.cfg.Trace != nil { // a matrix that stands is a use of its rows, which a trace has to show
		rows = f.facts.Now(gossip.Distance)
	}
	if f.cfg.Trace != nil {
		defer func() { f.trace(map[string]any{"matrix": matrixLine(m)}) }()
	}
	if stands {
		return
	}
	m = latency.Make(rows, view)
	trips, losses := make([]time.Duration, len(f.zones)), make([]float64, len(f.zones))
	for i, zone := range f.zones {
		if e, known := m.Of(f.cfg.Site, zone); known {
			trips[i], losses[i] = e.Trip, e.Loss
		}
	}
	f.mu.Lock()
	f.matrix, f.madeOf, f.changes = m, view, changes
	f.made++
	same := slices.Equal(trips, f.trips) && slices.Equal(losses, f.losses)
	f.trips, f.losses = trips, losses
	f.mu.Unlock()
	if !same && f.told.Distances != nil {
		f.told.Distances(trips, losses)
	}
}

func matrixLine(m latency.Matrix) map[string]float64 {
	line := map[string]float64{}
	for p, e := range m {
		line[p.A+" "+p.B] = float64(e.Trip.Microseconds())
	}
	return line
}

const (
	// A starter takes a tenth of an even part until it can be sure that nobody uses its own: it has met others, who by
	// then would have told that it counts as gone, or it has waited for as long as such a word holds.
	thin       = 0.1
	metFor     = 500 * time.Millisecond
	buryEvery  = time.Second
	buryWithin = 600 * time.Millisecond
	buriers    = 2 // members that see to whether a failed one is dead
)

// reckon reckons this process's part of the in-flight limit. An even part belongs to each process that the fleet may
// have, except those that are dead for certain: of these the others use it while a word no older than its bound says so.
// Who is merely not heard keeps its part: it may be alive beyond a cut. So the sum of all parts stays within the limit.
func (f *Fleet) reckon() {
	view := f.list.View()
	gone, me := map[string]bool{}, false
	for _, g := range f.facts.Now(gossip.Gone) {
		var names []string
		if cbor.Unmarshal(g.Body, &names) != nil {
			continue
		}
		for _, name := range names {
			if name == f.cfg.Name {
				me = true
			} else if _, alive := view.Named(name); !alive && !f.list.WasHub(name) {
				gone[name] = true
			}
		}
	}
	now := time.Now()
	f.mu.Lock()
	if f.met.IsZero() && f.list.Met() > 0 {
		f.met = now
	}
	sure := now.Sub(f.born) >= f.cfg.Bounds[gossip.Gone] || !f.met.IsZero() && now.Sub(f.met) >= metFor && !me
	part := thin / float64(f.cfg.Most)
	if sure {
		part = 1 / float64(max(1, view.Agents(), f.cfg.Most-len(gone)))
	}
	same := part == f.part
	f.part = part
	f.mu.Unlock()
	if same {
		return
	}
	f.trace(map[string]any{"part": part})
	if f.told.Part != nil {
		f.told.Part(part)
	}
}

// bury sees to it that members that failed and whose machine refuses connections are told to be gone.
func (f *Fleet) bury(ctx context.Context) {
	tick := time.NewTicker(buryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		doomed := f.list.Doomed(buriers)
		dead := make([]bool, len(doomed))
		var calls sync.WaitGroup
		for i, m := range doomed {
			calls.Go(func() { dead[i] = f.list.Dead(ctx, m, buryWithin) })
		}
		calls.Wait()
		var names []string
		for i, m := range doomed {
			if dead[i] && !m.Hub { // a hub has no part that others could use
				names = append(names, m.Name)
			}
		}
		for i := 0; i < len(names); i += 64 { // so many fit into a fact
			body, err := cbor.Marshal(names[i:min(len(names), i+64)])
			if err != nil {
				panic(err) // they are names alone
			}
			f.facts.Tell(gossip.Gone, strconv.Itoa(i), body)
		}
	}
}

func (f *Fleet) summarize() {
	st := f.facts.Stats()
	f.mu.Lock()
	part := f.part
	f.mu.Unlock()
	args := []any{"members", f.list.View().Len(), "part", part, "facts", st.Held, "malformed", st.Malformed, "stops", st.Stops, "bytes", f.gossip.Swap(0)}
	for kind, k := range st.Kinds {
		if k.Used > 0 || k.Refused > 0 {
			args = append(args, kind, k.String())
		}
	}
	f.cfg.Log.Info("fleet", args...)
}

// traceUse writes a fact's use, or that it was told, with the time on the wall: for who checks ages from outside.
func (f *Fleet) traceUse(u gossip.Use) {
	gossip.Trace{W: f.cfg.Trace}.Use(u)
}

func (f *Fleet) trace(line map[string]any) {
	gossip.Trace{W: f.cfg.Trace}.Line(line)
}
