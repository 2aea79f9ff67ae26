// Package latency measures round trips between sites from inside the fleet, and makes a matrix of what all of them
// measured that no few false ones can move.
//
// A site is a zone of the list. Of each, a few members observe: chosen by rendezvous, the same at every member, so that
// every pair of sites is measured at a rate that does not grow with the fleet.
package latency

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	observers = 5                       // of each site: two false ones are outvoted
	pairRate  = 16.0                    // round trips a second between two sites, from either side
	tellEvery = time.Second             // a row
	window    = 1500 * time.Millisecond // for which a round trip counts
	lostAfter = 700 * time.Millisecond  // an ask without an answer by then is lost
	mostDwell = 20 * time.Millisecond   // a far side that took longer was busy: it tells nothing of the way
	midAt     = 0.5                     // the quantile that stands for a pair: of three, one that asked a false member is left out
	highAt    = 0.75
	mostAsked = 1024 // asks out at once
)

// Config is what a Prober needs.
type Config struct {
	Self, Site, Label string
	View              func() *member.View
	Write             func(data []byte, to netip.AddrPort) (time.Time, error)
	Facts             *gossip.Store
}

// Prober asks others for round trips, answers them, and tells what it measured.
type Prober struct {
	cfg   Config
	label uint64

	mu      sync.Mutex
	asked   map[uint64]asked
	samples map[string][]sample // by site, oldest first
	bad     int                 // datagrams that made no sense
	sent    int

	of    *member.View // what the plan follows from; of Run alone, as the plan is
	sites []member.Members
	gap   time.Duration
}

type asked struct {
	site string
	to   netip.AddrPort
	at   time.Time
}

type sample struct {
	at   time.Time // when it was asked
	trip time.Duration
	lost bool
}

// New returns a prober that is to Run.
func New(cfg Config) *Prober {
	return &Prober{cfg: cfg, label: xxhash.Sum64String(cfg.Label), asked: map[uint64]asked{}, samples: map[string][]sample{}}
}

// Heard takes a datagram on the task that read it, and answers an ask at once.
func (p *Prober) Heard(data []byte, from netip.AddrPort, at time.Time) {
	d, err := decode(data)
	if err != nil || d.label != p.label {
		p.mu.Lock()
		p.bad++
		p.mu.Unlock()
		return
	}
	if d.what == ask {
		d.what = reply
		d.dwell = uint32(min(time.Since(at).Microseconds(), 1<<32-1))
		_, _ = p.cfg.Write(d.encode(member.ProbeByte), from) // lost, as on any way
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.asked[d.nonce]
	if !ok || a.to != from {
		p.bad++ // too late, or made up
		return
	}
	delete(p.asked, d.nonce)
	dwell := time.Duration(d.dwell) * time.Microsecond
	if trip := at.Sub(a.at); dwell <= mostDwell && 2*dwell < trip { // who claims most of it was busy, or makes the way short
		p.samples[a.site] = append(p.samples[a.site], sample{a.at, trip - dwell, false})
	}
}

// Run asks and tells until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tell.C:
			p.tell()
		case <-next.C:
			sites, gap := p.plan()
			if len(sites) > 0 {
				p.ask(sites[turn%len(sites)])
				turn++
			}
			next.Reset(time.Duration((0.5 + rand.Float64()) * float64(gap))) // no lockstep
		}
	}
}

// plan says whom of which site to ask, and how long to wait between two asks. Who does not observe waits. It is made anew
// where who is there has changed.
func (p *Prober) plan() ([]member.Members, time.Duration) {
	who := p.cfg.View()
	if who == p.of {
		return p.sites, p.gap
	}
	p.of, p.sites, p.gap = who, nil, time.Second
	mine := Observers(p.cfg.Site, who)
	if !slices.Contains(mine, p.cfg.Self) {
		return p.sites, p.gap
	}
	for site, members := range who.Sites() {
		if site == p.cfg.Site {
			members = members.Without(p.cfg.Self)
		}
		if site != "" && members.Len() > 0 {
			p.sites = append(p.sites, members)
		}
	}
	// Either side of a pair asks at half its rate, its observers in turn.
	each := pairRate / 2 / float64(len(mine)) * float64(max(1, len(p.sites)))
	p.gap = time.Duration(float64(time.Second) / each)
	return p.sites, p.gap
}

// Observers are the members of a site that measure, of those that are there.
func Observers(site string, who *member.View) (names []string) {
	for m := range who.Of(site).All() {
		names = append(names, m.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(member.Score(site, a), member.Score(site, b))
	})
	return names[:min(len(names), observers)]
}

func (p *Prober) ask(others member.Members) {
	m := others.At(rand.IntN(others.Len()))
	d := datagram{what: ask, label: p.label, nonce: rand.Uint64()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if len(p.asked) >= mostAsked {
		return
	}
	// Under the lock: the answer may be here before the write returns.
	at, err := p.cfg.Write(d.encode(member.ProbeByte), m.Addr)
	if err != nil {
		at = time.Now() // it counts as lost
	}
	p.sent++
	p.asked[d.nonce] = asked{m.Site, m.Addr, at}
}

// expire takes what was not answered as lost, and forgets what no longer counts. The lock is held.
func (p *Prober) expire(now time.Time) {
	for nonce, a := range p.asked {
		if now.Sub(a.at) > lostAfter {
			delete(p.asked, nonce)
			p.samples[a.site] = append(p.samples[a.site], sample{a.at, 0, true})
		}
	}
	for site, list := range p.samples {
		list = slices.DeleteFunc(list, func(s sample) bool { return now.Sub(s.at) > window })
		if len(list) == 0 {
			delete(p.samples, site)
		} else {
			p.samples[site] = list
		}
	}
}

// tell tells what was measured of late, if anything was.
func (p *Prober) tell() {
	p.mu.Lock()
	p.expire(time.Now())
	var r row
	for site, list := range p.samples {
		var trips []time.Duration
		for _, s := range list {
			if !s.lost {
				trips = append(trips, s.trip)
			}
		}
		e := entry{Site: site, Loss: uint8(100 * (len(list) - len(trips)) / len(list)), Count: uint16(min(len(trips), 1<<16-1))}
		if slices.Sort(trips); len(trips) > 0 {
			low, high := quantile(trips, midAt), quantile(trips, highAt)
			e.Micros, e.Spread = uint32(max(1, low.Microseconds())), uint32((high - low).Microseconds())
		}
		r.Entries = append(r.Entries, e)
	}
	p.mu.Unlock()
	if len(r.Entries) == 0 {
		return
	}
	slices.SortFunc(r.Entries, func(a, b entry) int {
		if a.Site < b.Site {
			return -1
		}
		return 1
	})
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // it holds numbers and names alone
	}
	p.cfg.Facts.Tell(gossip.Distance, p.cfg.Site, body)
}

// quantile is rounded down: of two the lower.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
